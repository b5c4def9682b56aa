package setup

import (
	"fmt"
	"strings"
	"time"
)

// field describes one key: its documentation, and how its value is validated and
// stored.
type field struct {
	section, key string
	required     bool
	// defaultValue is empty if there is no default.
	defaultValue string
	unit         string
	allowed      string
	meaning      string
	// set validates and stores a value. It returns the kind and the detail of
	// the problem, if there is one.
	set func(s *Settings, v string) (ProblemKind, string)
}

const (
	allowedListen = "an IP address with a port, such as 127.0.0.1:8080; port 0 lets the system choose"
	allowedDial   = "an IP address with a port, such as 10.0.0.7:7000"
	allowedURL    = "an IP address with a port, or an http or https URL with one, such as http://10.0.0.7:7000/log"
	allowedName   = "lower-case letters, digits and single hyphens, up to 63"
	allowedSecret = "16 to 1024 bytes"
)

const (
	minSecretBytes = 16
	maxSecretBytes = 1024
	maxPeers       = 1024
)

// fields lists all keys in the order of docs/settings.md.
var fields = []field{
	{section: "daemon", key: "name", required: true, allowed: "a host name in lower case, up to 253 bytes",
		meaning: "Name of the host, as in the platform's host list.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			s.Daemon.Name = v
			return problemUnless(isHostName(v), BadValue, "%q is not a host name in lower case", v)
		}},
	{section: "daemon", key: "failure-domain", required: true, allowed: allowedName,
		meaning: "Failure domain of the host, as declared in the configuration.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			s.Daemon.FailureDomain = v
			return problemUnless(isKebabCase(v), BadValue, "%q is not in kebab case", v)
		}},
	listenField("caller-address", "Listener for callers.", func(s *Settings) *string { return &s.Daemon.CallerAddress }),
	listenField("peer-address", "Listener for other daemons, which connect to this address.", func(s *Settings) *string { return &s.Daemon.PeerAddress }),
	{section: "daemon", key: "advertise-address", allowed: allowedDial,
		meaning: "Address to which other daemons connect if it differs from peer-address, such as behind network address translation.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			_, kind, detail := parseDialAddress(v)
			s.Daemon.AdvertiseAddress = v
			return kind, detail
		}},
	listenField("admin-address", "Listener for metrics, health and status.", func(s *Settings) *string { return &s.Daemon.AdminAddress }),
	{section: "peers", key: "addresses", allowed: "peer addresses (IP address and port) separated by commas, up to 1024",
		meaning: "Peer addresses of the daemons to contact at start-up. The daemon's own address is skipped, so that all hosts can share one list.",
		set:     setPeers},
	urlField("log-address", "Log service.", func(s *Settings) *string { return &s.Platform.LogAddress }),
	urlField("hosts-address", "Host list.", func(s *Settings) *string { return &s.Platform.HostsAddress }),
	{section: "secret", key: "shared-secret", allowed: allowedSecret,
		meaning: "Secret of the deployment, which authenticates daemons and operators. Exactly one of this key and shared-secret-file is required.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			s.Secret.SharedSecret = SecretText(v)
			return problemUnless(validSecretLength(v), OutOfRange, "the secret has %d bytes", len(v))
		}},
	{section: "secret", key: "shared-secret-file", allowed: "a file that holds " + allowedSecret,
		meaning: "File with the secret. A relative name is resolved against the directory of the settings file; trailing newlines are removed.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			s.Secret.SharedSecretFile = v
			return "", ""
		}},
	sizeField("body", 1<<20, 1<<10, 64<<20, "Maximum size of a request body.", func(s *Settings) *int64 { return &s.Limits.Body }),
	sizeField("headers", 16<<10, 1<<10, 1<<20, "Maximum size of the headers of a request.", func(s *Settings) *int64 { return &s.Limits.Headers }),
	durationField("limits", "header-timeout", 5*time.Second, 100*time.Millisecond, time.Minute, "Time within which a caller must send the headers of a request.", func(s *Settings) *time.Duration { return &s.Limits.HeaderTimeout }),
	durationField("limits", "idle-timeout", time.Minute, time.Second, time.Hour, "Time after which an idle connection of a caller is closed.", func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout }),
	countField("queue", 1024, 1, 1<<20, "Maximum number of waiting requests.", func(s *Settings) *int { return &s.Limits.Queue }),
	countField("streams", 4096, 1, 1<<20, "Maximum number of concurrently forwarded streams.", func(s *Settings) *int { return &s.Limits.Streams }),
	sizeField("memory", 512<<20, 64<<20, 64<<30, "Memory that the process may take. Connections, requests and buffered responses of clients have a third of it together.", func(s *Settings) *int64 { return &s.Limits.Memory }),
	countField("descriptors", 16384, 512, 1<<20, "Maximum number of open file descriptors of the process, of which 200 are reserved for files and half of the others are for callers.", func(s *Settings) *int { return &s.Limits.Descriptors }),
	countField("connections", 8192, 1, 1<<20, "Maximum number of open connections of callers; descriptors may allow fewer.", func(s *Settings) *int { return &s.Limits.Connections }),
	sizeField("stream-buffer", 256<<10, 4<<10, 64<<20, "Part of a stream that is buffered for a slow reader; beyond it, the engine's stream is cancelled.", func(s *Settings) *int64 { return &s.Limits.StreamBuffer }),
	countField("decisions", 4096, 16, 1<<20, "Number of decision records kept for the explain command.", func(s *Settings) *int { return &s.Limits.Decisions }),
	timingField("gossip-interval", time.Second, 50*time.Millisecond, 10*time.Second, "Time between gossip exchanges with a peer in the same failure domain.", func(t *Timing) *time.Duration { return &t.GossipInterval }),
	timingField("cross-domain-interval", 4*time.Second, 50*time.Millisecond, time.Minute, "Time between gossip exchanges with a peer in another failure domain; at least gossip-interval.", func(t *Timing) *time.Duration { return &t.CrossDomainInterval }),
	timingField("suspect-after", 3*time.Second, 200*time.Millisecond, time.Minute, "Time without contact after which a peer is suspected to have failed; above gossip-interval and report-interval.", func(t *Timing) *time.Duration { return &t.SuspectAfter }),
	timingField("report-interval", time.Second, 50*time.Millisecond, 10*time.Second, "Time between two polls of an engine's report by its owner.", func(t *Timing) *time.Duration { return &t.ReportInterval }),
	timingField("cache-events-interval", 5*time.Second, 50*time.Millisecond, time.Minute, "Time between two polls of an engine's cache events.", func(t *Timing) *time.Duration { return &t.CacheEventsInterval }),
	timingField("hosts-interval", 2*time.Second, 100*time.Millisecond, time.Minute, "Time between two polls of the host list.", func(t *Timing) *time.Duration { return &t.HostsInterval }),
	timingField("log-poll-wait", 20*time.Second, 100*time.Millisecond, 5*time.Minute, "Time that a read of the log waits for new records.", func(t *Timing) *time.Duration { return &t.LogPollWait }),
	timingField("log-timeout", 5*time.Second, 100*time.Millisecond, time.Minute, "Time limit of a call to the log service, in addition to log-poll-wait.", func(t *Timing) *time.Duration { return &t.LogTimeout }),
	timingField("peer-timeout", 2*time.Second, 100*time.Millisecond, time.Minute, "Time limit of a call to a peer that does not wait for a load.", func(t *Timing) *time.Duration { return &t.PeerTimeout }),
	timingField("drain-timeout", time.Minute, time.Second, time.Hour, "Time limit of a graceful shutdown.", func(t *Timing) *time.Duration { return &t.DrainTimeout }),
	timingField("quarantine", 10*time.Minute, time.Second, 24*time.Hour, "Time for which a request that crashed two upstreams is refused.", func(t *Timing) *time.Duration { return &t.Quarantine }),
	timingField("key-window", 6*time.Hour, time.Minute, 24*time.Hour, "Maximum age of an idempotency key; at most half of the log's retention.", func(t *Timing) *time.Duration { return &t.KeyWindow }),
	timingField("snapshot-interval", time.Hour, time.Second, 24*time.Hour, "Time between two snapshots of the control stream.", func(t *Timing) *time.Duration { return &t.SnapshotInterval }),
	fileField("caller-certificate", "Certificate chain of the caller listener.", func(t *TLS) *string { return &t.CallerCertificate }),
	fileField("caller-key", "Private key of the caller listener.", func(t *TLS) *string { return &t.CallerKey }),
	fileField("caller-ca", "Certificate authorities that verify the certificates of callers, which must present one.", func(t *TLS) *string { return &t.CallerCA }),
	fileField("peer-certificate", "Certificate chain of the peer listener and of connections to peers.", func(t *TLS) *string { return &t.PeerCertificate }),
	fileField("peer-key", "Private key for peer-certificate.", func(t *TLS) *string { return &t.PeerKey }),
	fileField("peer-ca", "Certificate authorities that verify the certificates of peers, which must present one.", func(t *TLS) *string { return &t.PeerCA }),
}

// problemUnless returns no problem if ok is true, and otherwise one of the given
// kind.
func problemUnless(ok bool, kind ProblemKind, format string, args ...any) (ProblemKind, string) {
	if ok {
		return "", ""
	}
	return kind, fmt.Sprintf(format, args...)
}

func validSecretLength(v string) bool { return len(v) >= minSecretBytes && len(v) <= maxSecretBytes }

func listenField(key, meaning string, target func(*Settings) *string) field {
	return field{section: "daemon", key: key, required: true, allowed: allowedListen, meaning: meaning,
		set: func(s *Settings, v string) (ProblemKind, string) {
			_, kind, detail := parseListenAddress(v)
			*target(s) = v
			return kind, detail
		}}
}

func urlField(key, meaning string, target func(*Settings) *string) field {
	return field{section: "platform", key: key, required: true, allowed: allowedURL, meaning: meaning,
		set: func(s *Settings, v string) (kind ProblemKind, detail string) {
			*target(s), kind, detail = parseBaseURL(v)
			return kind, detail
		}}
}

func sizeField(key string, defaultValue, low, high int64, meaning string, target func(*Settings) *int64) field {
	return field{section: "limits", key: key, defaultValue: formatSize(defaultValue), unit: "B, KiB, MiB, GiB", meaning: meaning,
		allowed: formatSize(low) + " to " + formatSize(high),
		set: func(s *Settings, v string) (ProblemKind, string) {
			n, kind, detail := parseSize(v)
			if kind != "" {
				return kind, detail
			}
			*target(s) = n
			return problemUnless(n >= low && n <= high, OutOfRange, "%q", v)
		}}
}

func durationField(section, key string, defaultValue, low, high time.Duration, meaning string, target func(*Settings) *time.Duration) field {
	return field{section: section, key: key, defaultValue: formatDuration(defaultValue), unit: "ms, s, m, h", meaning: meaning,
		allowed: formatDuration(low) + " to " + formatDuration(high),
		set: func(s *Settings, v string) (ProblemKind, string) {
			d, kind, detail := parseDuration(v)
			if kind != "" {
				return kind, detail
			}
			*target(s) = d
			return problemUnless(d >= low && d <= high, OutOfRange, "%q", v)
		}}
}

func timingField(key string, defaultValue, low, high time.Duration, meaning string, target func(*Timing) *time.Duration) field {
	return durationField("timing", key, defaultValue, low, high, meaning, func(s *Settings) *time.Duration { return target(&s.Timing) })
}

func countField(key string, defaultValue, low, high int, meaning string, target func(*Settings) *int) field {
	return field{section: "limits", key: key, defaultValue: fmt.Sprint(defaultValue), meaning: meaning,
		allowed: fmt.Sprintf("%d to %d", low, high),
		set: func(s *Settings, v string) (ProblemKind, string) {
			n, kind, detail := parseCount(v)
			if kind != "" {
				return kind, detail
			}
			*target(s) = n
			return problemUnless(n >= low && n <= high, OutOfRange, "%q", v)
		}}
}

func fileField(key, meaning string, target func(*TLS) *string) field {
	return field{section: "tls", key: key, allowed: "a PEM file", meaning: meaning + " A relative name is resolved against the directory of the settings file.",
		set: func(s *Settings, v string) (ProblemKind, string) {
			*target(&s.TLS) = v
			return "", ""
		}}
}

func setPeers(s *Settings, v string) (ProblemKind, string) {
	list := strings.Split(v, ",")
	if len(list) > maxPeers {
		return OutOfRange, fmt.Sprintf("%d addresses", len(list))
	}
	for i, address := range list {
		address = strings.TrimSpace(address)
		if _, kind, detail := parseDialAddress(address); kind != "" {
			return kind, detail
		}
		for _, earlier := range list[:i] {
			if earlier == address {
				return Conflict, fmt.Sprintf("%s is listed twice", address)
			}
		}
		list[i] = address
	}
	s.Peers.Addresses = list
	return "", ""
}

// lookup returns the field of a key, nil if there is none; known reports whether
// the section exists.
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

// settingNames returns the keys of a section, or all sections for an empty
// section, separated by commas.
func settingNames(section string) string {
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
