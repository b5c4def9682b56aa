package keys

// servers is the number of servers, attempts the largest number of attempts.
const (
	servers  = 2
	attempts = 3
)

type (
	// Bounds limits the number of events of each kind in a run.
	Bounds struct {
		// Attempts is the number of attempts, at most 3.
		Attempts uint8
		// Takes is the number of ownership records.
		Takes uint8
		// Claims is the number of claim records, Copies that of those which
		// repeat an earlier record of the same attempt.
		Claims, Copies uint8
		// Withdraws is the number of withdraw records.
		Withdraws uint8
		// Delayed is the number of appends that take effect later.
		Delayed uint8
		// Crashes is the number of crashes of servers.
		Crashes uint8
		// Ticks is the number of steps of the log's clock through logMinutes.
		Ticks uint8
	}

	server struct {
		// position is the node of the last record read; start and end are the
		// arguments of claims.New for the reader.
		position   int32
		start, end uint8
		// incarnation is the number of the process.
		incarnation uint8
		// pending, granted and refused are bit sets of attempts: those that
		// wait for a grant, were granted, and were refused at the deadline.
		pending, granted, refused uint8
	}

	attempt struct {
		stage uint8
		// server is the one that the attempt asked.
		server uint8
		// copies is the number of claim records appended for the attempt.
		copies uint8
		ran    bool
		// withdrawn is set once the attempt has withdrawn its claim.
		withdrawn bool
	}

	// State is a state of the specification.
	State struct {
		// log is the last node of the log, clock the index of the log time in
		// logMinutes.
		log       int32
		clock     uint8
		remaining Bounds
		servers   [servers]server
		attempts  [attempts]attempt
		inFlight  entry
	}

	// entry describes a claims record. clock is the index of its log time in
	// logMinutes and set when the append takes effect.
	entry struct {
		kind, server, incarnation, attempt uint8
		epoch                              uint8
		clock                              uint8
	}
)

// Stages of an attempt.
const (
	idle uint8 = iota
	waiting
	granted
	ran
	reported
	refusedNotRun
	refusedUnknown
	mismatchNotRun
	replayed
)

// Kinds of entry.
const (
	noEntry uint8 = iota
	takeOwnership
	claim
	done
	withdraw
)

// logMinutes are the values of the log's clock, in minutes. With the constants
// below, the key can be claimed at the first two values and is expired at the
// others. Records of the first value are dropped at the third, and those of the
// second value at the last.
var logMinutes = [...]int64{102, 104, 107, 109}

// keyMinute is the time of the key, and the other durations are the window and the
// tolerance of claims.Limits and the retention of the log, all in minutes.
const (
	keyMinute        = 102
	windowMinutes    = 2
	aheadMinutes     = 1
	retentionMinutes = 4
	msPerMinute      = 60_000
)
