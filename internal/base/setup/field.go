package setup

import (
	"fmt"
	"strings"
	"time"
)

// field describes one key: how it is documented, and how its value is checked
// and stored.
type field struct {
	section, key string
	required     bool
	// standard is the default, empty for none.
	standard string
	unit     string
	allowed  string
	meaning  string
	set      func(s *Settings, v string) (ProblemKind, string)
}

const (
	allowedListen = "an IP number with a port, such as 127.0.0.1:8080; port 0 lets the system choose"
	allowedDial   = "an IP number with a port, such as 10.0.0.7:7000"
	allowedBase   = "an IP number with a port, or an http or https URL of one, such as http://10.0.0.7:7000/log"
	allowedName   = "lower-case letters, digits and single hyphens, up to 63"
	allowedSecret = "16 to 1024 bytes"
)

// fields lists all keys in the order of docs/settings.md.
var fields = []field{
	{section: "daemon", key: "name", required: true, allowed: "a host name in lower case, up to 253 bytes",
		meaning: "Name of the host, as in the platform's host list.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			s.Daemon.Name = v
			return check(hostName(v), BadValue, "%q is not a host name in lower case", v)
		}},
	{section: "daemon", key: "failure-domain", required: true, allowed: allowedName,
		meaning: "Failure domain of the host, one that the configuration declares.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			s.Daemon.FailureDomain = v
			return check(kebab(v), BadValue, "%q is not in kebab case", v)
		}},
	listen("caller-address", "Listener for callers.", func(s *Settings) *string { return &s.Daemon.CallerAddress }),
	listen("peer-address", "Listener for other daemons, which call it at this address.", func(s *Settings) *string { return &s.Daemon.PeerAddress }),
	{section: "daemon", key: "advertise-address", allowed: allowedDial,
		meaning: "Address at which other daemons call this one, if it differs from peer-address, as behind address translation.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			_, kind, detail := parseDial(v)
			s.Daemon.AdvertiseAddress = v
			return kind, detail
		}},
	listen("admin-address", "Listener for metrics, health and status.", func(s *Settings) *string { return &s.Daemon.AdminAddress }),
	{section: "peers", key: "addresses", allowed: "peer addresses (IP number and port) separated by commas, up to 1024",
		meaning: "Peer addresses of daemons to contact first. The daemon's own address is skipped, so all hosts can share one list.",
		set:     setPeers},
	base("log-address", "Log service.", func(s *Settings) *string { return &s.Platform.LogAddress }),
	base("hosts-address", "Host list.", func(s *Settings) *string { return &s.Platform.HostsAddress }),
	{section: "secret", key: "shared-secret", allowed: allowedSecret,
		meaning: "Secret of the deployment; authenticates daemons and operators. Either this key or shared-secret-file is required.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			s.Secret.SharedSecret = SecretText(v)
			return check(secretLength(v), OutOfRange, "the secret has %d bytes", len(v))
		}},
	{section: "secret", key: "shared-secret-file", allowed: "a file that holds " + allowedSecret,
		meaning: "File with the secret; a relative name starts at the directory of the settings file, and a newline at the end is dropped.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			s.Secret.SharedSecretFile = v
			return "", ""
		}},
	size("body", 1<<20, 1<<10, 64<<20, "Largest body of a request.", func(s *Settings) *int64 { return &s.Limits.Body }),
	size("headers", 16<<10, 1<<10, 1<<20, "Largest headers of a request.", func(s *Settings) *int64 { return &s.Limits.Headers }),
	duration("limits", "header-timeout", 5*time.Second, 100*time.Millisecond, time.Minute, "Time in which a caller must send its headers.", func(s *Settings) *time.Duration { return &s.Limits.HeaderTimeout }),
	duration("limits", "idle-timeout", time.Minute, time.Second, time.Hour, "Time after which an idle connection of a caller is closed.", func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout }),
	count("queue", 1024, 1, 1<<20, "Number of requests that wait at once.", func(s *Settings) *int { return &s.Limits.Queue }),
	count("streams", 4096, 1, 1<<20, "Number of streams that are forwarded at once.", func(s *Settings) *int { return &s.Limits.Streams }),
	count("connections", 8192, 1, 1<<20, "Number of callers' connections that are open at once.", func(s *Settings) *int { return &s.Limits.Connections }),
	size("stream-buffer", 256<<10, 4<<10, 64<<20, "Part of a stream that is held for a slow reader; beyond it the engine's stream is cancelled.", func(s *Settings) *int64 { return &s.Limits.StreamBuffer }),
	count("decisions", 4096, 16, 1<<20, "Number of decision records kept for explain.", func(s *Settings) *int { return &s.Limits.Decisions }),
	timing("gossip-interval", time.Second, 50*time.Millisecond, 10*time.Second, "Time between exchanges of facts with a peer of the same failure domain.", func(t *Timing) *time.Duration { return &t.GossipInterval }),
	timing("cross-domain-interval", 4*time.Second, 50*time.Millisecond, time.Minute, "Time between exchanges of facts with a peer of another failure domain; not below gossip-interval.", func(t *Timing) *time.Duration { return &t.CrossDomainInterval }),
	timing("suspect-after", 3*time.Second, 200*time.Millisecond, time.Minute, "Silence after which a peer is suspected; above gossip-interval and report-interval.", func(t *Timing) *time.Duration { return &t.SuspectAfter }),
	timing("report-interval", time.Second, 50*time.Millisecond, 10*time.Second, "Time between two reads of an engine's report by its owner.", func(t *Timing) *time.Duration { return &t.ReportInterval }),
	timing("cache-events-interval", 5*time.Second, 50*time.Millisecond, time.Minute, "Time between two reads of an engine's cache events.", func(t *Timing) *time.Duration { return &t.CacheEventsInterval }),
	timing("hosts-interval", 2*time.Second, 100*time.Millisecond, time.Minute, "Time between two reads of the host list.", func(t *Timing) *time.Duration { return &t.HostsInterval }),
	timing("log-poll-wait", 20*time.Second, 100*time.Millisecond, 5*time.Minute, "Time that a read of the log waits for new records.", func(t *Timing) *time.Duration { return &t.LogPollWait }),
	timing("log-timeout", 5*time.Second, 100*time.Millisecond, time.Minute, "Time limit of a call of the log service, in addition to log-poll-wait.", func(t *Timing) *time.Duration { return &t.LogTimeout }),
	timing("peer-timeout", 2*time.Second, 100*time.Millisecond, time.Minute, "Time limit of a call of a peer that does not wait for a load.", func(t *Timing) *time.Duration { return &t.PeerTimeout }),
	timing("drain-timeout", time.Minute, time.Second, time.Hour, "Time limit of a graceful shutdown.", func(t *Timing) *time.Duration { return &t.DrainTimeout }),
	timing("quarantine", 10*time.Minute, time.Second, 24*time.Hour, "Time for which a request that crashed two upstreams is refused.", func(t *Timing) *time.Duration { return &t.Quarantine }),
	timing("key-window", 6*time.Hour, time.Minute, 24*time.Hour, "Largest age of an idempotency key; at most half of the log's retention.", func(t *Timing) *time.Duration { return &t.KeyWindow }),
	timing("snapshot-interval", time.Hour, time.Second, 24*time.Hour, "Time between two snapshots of the control stream.", func(t *Timing) *time.Duration { return &t.SnapshotInterval }),
	file("caller-certificate", "Certificate chain of the caller listener.", func(t *TLS) *string { return &t.CallerCertificate }),
	file("caller-key", "Private key of the caller listener.", func(t *TLS) *string { return &t.CallerKey }),
	file("caller-ca", "Authorities whose certificates callers must present.", func(t *TLS) *string { return &t.CallerCA }),
	file("peer-certificate", "Certificate chain of the peer listener and of calls to peers.", func(t *TLS) *string { return &t.PeerCertificate }),
	file("peer-key", "Private key for peer-certificate.", func(t *TLS) *string { return &t.PeerKey }),
	file("peer-ca", "Authorities whose certificates peers must present.", func(t *TLS) *string { return &t.PeerCA }),
}

// check returns no problem if ok holds, and otherwise one of the given kind.
func check(ok bool, kind ProblemKind, format string, args ...any) (ProblemKind, string) {
	if ok {
		return "", ""
	}
	return kind, fmt.Sprintf(format, args...)
}

func secretLength(v string) bool { return len(v) >= 16 && len(v) <= 1024 }

func listen(key, meaning string, at func(*Settings) *string) field {
	return field{section: "daemon", key: key, required: true, allowed: allowedListen, meaning: meaning,
		set: func(s *Settings, v string) (ProblemKind, string) {
			_, kind, detail := parseListen(v)
			*at(s) = v
			return kind, detail
		}}
}

func base(key, meaning string, at func(*Settings) *string) field {
	return field{section: "platform", key: key, required: true, allowed: allowedBase, meaning: meaning,
		set: func(s *Settings, v string) (kind ProblemKind, detail string) {
			*at(s), kind, detail = parseBase(v)
			return kind, detail
		}}
}

func size(key string, standard, low, high int64, meaning string, at func(*Settings) *int64) field {
	return field{section: "limits", key: key, standard: formatSize(standard), unit: "B, KiB, MiB, GiB", meaning: meaning,
		allowed: formatSize(low) + " to " + formatSize(high),
		set: func(s *Settings, v string) (ProblemKind, string) {
			n, kind, detail := parseSize(v)
			if kind != "" {
				return kind, detail
			}
			*at(s) = n
			return check(n >= low && n <= high, OutOfRange, "%q", v)
		}}
}

func duration(section, key string, standard, low, high time.Duration, meaning string, at func(*Settings) *time.Duration) field {
	return field{section: section, key: key, standard: formatDuration(standard), unit: "ms, s, m, h", meaning: meaning,
		allowed: formatDuration(low) + " to " + formatDuration(high),
		set: func(s *Settings, v string) (ProblemKind, string) {
			d, kind, detail := parseDuration(v)
			if kind != "" {
				return kind, detail
			}
			*at(s) = d
			return check(d >= low && d <= high, OutOfRange, "%q", v)
		}}
}

func timing(key string, standard, low, high time.Duration, meaning string, at func(*Timing) *time.Duration) field {
	return duration("timing", key, standard, low, high, meaning, func(s *Settings) *time.Duration { return at(&s.Timing) })
}

func count(key string, standard, low, high int, meaning string, at func(*Settings) *int) field {
	return field{section: "limits", key: key, standard: fmt.Sprint(standard), meaning: meaning,
		allowed: fmt.Sprintf("%d to %d", low, high),
		set: func(s *Settings, v string) (ProblemKind, string) {
			n, kind, detail := parseCount(v)
			if kind != "" {
				return kind, detail
			}
			*at(s) = n
			return check(n >= low && n <= high, OutOfRange, "%q", v)
		}}
}

func file(key, meaning string, at func(*TLS) *string) field {
	return field{section: "tls", key: key, allowed: "a PEM file", meaning: meaning + " A relative name starts at the directory of the settings file.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			*at(&s.TLS) = v
			return "", ""
		}}
}

func setPeers(s *Settings, v string) (ProblemKind, string) {
	list := strings.Split(v, ",")
	if len(list) > 1024 {
		return OutOfRange, fmt.Sprintf("%d addresses", len(list))
	}
	for i, one := range list {
		one = strings.TrimSpace(one)
		if _, kind, detail := parseDial(one); kind != "" {
			return kind, detail
		}
		for _, earlier := range list[:i] {
			if earlier == one {
				return Clash, fmt.Sprintf("%s is listed twice", one)
			}
		}
		list[i] = one
	}
	s.Peers.Addresses = list
	return "", ""
}

// lookup returns the field of a key; known tells whether its section exists.
func lookup(section, key string) (f *field, known bool) {
	for i := range fields {
		if fields[i].section != section {
			continue
		}
		known = true
		if fields[i].key == key {
			return &fields[i], true
		}
	}
	return nil, known
}

// names returns the sections, or the keys of a section, separated by commas.
func names(section string) string {
	var out []string
	for i := range fields {
		name := fields[i].section
		if section != "" {
			if name != section {
				continue
			}
			name = fields[i].key
		}
		if len(out) == 0 || out[len(out)-1] != name {
			out = append(out, name)
		}
	}
	return strings.Join(out, ", ")
}
