package place

import (
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Tier is where an upstream's nearest copy of a checkpoint lies.
	Tier uint8

	// Resident is another grant on a candidate.
	Resident struct {
		Model, Version string
		// Bytes that the grant reserves.
		Bytes int64
		// Loaded is false for a grant whose replica is unloaded; evicting it
		// needs a release only.
		Loaded bool
		// Active requests; a replica with any is never evicted.
		Active int
		// IdleSince is when the last request ended.
		IdleSince time.Time
		// Reload is the time to load it again.
		ReloadTime time.Duration
		// Pinned is set for a replica that min-replicas, a due wake-at or an
		// unacknowledged former owner keeps.
		Pinned bool
	}

	// Candidate is an upstream that may load the model.
	Candidate struct {
		Upstream      string
		FailureDomain string
		// Unavailable is set for an upstream that is leaving or down, or
		// whose owner can't be reached.
		Unavailable bool
		// Excluded is set if a load of this wake failed there already.
		Excluded bool
		Tier     Tier
		// MemoryBytes is the upstream's memory, ReservedBytes the sum of its
		// grants.
		MemoryBytes, ReservedBytes int64
		// Granted is set if the model version is granted on the upstream,
		// Present if it is loaded or being loaded there.
		Granted, Present bool
		// PendingLoads are in progress or ordered.
		PendingLoads int
		Residents    []Resident
	}

	// Wake asks for one more replica of Model@Version.
	Wake struct {
		Model, Version string
		// WeightBytes is read from the tier; Bytes is what a grant reserves.
		WeightBytes, Bytes int64
		// Replicas counts the model's grants over all versions, Limit is the
		// most that it may have.
		Replicas, Limit int
		// FailureDomain is where the requests wait.
		FailureDomain string
		Class         declare.Class
		// Deadline of the earliest waiting request; zero for none.
		Deadline time.Time
		// LogDown is set while no grant can be appended.
		LogDown bool
		// StoreWait is the pacer's estimate for a start of a remote load.
		StoreWait time.Duration
	}

	// Victim names a grant to be released, after an unload if it is loaded.
	Victim struct {
		Model, Version string
		Loaded         bool
	}

	// Reason says why a wake is refused.
	Reason string

	// Decision is Load or Refuse.
	Decision interface{ decision() }

	// Load orders one load.
	Load struct {
		Upstream string
		// NeedsGrant is false if the grant exists.
		NeedsGrant bool
		// Evict lists what must go before the grant fits.
		Evict []Victim
		// Ready is the estimated time until the replica serves.
		ReadyIn time.Duration
		Tier    Tier
	}

	// Refuse states that no replica can be loaded now.
	Refuse struct {
		Reason Reason
		// Ready is the shortest estimate among the candidates for TooLate,
		// otherwise 0.
		ReadyIn time.Duration
	}
)

// Tiers, from fastest to slowest.
const (
	Memory Tier = iota
	Disk
	Remote
)

// Reasons of a refusal.
const (
	// ReplicaLimit: all replicas that the model may have are loaded.
	ReplicaLimit Reason = "replica-limit-reached"
	// ReplicaElsewhere: the limit is reached by grants on upstreams that
	// can't be ordered from here.
	ReplicaElsewhere Reason = "replica-elsewhere"
	// NoMemory: no available upstream has room, even after evictions.
	NoMemory Reason = "no-memory"
	// NoUpstream: no upstream of the model's services is available.
	NoUpstream Reason = "no-upstream"
	// LogUnavailable: there is no unused grant, and none can be appended.
	LogUnavailable Reason = "log-unavailable"
	// TooLate: no load ends before the deadline.
	TooLate Reason = "deadline-unreachable"
)

var (
	_ Decision = Load{}
	_ Decision = Refuse{}
)

func (Load) decision()   {}
func (Refuse) decision() {}

// String returns the tier's name.
func (t Tier) String() string {
	switch t {
	case Memory:
		return "memory"
	case Disk:
		return "disk"
	default:
		return "remote"
	}
}
