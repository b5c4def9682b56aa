package member

import (
	"hash/fnv"
	"strconv"
)

type (
	// Kind is the kind of a fact's subject.
	Kind uint8

	// Status is the status of a subject; a higher value is more severe.
	Status uint8

	// Replica is one loaded model version on an upstream.
	Replica struct {
		Model    string
		Version  string
		Adapters []string
	}

	// Fact is the known state of one subject.
	Fact struct {
		Kind    Kind
		Name    string
		Counter uint64
		Status  Status
		// Domain is the failure domain of a daemon or upstream.
		Domain string
		// Address is the peer address of a daemon.
		Address string
		// Incarnation identifies the engine process behind an upstream.
		Incarnation string
		// Loaded lists the replicas of an upstream.
		Loaded []Replica
		// InMemory and OnDisk list the checkpoints, as model@version, that
		// the upstream's host has cached.
		InMemory, OnDisk []string
		// For Kind UpstreamLoad, Running and Queued count the requests on an
		// upstream. For Kind ModelLoads, Running counts the model loads that a
		// daemon runs, Queued its queued urgent loads, Background its other
		// queued loads, and AdapterLoads its adapter loads in the last second.
		Running, Queued, Background, AdapterLoads int
		// Crashes lists the crashes of a suspect request (Kind
		// SuspectRequest), and Cleared those that do not count because it has
		// completed since.
		Crashes, Cleared []Crash
	}

	// Crash is one crash of an upstream while a request ran on it.
	Crash struct {
		// ID identifies the upstream and its incarnation.
		ID string
		// AtMS is the time in milliseconds since the Unix epoch.
		AtMS int64
		// Progress is set if the request had produced tokens there.
		Progress bool
	}

	// Key identifies the subject of a fact.
	Key struct {
		Kind Kind
		Name string
	}
)

// Kinds of fact. UpstreamLoad facts stay within a failure domain.
const (
	Daemon Kind = iota + 1
	Upstream
	UpstreamLoad
	SuspectRequest
	ModelLoads
)

// Statuses, in increasing severity.
const (
	Alive Status = iota + 1
	Slow
	Suspect
	Leaving
	Dead
)

// Key returns the subject of f.
func (f Fact) Key() Key { return Key{Kind: f.Kind, Name: f.Name} }

// Supersedes reports whether f replaces g.
func (f Fact) Supersedes(g Fact) bool {
	if f.Counter != g.Counter {
		return f.Counter > g.Counter
	}
	return f.Status > g.Status
}

// Approximate encoded sizes, in bytes, of the parts of a fact besides its texts.
const (
	fixedFactBytes    = 16
	fixedReplicaBytes = 4
	fixedCrashBytes   = 8
	lengthBytes       = 1 // length prefix of a text in a list
)

// Size returns the approximate encoded size of f in bytes.
func (f Fact) Size() int {
	n := fixedFactBytes + len(f.Name) + len(f.Domain) + len(f.Address) + len(f.Incarnation)
	for _, r := range f.Loaded {
		n += fixedReplicaBytes + len(r.Model) + len(r.Version)
		for _, a := range r.Adapters {
			n += lengthBytes + len(a)
		}
	}
	for _, list := range [][]Crash{f.Crashes, f.Cleared} {
		for _, c := range list {
			n += fixedCrashBytes + len(c.ID)
		}
	}
	for _, c := range f.InMemory {
		n += lengthBytes + len(c)
	}
	for _, c := range f.OnDisk {
		n += lengthBytes + len(c)
	}
	return n
}

// hash hashes the fields that distinguish two versions of a fact.
func (f Fact) hash() uint64 {
	h := fnv.New64a()
	var b []byte
	b = append(b, byte(f.Kind), byte(f.Status))
	b = strconv.AppendUint(b, f.Counter, 10)
	b = append(b, f.Name...)
	// Daemons that are cut off from each other report different crashes with
	// the same counter.
	for _, list := range [][]Crash{f.Crashes, f.Cleared} {
		b = append(b, 0)
		for _, c := range list {
			b = append(append(b, c.ID...), 0)
		}
	}
	_, _ = h.Write(b)
	return h.Sum64()
}

// String returns the status in kebab case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Slow:
		return "slow"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}
