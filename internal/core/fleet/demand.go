package fleet

import "time"

type (
	// Key identifies a model of a service, or an adapter of the model if
	// Adapter isn't empty. Plain services have neither model nor adapter.
	Key struct{ Service, Model, Adapter string }

	// Demand is the load that one daemon reports to the holder.
	Demand struct {
		// Arrivals counts the requests since the last Demand.
		Arrivals map[Key]int
		// Waiting counts the requests that are queued and have not been sent
		// to an upstream.
		Waiting map[Key]int
		// Running counts the requests in progress by upstream.
		Running map[string]map[Key]int
		// Unreachable are the upstreams that this daemon can't reach, or that
		// their rate limit keeps it from.
		Unreachable []string
		// Limits are the rate limits that the daemon knows, and Permits the
		// number of requests by upstream that wait for one to be sent.
		Limits  []NamedLimit
		Permits map[string]int
		// Allowance asks for what requests and reserves of accounts lack.
		Allowance AllowanceAsk
	}

	// Inventory is what an engine holds and daemons may use.
	Inventory struct {
		ID   string
		Born int64
		// Rev increases with each change.
		Rev  uint64
		Held []LoadedModel
	}

	// PendingLoad is a load in progress.
	PendingLoad struct {
		Key Key
		// In is the expected time until it is done.
		In time.Duration
	}
)
