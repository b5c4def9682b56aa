package setup

import "time"

type (
	// Settings are all settings of one daemon. Parse and Load fill in
	// defaults, so a field is zero only if its key is optional and absent.
	Settings struct {
		Daemon   Daemon
		Peers    Peers
		Platform Platform
		Secret   Secret
		Limits   Limits
		Timing   Timing
		TLS      TLS
	}

	// Daemon holds the identity and the listeners of the daemon.
	Daemon struct {
		// Name is the host's name, as in the platform's host list.
		Name string
		// FailureDomain is one that the configuration declares.
		FailureDomain string
		// CallerAddress, PeerAddress and AdminAddress are IP numbers with a
		// port; port 0 lets the system choose one.
		CallerAddress, PeerAddress, AdminAddress string
		// AdvertiseAddress is where peers call the daemon if that differs
		// from where it listens; else empty.
		AdvertiseAddress string
	}

	// Peers names daemons to contact first.
	Peers struct {
		// Addresses are peer addresses without the daemon's own.
		Addresses []string
	}

	// Platform holds the base URLs of the platform's services, without a
	// trailing slash.
	Platform struct {
		LogAddress, HostsAddress string
	}

	// Secret authenticates daemons and operators.
	Secret struct {
		// SharedSecret is the deployment's secret. Parse leaves it empty if
		// SharedSecretFile is set; Load reads it from there.
		SharedSecret SecretText
		// SharedSecretFile is empty if the secret is in the settings.
		SharedSecretFile string
	}

	// SecretText is a text that is not printed by fmt and encoding packages.
	SecretText string

	// Limits bound what one daemon accepts from callers.
	Limits struct {
		// Body, Headers and StreamBuffer are in bytes.
		Body, Headers, StreamBuffer int64
		// HeaderTimeout and IdleTimeout apply to a caller's connection.
		HeaderTimeout, IdleTimeout time.Duration
		// Queue is the number of waiting requests, Streams of forwarded
		// streams, Connections of callers' connections.
		Queue, Streams, Connections int
		// Decisions is the number of decision records kept for explain.
		Decisions int
	}

	// Timing holds periods and timeouts.
	Timing struct {
		// GossipInterval is the time between exchanges of facts with a peer
		// of the same failure domain, CrossDomainInterval with another one.
		GossipInterval, CrossDomainInterval time.Duration
		// SuspectAfter is the silence after which a peer is suspected.
		SuspectAfter time.Duration
		// ReportInterval is the time between two reads of an engine's report,
		// CacheEventsInterval of its cache events.
		ReportInterval, CacheEventsInterval time.Duration
		// HostsInterval is the time between two reads of the host list.
		HostsInterval time.Duration
		// LogPollWait is how long a read of the log waits for new records.
		LogPollWait time.Duration
		// LogTimeout and PeerTimeout bound one call without waiting time.
		LogTimeout, PeerTimeout time.Duration
		// DrainTimeout bounds a graceful shutdown.
		DrainTimeout time.Duration
		// Quarantine is how long a request that crashed two upstreams is
		// refused.
		Quarantine time.Duration
		// KeyWindow is the oldest age of an idempotency key that is accepted;
		// half of the log's retention at most.
		KeyWindow time.Duration
		// SnapshotInterval is the time between two snapshots of the fold.
		SnapshotInterval time.Duration
	}

	// TLS names PEM files. Empty names leave the listener without TLS; a ca
	// requires certificates of its clients.
	TLS struct {
		CallerCertificate, CallerKey, CallerCA string
		PeerCertificate, PeerKey, PeerCA       string
	}
)

// String returns a placeholder.
func (s SecretText) String() string { return "[secret]" }

// GoString returns a placeholder.
func (s SecretText) GoString() string { return "[secret]" }

// MarshalText returns a placeholder.
func (s SecretText) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }
