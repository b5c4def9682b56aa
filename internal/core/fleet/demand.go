package fleet

import "time"

type (
	// Key names a model of a service, and an adapter of it if not empty.
	// Plain services have neither.
	Key struct{ Service, Model, Adapter string }

	// Demand is what one daemon tells the holder.
	Demand struct {
		// Arrivals since the last Demand.
		Arrivals map[Key]int
		// Waiting requests that have been sent to no upstream.
		Waiting map[Key]int
		// Running requests by upstream.
		Running map[string]map[Key]int
		// Unreachable upstreams, as this daemon has found.
		Unreachable []string
	}

	// Copy is an engine's content as daemons may use it.
	Inventory struct {
		ID   string
		Born int64
		// Rev grows with each change.
		Rev  uint64
		Held []LoadedModel
	}

	// Coming is a load under way.
	PendingLoad struct {
		Key Key
		In  time.Duration
	}
)
