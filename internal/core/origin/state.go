package origin

import (
	"maps"
	"slices"
	"time"
)

type (
	// Versions are software versions by service, sorted.
	Versions map[string][]string

	// State is which versions of each service may have begun streams, as the holder
	// decides (package opener). Its names are part of messages and records.
	State struct {
		// Announced are the versions at which streams may begin before long, Open
		// those of them at which they may have begun.
		Announced Versions `json:"announced,omitempty"`
		Open      Versions `json:"open,omitempty"`
		// Admitted are those at which daemons begin streams: the log has them as
		// open, so that the next holder knows. It isn't written.
		Admitted Versions `json:"-"`
		// Complete is unset while other versions may have begun streams.
		Complete bool `json:"complete,omitempty"`
	}

	// evidence is a State and the latest time at which it is known to have held, on a
	// clock that counts suspensions of the machine.
	evidence struct {
		state State
		asOf  time.Time
		// revision is that of a state of the holder.
		revision Revision
		// none is set if the log has no state, fresh if no daemon of an earlier build
		// has written to it.
		none, fresh bool
	}

	// Revision orders the states of a holder. Fence is that of its tenure.
	Revision struct {
		Fence int64
		Rev   uint64
	}
)

// Equal reports whether two states are the same but for Admitted.
func (s State) Equal(other State) bool {
	same := func(a, b Versions) bool { return maps.EqualFunc(a, b, slices.Equal[[]string]) }
	return s.Complete == other.Complete && same(s.Announced, other.Announced) && same(s.Open, other.Open)
}

// Join returns a state with the versions of both, none of them admitted. It is complete if
// one of them is.
func (s State) Join(other State) State {
	return State{Announced: join(s.Announced, other.Announced), Open: join(s.Open, other.Open), Complete: s.Complete || other.Complete}
}

func join(a, b Versions) Versions {
	out := make(Versions, len(a))
	for _, m := range []Versions{a, b} {
		for service, vs := range m {
			for _, v := range vs {
				if i, found := slices.BinarySearch(out[service], v); !found {
					out[service] = slices.Insert(out[service], i, v)
				}
			}
		}
	}
	return out
}

// Hold records that the holder answered with a state, nil for the one of that revision
// that is known, to a question that was asked at asOf. Revision 0 and an empty state stand
// for a holder of an earlier build, which doesn't announce versions.
func (t *Table) Hold(now, asOf time.Time, r Revision, s *State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, before := &t.holder, t.latest()
	if r.Fence < e.revision.Fence || r.Fence == e.revision.Fence && r.Rev < e.revision.Rev || s == nil && r != e.revision {
		return // a late answer
	}
	if s != nil && r != e.revision {
		*e = evidence{state: *s, revision: r}
		t.announce(now, s.Announced)
		before = nil
	}
	if e.asOf = later(e.asOf, asOf); t.latest() != before {
		t.admissions.Add(1)
	}
}

// Store records that a read of the log that began at asOf found a state, nil if the log
// has none. fresh is set if no daemon of an earlier build has written to it; those begin
// streams at any version.
func (t *Table) Store(now, asOf time.Time, s *State, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf.Before(t.log.asOf) {
		return
	}
	t.log = evidence{asOf: asOf, none: s == nil, fresh: fresh}
	if s != nil {
		t.log.state = *s
		t.announce(now, s.Announced)
	}
	t.admissions.Add(1)
}

// Stored returns the state that the log had, nil if it had none, when the last read of it
// began, zero if there was none, and whether it was fresh.
func (t *Table) Stored() (s *State, asOf time.Time, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.log.none && !t.log.asOf.IsZero() {
		state := t.log.state
		s = &state
	}
	return s, t.log.asOf, t.log.fresh
}

// announce has the streams recorded of services with several announced versions. t.mu
// must be held.
func (t *Table) announce(now time.Time, announced Versions) {
	for service, vs := range announced {
		for _, v := range vs {
			t.addVersion(now, service, v)
		}
	}
}

// Admissions counts the changes of what Admits returns.
func (t *Table) Admissions() uint64 { return t.admissions.Load() }

// latest returns the evidence that is known to have held last. t.mu must be held.
func (t *Table) latest() *evidence {
	if t.holder.asOf.Before(t.log.asOf) {
		return &t.log
	}
	return &t.holder
}

// Undecided reports whether neither the holder nor the log has told any state.
func (t *Table) Undecided() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.asOf.IsZero() && (t.log.asOf.IsZero() || t.log.none)
}

// Admits reports whether this daemon may begin streams at a version: at any, if the last that
// it has heard of is a holder of an earlier build, or a log that such builds alone have
// written.
func (t *Table) Admits(service, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e := t.latest(); {
	case e.asOf.IsZero():
		return false
	case e == &t.log && e.none:
		return !e.fresh
	case e == &t.log:
		return slices.Contains(e.state.Open[service], version)
	case e.revision.Rev == 0:
		return true
	default:
		return slices.Contains(e.state.Admitted[service], version)
	}
}

// Only returns the version of all streams of a service that began until since, the
// arrival of the request that resumes one. It returns false if there may be several, or
// the Table can't tell. Both times are on a clock that counts suspensions.
//
// Streams begin at a version only once it is open, which is TTL or more after its
// announcement. So a state that held until TTL ago has announced each version at which
// streams have begun, and one that holds after since lists each of them as open.
func (t *Table) Only(now, since time.Time, service string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range []*evidence{&t.holder, &t.log} {
		if !e.state.Complete {
			continue
		}
		if vs := e.state.Open[service]; len(vs) == 1 && !e.asOf.Before(since) {
			return vs[0], true
		}
		if vs := e.state.Announced[service]; len(vs) == 1 && now.Sub(e.asOf) <= t.ttl {
			return vs[0], true
		}
	}
	return "", false
}

// TTL returns for how long a state may be relied on after it held.
func (t *Table) TTL() time.Duration { return t.ttl }

// Evidence returns the latest state and its age, for logs.
func (t *Table) Evidence(now time.Time) (State, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.latest()
	return e.state, now.Sub(e.asOf)
}

// Outdated reports whether another read of the log would tell which versions may have
// begun streams: neither the holder nor the log has lately.
func (t *Table) Outdated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.latest().asOf) > t.ttl
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
