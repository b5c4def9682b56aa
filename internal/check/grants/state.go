package grants

const (
	daemons = 3
	ups     = 2
	models  = 2
)

type (
	// Bounds limit how often each kind of event happens in a run.
	Bounds struct {
		// Daemons is 2 or 3.
		Daemons uint8
		// Takes counts ownership records after the initial ones.
		Takes, Grants, Releases, Acks uint8
		Orders                        uint8
		// GivenUp counts orders that their owner gives up unanswered.
		GivenUp uint8
		// Delayed counts appends that take effect later.
		Delayed uint8
		// Crashes of daemons, Restarts of engines.
		Crashes, Restarts uint8
	}

	// order is one order in flight or waiting for its answer.
	order struct {
		stage uint8
		load  bool
		// void is set for an unload whose confirmation does not count.
		void   bool
		model  uint8
		epoch  uint8
		number uint8
	}

	// post is what a daemon remembers about one upstream.
	post struct {
		// now is the order outstanding, old one that was given up.
		now, old order
		// number of the last order sent.
		number uint8
		// unloaded has a bit for each model whose unload was confirmed
		// under the current epoch, was ordered after every
		// acknowledgement that was read, and was not followed by a load.
		unloaded uint8
		// unsure has a bit for each model of which a load was given up.
		unsure uint8
		// released has a bit for each model whose release was appended
		// and not read back.
		released uint8
		// leaving is set once the daemon appended an acknowledgement.
		leaving bool
	}

	host struct {
		// view is the last record read.
		view  int32
		dead  bool
		gone  bool
		posts [ups]post
	}

	engine struct {
		loaded uint8
		// epoch and number are the highest fencing and sequence numbers.
		epoch, number uint8
	}

	// State is one state of the specification.
	State struct {
		log     int32
		left    Bounds
		hosts   [daemons]host
		engines [ups]engine
		// wire is an append that has not taken effect yet.
		wire entry
	}

	// entry describes a control record.
	entry struct {
		kind          uint8
		up, by, model uint8
		epoch         uint8
		// grantedAt is the offset of the grant that a release withdraws.
		grantedAt uint8
	}
)

// Stages of an order.
const (
	none uint8 = iota
	flying
)

// Kinds of entry.
const (
	noEntry uint8 = iota
	take
	acknowledge
	gone
	grant
	release
)
