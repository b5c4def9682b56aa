package grants

// Numbers of daemons, upstreams and models.
const (
	daemons   = 3
	upstreams = 2
	models    = 2
)

type (
	// Bounds limits the number of events of each kind in a run.
	Bounds struct {
		// Daemons is the number of daemons, 2 or 3.
		Daemons uint8
		// Takes is the number of ownership records after the initial ones.
		// Grants, Releases and Acks are the numbers of records of that kind.
		Takes, Grants, Releases, Acks uint8
		// Orders is the number of orders to engines.
		Orders uint8
		// GivenUp is the number of orders that their owner gives up without
		// an answer.
		GivenUp uint8
		// Delayed is the number of appends that take effect later.
		Delayed uint8
		// Crashes is the number of crashes of daemons, Restarts that of
		// restarts of engines.
		Crashes, Restarts uint8
	}

	// order is an order to an engine that has not been answered.
	order struct {
		stage uint8
		load  bool
		// ignored is set for an unload whose confirmation does not count
		// towards a release.
		ignored  bool
		model    uint8
		epoch    uint8
		sequence uint8
	}

	// upstreamState is what a daemon knows about an upstream.
	upstreamState struct {
		// current is the outstanding order, abandoned one that was given up.
		current, abandoned order
		// sequence is the sequence number of the last order.
		sequence uint8
		// unloaded is the bit set of models whose unload was confirmed under
		// the current epoch, was ordered after every acknowledgement that was
		// read, and was not followed by a load.
		unloaded uint8
		// uncertain is the bit set of models of which a load was given up, so
		// that they may be loaded later.
		uncertain uint8
		// releasing is the bit set of models whose release was appended and
		// not read back.
		releasing uint8
		// acknowledged is set once the daemon, as owner, has appended an
		// acknowledgement.
		acknowledged bool
	}

	// host is the host of a daemon.
	host struct {
		// position is the node of the last record that the daemon read.
		position int32
		crashed  bool
		// gone is set once the host is reported gone.
		gone      bool
		upstreams [upstreams]upstreamState
	}

	engine struct {
		// loaded is the bit set of loaded models.
		loaded uint8
		// epoch and sequence are the highest fencing number seen and the
		// highest sequence number under it.
		epoch, sequence uint8
	}

	// State is a state of the specification.
	State struct {
		// log is the last node of the log.
		log       int32
		remaining Bounds
		hosts     [daemons]host
		engines   [upstreams]engine
		// inFlight is a delayed append that has not taken effect yet.
		inFlight entry
	}

	// entry describes a control record.
	entry struct {
		kind                    uint8
		upstream, daemon, model uint8
		epoch                   uint8
		// grantedAt is the offset of the grant that a release withdraws.
		grantedAt uint8
	}
)

// Stages of an order.
const (
	noOrder uint8 = iota
	sent
)

// Kinds of entry.
const (
	noEntry uint8 = iota
	takeOwnership
	acknowledge
	hostGone
	grant
	release
)
