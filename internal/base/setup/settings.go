package setup

import "time"

type (
	// Settings holds all settings of one daemon. Parse and Load fill in
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
		// FailureDomain is one of those declared in the configuration.
		FailureDomain string
		// CallerAddress, PeerAddress and AdminAddress are IP addresses with a
		// port; port 0 lets the system choose one.
		CallerAddress, PeerAddress, AdminAddress string
		// AdvertiseAddress is the address to which peers connect, empty if it
		// is PeerAddress.
		AdvertiseAddress string
	}

	// Peers lists the daemons to contact at start-up.
	Peers struct {
		// Addresses holds peer addresses without the daemon's own.
		Addresses []string
	}

	// Platform holds the base URLs of the platform's services, without a
	// trailing slash.
	Platform struct {
		LogAddress, HostsAddress string
	}

	// Secret authenticates daemons and operators.
	Secret struct {
		// SharedSecret is the deployment's secret. If SharedSecretFile is set,
		// Parse leaves it empty and Load reads it from that file.
		SharedSecret SecretText
		// SharedSecretFile is empty if the secret is in the settings.
		SharedSecretFile string
	}

	// SecretText is a string that fmt and the encoding packages do not reveal.
	SecretText string

	// Limits bound what one daemon accepts from callers.
	Limits struct {
		// Body, Headers and StreamBuffer are in bytes.
		Body, Headers, StreamBuffer int64
		// Memory is the memory of the process in bytes, Descriptors its number of
		// file descriptors.
		Memory      int64
		Descriptors int
		// HeaderTimeout and IdleTimeout apply to a caller's connection.
		HeaderTimeout, IdleTimeout time.Duration
		// Queue is the maximum number of waiting requests, Streams that of
		// forwarded streams, Connections that of callers' connections.
		Queue, Streams, Connections int
		// Decisions is the number of decision records kept for the explain
		// command.
		Decisions int
	}

	// Timing holds intervals and timeouts.
	Timing struct {
		// GossipInterval is the time between gossip exchanges with a peer in
		// the same failure domain, CrossDomainInterval with one in another.
		GossipInterval, CrossDomainInterval time.Duration
		// SuspectAfter is the time without contact after which a peer is
		// suspected to have failed.
		SuspectAfter time.Duration
		// ReportInterval is the time between two polls of an engine's report,
		// CacheEventsInterval of its cache events.
		ReportInterval, CacheEventsInterval time.Duration
		// HostsInterval is the time between two polls of the host list.
		HostsInterval time.Duration
		// LogPollWait is how long a read of the log waits for new records.
		LogPollWait time.Duration
		// LogTimeout and PeerTimeout bound one call, not counting the time for
		// which it waits for records or for a load.
		LogTimeout, PeerTimeout time.Duration
		// DrainTimeout bounds a graceful shutdown.
		DrainTimeout time.Duration
		// Quarantine is how long a request that crashed two upstreams is
		// refused.
		Quarantine time.Duration
		// KeyWindow is the maximum age of an idempotency key; at most half of
		// the log's retention.
		KeyWindow time.Duration
		// SnapshotInterval is the time between two snapshots of the control
		// stream's state.
		SnapshotInterval time.Duration
	}

	// TLS holds the names of PEM files. Without a certificate a listener does
	// not use TLS; a CA requires certificates from its clients.
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
