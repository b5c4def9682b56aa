package setup

import (
	"errors"
	"net/netip"
	"slices"
	"strconv"

	"gopkg.in/ini.v1"
)

// maxFile bounds a settings file, in bytes.
const maxFile = 1 << 20

// parser collects the problems of one file.
type parser struct {
	name     string
	lines    map[*field]int
	problems []*Problem
	settings Settings
}

func (p *parser) add(one *Problem) {
	one.File = p.name
	p.problems = append(p.problems, one)
}

// clash reports a problem between fields at the line of the later one.
func (p *parser) clash(section, key, detail, allowed string) {
	f, _ := lookup(section, key)
	p.add(&Problem{Kind: Clash, Line: p.lines[f], Section: section, Key: key, Detail: detail, Allowed: allowed})
}

func itoa(n int) string { return strconv.Itoa(n) }

// Parse reads settings from b and reads no other file; name is used in
// problems only. The error joins one *Problem for each fault; see Problems.
func Parse(name string, b []byte) (*Settings, error) {
	p := &parser{name: name, lines: map[*field]int{}}
	p.read(b)
	return p.result()
}

// result returns the settings, or the problems in order of their lines.
func (p *parser) result() (*Settings, error) {
	if len(p.problems) == 0 {
		return &p.settings, nil
	}
	slices.SortStableFunc(p.problems, func(a, b *Problem) int { return a.Line - b.Line })
	errs := make([]error, len(p.problems))
	for i, one := range p.problems {
		errs[i] = one
	}
	return nil, errors.Join(errs...)
}

func (p *parser) read(b []byte) {
	if len(b) > maxFile {
		p.add(&Problem{Kind: OutOfRange, Detail: "the file has " + itoa(len(b)) + " bytes", Allowed: "up to " + itoa(maxFile)})
		return
	}
	text := p.scan(string(b))
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, []byte(text))
	if err != nil {
		p.add(&Problem{Kind: BadSyntax, Detail: err.Error()})
		return
	}
	bad := map[*field]bool{}
	for i := range fields {
		fd := &fields[i]
		value := f.Section(fd.section).Key(fd.key).Value()
		if value == "" {
			value = fd.standard
		}
		if value == "" {
			if fd.required {
				p.add(&Problem{Kind: MissingKey, Line: p.lines[fd], Section: fd.section, Key: fd.key, Detail: "the key is required", Allowed: fd.allowed})
			}
			continue
		}
		if kind, detail := fd.set(&p.settings, value); kind != "" {
			allowed := fd.allowed
			if fd.unit != "" {
				allowed += ", with a unit (" + fd.unit + ")"
			}
			p.add(&Problem{Kind: kind, Line: p.lines[fd], Section: fd.section, Key: fd.key, Detail: detail, Allowed: allowed})
			bad[fd] = true
		}
	}
	p.relations(bad)
}

// relations checks settings against each other, except those in bad.
func (p *parser) relations(bad map[*field]bool) {
	s := &p.settings
	ok := func(section string, keys ...string) bool {
		for _, key := range keys {
			if f, _ := lookup(section, key); bad[f] {
				return false
			}
		}
		return true
	}
	p.listeners()
	p.skipSelf()
	switch {
	case s.Secret.SharedSecret != "" && s.Secret.SharedSecretFile != "":
		p.clash("secret", "shared-secret-file", "shared-secret is set as well", "one of both keys")
	case s.Secret.SharedSecret == "" && s.Secret.SharedSecretFile == "" && ok("secret", "shared-secret"):
		p.add(&Problem{Kind: MissingKey, Section: "secret", Key: "shared-secret", Detail: "neither this key nor shared-secret-file is set", Allowed: allowedSecret})
	}
	t := &s.Timing
	if ok("timing", "gossip-interval", "cross-domain-interval") && t.CrossDomainInterval < t.GossipInterval {
		p.clash("timing", "cross-domain-interval", "it is below gossip-interval, "+formatDuration(t.GossipInterval), "at least gossip-interval")
	}
	if ok("timing", "gossip-interval", "suspect-after") && t.SuspectAfter <= t.GossipInterval {
		p.clash("timing", "suspect-after", "it is not above gossip-interval, "+formatDuration(t.GossipInterval), "more than gossip-interval")
	}
	if ok("timing", "report-interval", "suspect-after") && t.SuspectAfter <= t.ReportInterval {
		p.clash("timing", "suspect-after", "it is not above report-interval, "+formatDuration(t.ReportInterval), "more than report-interval")
	}
	p.files("caller", s.TLS.CallerCertificate, s.TLS.CallerKey, s.TLS.CallerCA)
	p.files("peer", s.TLS.PeerCertificate, s.TLS.PeerKey, s.TLS.PeerCA)
}

// listeners checks that no two listeners share an address.
func (p *parser) listeners() {
	d := &p.settings.Daemon
	keys := []string{"caller-address", "peer-address", "admin-address"}
	var parsed []netip.AddrPort
	for i, v := range []string{d.CallerAddress, d.PeerAddress, d.AdminAddress} {
		a, _ := netip.ParseAddrPort(v)
		for j, b := range parsed {
			if a.IsValid() && b.IsValid() && a.Port() != 0 && a.Port() == b.Port() &&
				(a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()) {
				p.clash("daemon", keys[i], "it overlaps with "+keys[j], "an address of its own for each listener")
			}
		}
		parsed = append(parsed, a)
	}
	if a := parsed[1]; a.IsValid() && a.Addr().IsUnspecified() {
		f, _ := lookup("daemon", "peer-address")
		p.add(&Problem{Kind: BadAddress, Line: p.lines[f], Section: "daemon", Key: "peer-address", Detail: "peers can't call the unspecified address", Allowed: allowedListen})
	}
}

// skipSelf drops the daemon's own addresses from the peers, so that all hosts
// can share one list.
func (p *parser) skipSelf() {
	s := &p.settings
	for _, text := range []string{s.Daemon.PeerAddress, s.Daemon.AdvertiseAddress} {
		own, err := netip.ParseAddrPort(text)
		if err != nil {
			continue
		}
		s.Peers.Addresses = slices.DeleteFunc(s.Peers.Addresses, func(v string) bool {
			a, err := netip.ParseAddrPort(v)
			return err == nil && a == own
		})
	}
}

func (p *parser) files(prefix, certificate, key, ca string) {
	if certificate != "" && key == "" {
		p.clash("tls", prefix+"-certificate", prefix+"-key is not set", "both keys or none")
	}
	if key != "" && certificate == "" {
		p.clash("tls", prefix+"-key", prefix+"-certificate is not set", "both keys or none")
	}
	if ca != "" && certificate == "" {
		p.clash("tls", prefix+"-ca", prefix+"-certificate is not set", "a ca only with a certificate")
	}
}
