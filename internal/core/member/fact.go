package member

import (
	"hash/fnv"
	"strconv"
)

type (
	// Kind is the kind of subject of a fact.
	Kind uint8

	// Status is the state of a subject; a higher value is more severe.
	Status uint8

	// Replica is one loaded model version on an upstream.
	Replica struct {
		Model    string
		Version  string
		Adapters []string
	}

	// Fact is one piece of knowledge about a subject.
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
		// InMemory and OnDisk list checkpoints, as model@version, that an
		// upstream's host has cached.
		InMemory, OnDisk []string
		// Running and Queued are the load of an upstream (Kind Load), or the
		// model loads that a daemon runs and its urgent ones that wait (Kind
		// Loads). Background counts its other waiting loads, AdapterLoads the
		// adapter loads of the last second.
		Running, Queued, Background, AdapterLoads int
		// Crashes lists the crashes of a suspect request (Kind Request).
		Crashes []Crash
	}

	// Crash is one crash of an upstream while a request ran on it.
	Crash struct {
		// ID names the upstream and its incarnation.
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

// Kinds of fact. Load facts stay within a failure domain.
const (
	Daemon Kind = iota + 1
	Upstream
	UpstreamLoad
	SuspectRequest
	ModelLoads
)

// Statuses.
const (
	Alive Status = iota + 1
	Slow
	Suspect
	Leaving
	Dead
)

// Key returns the subject of f.
func (f Fact) Key() Key { return Key{Kind: f.Kind, Name: f.Name} }

// Newer reports whether f replaces g.
func (f Fact) Supersedes(g Fact) bool {
	if f.Counter != g.Counter {
		return f.Counter > g.Counter
	}
	return f.Status > g.Status
}

// Size returns the approximate encoded size of f in bytes.
func (f Fact) Size() int {
	n := 16 + len(f.Name) + len(f.Domain) + len(f.Address) + len(f.Incarnation)
	for _, r := range f.Loaded {
		n += 4 + len(r.Model) + len(r.Version)
		for _, a := range r.Adapters {
			n += 1 + len(a)
		}
	}
	for _, c := range f.Crashes {
		n += 8 + len(c.ID)
	}
	for _, c := range f.InMemory {
		n += 1 + len(c)
	}
	for _, c := range f.OnDisk {
		n += 1 + len(c)
	}
	return n
}

// sum hashes what makes two versions of a fact different.
func (f Fact) hash() uint64 {
	h := fnv.New64a()
	var b []byte
	b = append(b, byte(f.Kind), byte(f.Status))
	b = strconv.AppendUint(b, f.Counter, 10)
	b = append(b, f.Name...)
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
