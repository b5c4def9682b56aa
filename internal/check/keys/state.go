package keys

const (
	keepers  = 2
	attempts = 3
)

type (
	// Bounds limit how often each kind of event happens in a run.
	Bounds struct {
		// Attempts is at most 3.
		Attempts uint8
		Takes    uint8
		// Claims counts claim records, Copies those among them that repeat
		// the record of an attempt.
		Claims, Copies uint8
		// Withdraws counts withdraw records.
		Withdraws uint8
		// Delayed counts appends that take effect later.
		Delayed uint8
		// Crashes of keepers.
		Crashes uint8
		// Ticks counts steps of the log's clock through Times.
		Ticks uint8
	}

	keeper struct {
		// view is the last record read; start and end are those of the
		// reader (see claims.New).
		view       int32
		start, end uint8
		// run numbers the process.
		run uint8
		// pending, granted and refused have a bit for each attempt.
		pending, granted, refused uint8
	}

	attempt struct {
		stage  uint8
		keeper uint8
		copies uint8
		ran    bool
		// withdrawn is set once it sent its withdrawal.
		withdrawn bool
	}

	// State is one state of the specification.
	State struct {
		log      int32
		clock    uint8
		left     Bounds
		keepers  [keepers]keeper
		attempts [attempts]attempt
		wire     entry
	}

	// entry describes a claims record. Its log time is set when it lands.
	entry struct {
		kind, by, run, attempt uint8
		epoch                  uint8
		clock                  uint8
	}
)

// Stages of an attempt.
const (
	idle uint8 = iota
	waiting
	granted
	ran
	reported
	refusedNo
	refusedUnknown
	mismatchNo
	replayed
)

// Kinds of entry.
const (
	noEntry uint8 = iota
	take
	claim
	done
	withdraw
)

// Times are the values of the log's clock, in minutes. With keyTime, window
// and retention below, the key can be claimed at the first two values, is
// expired at the others, and records of the first value are dropped at the
// third, those of the second at the last.
var Times = [...]int64{102, 104, 107, 109}

const (
	keyTime   = 102
	window    = 2
	ahead     = 1
	retention = 4
	minuteMS  = 60_000
)
