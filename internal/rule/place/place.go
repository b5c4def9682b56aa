package place

import (
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Tier is the fastest storage from which an upstream can load a checkpoint.
	Tier uint8

	// Resident is the grant of another model version on a candidate.
	Resident struct {
		Model, Version string
		// Bytes is the memory that the grant reserves.
		Bytes int64
		// Loaded is false for a grant whose replica is unloaded; its eviction
		// requires only a release of the grant.
		Loaded bool
		// Active is the number of requests in progress; a replica with any is
		// never evicted.
		Active int
		// IdleSince is when the last request ended.
		IdleSince time.Time
		// ReloadTime is the time to load the replica again.
		ReloadTime time.Duration
		// Pinned is set for a replica that must be kept because of
		// min-replicas, a due wake-at or an unacknowledged former owner.
		Pinned bool
	}

	// Candidate is an upstream that may load the model.
	Candidate struct {
		Upstream      string
		FailureDomain string
		// Unavailable is set for an upstream that is leaving or down, or
		// whose owner can't be reached.
		Unavailable bool
		// Excluded is set if a load for this wake has failed there already.
		Excluded bool
		Tier     Tier
		// MemoryBytes is the upstream's memory, ReservedBytes the sum of its
		// grants.
		MemoryBytes, ReservedBytes int64
		// Granted is set if the model version is granted on the upstream,
		// Present if it is loaded or being loaded there.
		Granted, Present bool
		// PendingLoads is the number of loads in progress or ordered.
		PendingLoads int
		// Residents are the other grants on the upstream.
		Residents []Resident
	}

	// Wake requests one more replica of Model@Version.
	Wake struct {
		Model, Version string
		// WeightBytes is the size of the weights that are read from the tier,
		// Bytes the memory that a grant reserves.
		WeightBytes, Bytes int64
		// Replicas is the number of the model's grants over all versions, Limit
		// their maximum.
		Replicas, Limit int
		// FailureDomain is the domain in which the requests wait.
		FailureDomain string
		Class         declare.Class
		// Deadline of the earliest waiting request; zero for none.
		Deadline time.Time
		// LogDown is set while no grant can be appended to the log.
		LogDown bool
		// StoreWait is the pacer's estimate of the time until a remote load can
		// start.
		StoreWait time.Duration
	}

	// Victim names a grant to be released, after an unload if it is loaded.
	Victim struct {
		Model, Version string
		Loaded         bool
	}

	// Reason states why a wake is refused.
	Reason string

	// Decision is Load or Refuse.
	Decision interface{ decision() }

	// Load orders one load.
	Load struct {
		Upstream string
		// NeedsGrant is false if the grant exists already.
		NeedsGrant bool
		// Evict lists the grants to release before the new grant fits.
		Evict []Victim
		// ReadyIn is the estimated time until the replica serves.
		ReadyIn time.Duration
		Tier    Tier
	}

	// Refuse states that no replica can be loaded now.
	Refuse struct {
		Reason Reason
		// ReadyIn is the shortest estimate among the candidates for TooLate,
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
	// ReplicaElsewhere: the limit is reached by grants on upstreams that this
	// daemon can't order to load.
	ReplicaElsewhere Reason = "replica-elsewhere"
	// NoMemory: no available upstream has room, even after evictions.
	NoMemory Reason = "no-memory"
	// NoUpstream: no upstream of the model's services is available.
	NoUpstream Reason = "no-upstream"
	// LogUnavailable: there is no unused grant, and none can be appended to the
	// log.
	LogUnavailable Reason = "log-unavailable"
	// TooLate: no load would end before the deadline.
	TooLate Reason = "deadline-unreachable"
)

var (
	_ Decision = Load{}
	_ Decision = Refuse{}
)

func (Load) decision()   {}
func (Refuse) decision() {}

// String returns the name of t as it is logged.
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
