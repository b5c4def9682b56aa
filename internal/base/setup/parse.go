package setup

import (
	"errors"
	"net/netip"
	"slices"
	"strconv"

	"gopkg.in/ini.v1"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// parser reads one file and collects its problems.
type parser struct {
	file string
	// lines holds the line of each field in the file.
	lines    map[*field]int
	problems []*Problem
	settings Settings
}

func (p *parser) add(problem *Problem) {
	problem.File = p.file
	p.problems = append(p.problems, problem)
}

// conflict reports a problem between two fields at the line of the given one.
func (p *parser) conflict(section, key, detail, allowed string) {
	f, _ := lookup(section, key)
	p.add(&Problem{Kind: Conflict, Line: p.lines[f], Section: section, Key: key, Detail: detail, Allowed: allowed})
}

func itoa(n int) string { return strconv.Itoa(n) }

// Parse reads settings from b without reading any file; name is only used in
// problems. The error joins one *Problem for each fault; see Problems.
func Parse(name string, b []byte) (*Settings, error) {
	p := &parser{file: name, lines: map[*field]int{}}
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
	for i, problem := range p.problems {
		errs[i] = problem
	}
	return nil, errors.Join(errs...)
}

func (p *parser) read(b []byte) {
	if len(b) > maxFileBytes {
		p.add(&Problem{Kind: OutOfRange, Detail: "the file has " + itoa(len(b)) + " bytes", Allowed: "up to " + itoa(maxFileBytes)})
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
			value = fd.defaultValue
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
	p.checkRelations(bad)
}

// checkRelations checks settings against each other, except those in bad.
func (p *parser) checkRelations(bad map[*field]bool) {
	s := &p.settings
	ok := func(section string, keys ...string) bool {
		for _, key := range keys {
			if f, _ := lookup(section, key); bad[f] {
				return false
			}
		}
		return true
	}
	p.checkListeners()
	p.removeOwnAddresses()
	switch {
	case s.Secret.SharedSecret != "" && s.Secret.SharedSecretFile != "":
		p.conflict("secret", "shared-secret-file", "shared-secret is set as well", "only one of the two keys")
	case s.Secret.SharedSecret == "" && s.Secret.SharedSecretFile == "" && ok("secret", "shared-secret"):
		p.add(&Problem{Kind: MissingKey, Section: "secret", Key: "shared-secret", Detail: "neither this key nor shared-secret-file is set", Allowed: allowedSecret})
	}
	t := &s.Timing
	if ok("timing", "gossip-interval", "cross-domain-interval") && t.CrossDomainInterval < t.GossipInterval {
		p.conflict("timing", "cross-domain-interval", "it is below gossip-interval, "+formatDuration(t.GossipInterval), "at least gossip-interval")
	}
	if ok("timing", "gossip-interval", "suspect-after") && t.SuspectAfter <= t.GossipInterval {
		p.conflict("timing", "suspect-after", "it is not above gossip-interval, "+formatDuration(t.GossipInterval), "more than gossip-interval")
	}
	if ok("timing", "report-interval", "suspect-after") && t.SuspectAfter <= t.ReportInterval {
		p.conflict("timing", "suspect-after", "it is not above report-interval, "+formatDuration(t.ReportInterval), "more than report-interval")
	}
	p.checkTLS("caller", s.TLS.CallerCertificate, s.TLS.CallerKey, s.TLS.CallerCA)
	p.checkTLS("peer", s.TLS.PeerCertificate, s.TLS.PeerKey, s.TLS.PeerCA)
}

// checkListeners checks that no two listeners share an address and that peers
// can connect to the peer address.
func (p *parser) checkListeners() {
	d := &p.settings.Daemon
	keys := []string{"caller-address", "peer-address", "admin-address"}
	var parsed []netip.AddrPort
	for i, v := range []string{d.CallerAddress, d.PeerAddress, d.AdminAddress} {
		a, _ := netip.ParseAddrPort(v)
		for j, b := range parsed {
			if a.IsValid() && b.IsValid() && a.Port() != 0 && a.Port() == b.Port() &&
				(a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()) {
				p.conflict("daemon", keys[i], "it overlaps with "+keys[j], "a separate address for each listener")
			}
		}
		parsed = append(parsed, a)
	}
	if a := parsed[1]; a.IsValid() && a.Addr().IsUnspecified() {
		f, _ := lookup("daemon", "peer-address")
		p.add(&Problem{Kind: BadAddress, Line: p.lines[f], Section: "daemon", Key: "peer-address", Detail: "peers can't connect to the unspecified address", Allowed: allowedListen})
	}
}

// removeOwnAddresses removes the daemon's own addresses from the peers, so that
// all hosts can share one list.
func (p *parser) removeOwnAddresses() {
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

// checkTLS checks that the files with the given key prefix, caller or peer, are
// set together.
func (p *parser) checkTLS(prefix, certificate, key, ca string) {
	if certificate != "" && key == "" {
		p.conflict("tls", prefix+"-certificate", prefix+"-key is not set", "both keys or none")
	}
	if key != "" && certificate == "" {
		p.conflict("tls", prefix+"-key", prefix+"-certificate is not set", "both keys or none")
	}
	if ca != "" && certificate == "" {
		p.conflict("tls", prefix+"-ca", prefix+"-certificate is not set", "a CA only together with a certificate")
	}
}
