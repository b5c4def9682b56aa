package fleet

import "time"

type (
	// SlotAsk asks the holder for slots of contended engines, for requests that wait
	// for one key.
	SlotAsk struct {
		Key Key
		// Engines are the contended engines that may run the requests.
		Engines []string
		// Requests are those that wait, in the order in which the daemon would send
		// them.
		Requests []SlotRequest
	}

	// SlotRequest is a request that waits for a slot.
	SlotRequest struct {
		// ID names it; it is larger than those of the daemon's former requests.
		ID uint64
		// AccountRank and Rank are its urgency as in the daemon's queue.
		AccountRank, Rank int
		// Slack is the time left until a slot must be granted for it to be on time,
		// negative if it is late, and Within that time on its arrival.
		Slack, Within time.Duration
		// Left is the time left until it waits no more.
		Left time.Duration
	}

	// SlotGrant allows a daemon to send one request to a contended engine.
	SlotGrant struct {
		// Number counts the grants of a tenure.
		Number uint64
		Engine string
	}

	// GrantCursor is the last grant that a daemon has received, of the tenure with a
	// fence.
	GrantCursor struct {
		Fence  int64
		Number uint64
	}

	// SlotRefusal states that a request that waits for a slot can't be served.
	SlotRefusal struct {
		ID uint64
		// In is the time in which it could be, 0 if that isn't known.
		In time.Duration
	}

	// SlotWord is what the holder says of the slots of engines.
	SlotWord struct {
		// Grants is set by a holder that grants slots, and Known once it has heard of
		// enough daemons to do so.
		Grants, Known bool
		// Contended are the engines whose slots it grants. Same is set in their place if
		// they are those that the daemon knows.
		Contended []ContendedEngine
		Same      bool
	}

	// ContendedEngine is an engine whose slots the holder grants.
	ContendedEngine struct {
		ID string
		// PerSecond is the number of requests that end there in a second, 0 if it
		// isn't known.
		PerSecond float64
	}
)
