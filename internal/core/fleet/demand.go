package fleet

import "time"

type (
	// Key identifies a model of a service, or an adapter of the model if
	// Adapter isn't empty. Plain services have neither model nor adapter.
	Key struct{ Service, Model, Adapter string }

	// VersionKey is a Key and the software version of the upstreams that may run
	// requests for it: streams go on only where they began.
	VersionKey struct {
		Key
		Version string
	}

	// Demand is the load that one daemon reports to the holder.
	Demand struct {
		// Arrivals counts the requests since the last Demand.
		Arrivals map[Key]int
		// Waiting counts the requests that are queued and have not been sent
		// to an upstream, and those that were refused for want of slots, for as long
		// as they would have waited.
		Waiting map[Key]int
		// Bound counts those of them that only upstreams of one software version
		// may run.
		Bound map[VersionKey]int
		// Running counts the requests in progress by upstream.
		Running map[string]map[Key]int
		// Unreachable are the upstreams that this daemon can't reach, or that
		// their rate limit keeps it from.
		Unreachable []string
		// Limits are the rate limits that the daemon knows, and Permits the
		// number of requests by upstream that wait for one to be sent.
		Limits  []NamedLimit
		Permits map[string]int
		// SlotTimes are the requests by model that ended since the last Demand;
		// nil from a daemon that doesn't measure them.
		SlotTimes map[Key]SlotTime
		// Allowance asks for what requests and reserves of accounts lack.
		Allowance AllowanceAsk
		// Trials reports requests under which upstreams have crashed; nil from a daemon
		// that doesn't hold them back.
		Trials *TrialReport
		// Asks are for slots of contended engines, and Granted is the last grant of
		// such a slot that the daemon has received. It has used none of those up to it
		// that Running doesn't show.
		Asks    []SlotAsk
		Granted GrantCursor
		// Ended counts the requests since the last Demand that contended engines have
		// run to their end.
		Ended map[string]int
		// Waited is the time that those of them waited at the engine, as far as they
		// waited for a part of it that tells.
		Waited map[string]time.Duration
	}

	// SlotTime is the time for which requests that ended have occupied their slots.
	SlotTime struct {
		Ended int
		// First is the time until the first event, which contains the wait for a slot at
		// the engine, and Rest the time from then on, each summed over the requests.
		First, Rest time.Duration
	}

	// PathReport tells the holder about a daemon's network path to upstreams.
	PathReport struct {
		// Address is the IP:port at which the daemon forwards connections to
		// upstreams for other daemons, empty if it doesn't, and FailureDomain is the
		// daemon's.
		Address, FailureDomain string
		// CutOff is set while the daemon itself reaches no upstream.
		CutOff bool
		// Known is a digest of the list of forwarders that the daemon knows.
		Known uint64
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
		// Version is the software version of the engine.
		Version string
		// In is the expected time until it is done.
		In time.Duration
	}
)
