package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	ttl    = 3 * time.Second
	renew  = 800 * time.Millisecond
	margin = 400 * time.Millisecond
	pause  = 3400 * time.Millisecond
)

func settings(name string, first bool) Settings {
	return Settings{Self: name, Address: name + ":1", TTL: ttl, Renew: renew, Margin: margin, Pause: pause, MaxStagger: 1, FirstStart: first}
}

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// acquire makes l append a record to an empty topic at now and returns the
// Write.
func acquire(t *testing.T, l *Lease, now time.Time) Write {
	t.Helper()
	l.Observe(now, nil, 0, 0)
	w, ok := l.Next(now).(Write)
	must.True(t, ok)
	l.WriteDone(now, now, w, true, false)
	return w
}

// TestFirstStartOrdersAtOnce guards against a pause after a previous holder that
// can't exist, which would waste the seconds before traffic starts.
func TestFirstStartOrdersAtOnce(t *testing.T) {
	l := New(settings("a", true))
	acquire(t, l, at(0))
	_, ok := l.CanOrder(at(0))
	must.True(t, ok)
}

// TestEmptyTopicPauses guards against orders that overlap with those of an
// earlier holder: an empty topic doesn't show that there was none.
func TestEmptyTopicPauses(t *testing.T) {
	l := New(settings("a", false))
	acquire(t, l, at(0))
	_, ok := l.CanOrder(at(pause - 1))
	must.False(t, ok)
	l.WriteDone(at(pause), at(pause), Write{At: 1, Record: Record{Holder: "a", Address: "a:1"}}, true, false)
	_, ok = l.CanOrder(at(pause))
	must.True(t, ok)
}

// TestTenureEndsWithoutRenewal guards against a holder that is cut off from the
// log, or was suspended, and continues to send orders.
func TestTenureEndsWithoutRenewal(t *testing.T) {
	l := New(settings("a", true))
	acquire(t, l, at(0))
	_, ok := l.CanOrder(at(ttl - 1))
	must.True(t, ok)
	_, ok = l.CanOrder(at(ttl))
	must.False(t, ok)
}

// TestTTLCountsFromSend guards against a tenure that is counted from the answer,
// which may arrive long after the record was written.
func TestTTLCountsFromSend(t *testing.T) {
	l := New(settings("a", true))
	l.Observe(at(0), nil, 0, 0)
	w := l.Next(at(0)).(Write)
	l.WriteDone(at(0), at(2*time.Second), w, true, false)
	_, ok := l.CanOrder(at(ttl))
	must.False(t, ok)
}

// TestCandidateWaitsForTTLAndPause guards against two holders whose orders follow
// each other within the pause that engines require.
func TestCandidateWaitsForTTLAndPause(t *testing.T) {
	l := New(settings("b", false))
	l.Observe(at(0), &Record{Holder: "a", Address: "a:1"}, 4, 5)
	must.Eq(t, Action(Wait{at(ttl + margin)}), l.Next(at(0)))
	// The candidate reads again before it writes: the holder may have renewed.
	must.Eq(t, Action(Read{}), l.Next(at(ttl+margin)))
	l.Observe(at(ttl+margin), &Record{Holder: "a", Address: "a:1"}, 4, 5)
	w, ok := l.Next(at(ttl + margin)).(Write)
	must.True(t, ok)
	must.Eq(t, int64(5), w.At)
	l.WriteDone(at(ttl+margin), at(ttl+margin), w, true, false)
	_, may := l.CanOrder(at(ttl + margin + pause - 1))
	must.False(t, may)
	must.True(t, l.Holds(at(ttl+margin)))
}

// TestRestartOnTheSameMachine guards against an unnecessary pause after a
// restart: the previous process is dead, and engines see the same holder.
func TestRestartOnTheSameMachine(t *testing.T) {
	l := New(settings("a", false))
	l.Observe(at(0), &Record{Holder: "a", Address: "a:1"}, 4, 5)
	w, ok := l.Next(at(0)).(Write)
	must.True(t, ok)
	l.WriteDone(at(0), at(0), w, true, false)
	_, may := l.CanOrder(at(0))
	must.True(t, may)
}

// TestSameNameAtAnotherAddress guards against a replacement machine with the
// name of the holder, but another address, that counts as the same holder.
func TestSameNameAtAnotherAddress(t *testing.T) {
	l := New(settings("a", false))
	l.Observe(at(0), &Record{Holder: "a", Address: "z:1"}, 4, 5)
	_, ok := l.Next(at(0)).(Wait)
	must.True(t, ok)
}

// TestReleasedLeaseIsAcquiredAtOnce guards against waiting for the TTL of a
// released lease, and against orders within the pause after it.
func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	l := New(settings("b", false))
	l.Observe(at(0), &Record{Holder: "a", Address: "a:1", Released: true}, 4, 5)
	w, ok := l.Next(at(0)).(Write)
	must.True(t, ok)
	l.WriteDone(at(0), at(0), w, true, false)
	_, may := l.CanOrder(at(pause - 1))
	must.False(t, may)
}

// TestFailedAppendReads guards against a candidate whose conditional append
// failed and that acts as the holder.
func TestFailedAppendReads(t *testing.T) {
	l := New(settings("b", true))
	l.Observe(at(0), nil, 0, 0)
	w := l.Next(at(0)).(Write)
	l.WriteDone(at(0), at(0), w, false, false)
	must.Eq(t, Action(Read{}), l.Next(at(0)))
	must.False(t, l.Holds(at(0)))
}

// TestUnknownAppendIsResolvedByRead guards against a holder that doesn't notice
// that its record was written, and one that counts the tenure from the later
// read.
func TestUnknownAppendIsResolvedByRead(t *testing.T) {
	l := New(settings("a", true))
	l.Observe(at(0), nil, 0, 0)
	w := l.Next(at(0)).(Write)
	l.WriteDone(at(0), at(time.Second), w, false, true)
	must.False(t, l.Holds(at(time.Second)))
	l.Observe(at(2*time.Second), &w.Record, 0, 1)
	must.True(t, l.Holds(at(2*time.Second)))
	must.False(t, l.Holds(at(ttl)))
}

// TestContactDefersCandidates guards against candidates that keep reading the
// log although they are in contact with the holder.
func TestContactDefersCandidates(t *testing.T) {
	l := New(settings("b", false))
	l.Observe(at(0), &Record{Holder: "a", Address: "a:1"}, 4, 5)
	l.HolderSeen(at(2 * time.Second))
	must.Eq(t, Action(Wait{at(2*time.Second + ttl + margin)}), l.Next(at(2*time.Second)))
	l.ContactLost()
	must.Eq(t, Action(Read{}), l.Next(at(2*time.Second)))
}

// simulation is a log and some daemons under random faults.
type simulation struct {
	rng    *rand.Rand
	now    time.Time
	log    []Record
	leases []*Lease
	// suspendedUntil is when each daemon resumes.
	suspendedUntil []time.Time
	// late appends reach the log seconds later and succeed if their condition
	// still holds.
	late   []lateWrite
	orders []order
}

type (
	lateWrite struct {
		at time.Time
		w  Write
	}

	order struct {
		at     time.Time
		daemon int
		fence  int64
	}
)

func (w *simulation) append(a Write) bool {
	if a.At != int64(len(w.log)) {
		return false
	}
	w.log = append(w.log, a.Record)
	return true
}

// step runs one action of daemon i: with small probability a suspension, else
// possibly an order and the lease's next action, whose call may fail.
func (w *simulation) step(i int) {
	l := w.leases[i]
	if w.now.Before(w.suspendedUntil[i]) {
		return
	}
	if w.rng.Float64() < 0.002 {
		w.suspendedUntil[i] = w.now.Add(time.Duration(w.rng.Int64N(int64(6 * time.Second))))
		return
	}
	if fence, ok := l.CanOrder(w.now); ok && w.rng.Float64() < 0.3 {
		w.orders = append(w.orders, order{w.now, i, fence})
	}
	fails := w.rng.Float64() < 0.1
	switch a := l.Next(w.now).(type) {
	case Read:
		if fails {
			return
		}
		end := int64(len(w.log))
		if end == 0 {
			l.Observe(w.now, nil, 0, 0)
			return
		}
		rec := w.log[end-1]
		l.Observe(w.now, &rec, end-1, end)
	case Write:
		switch {
		case fails && w.rng.IntN(2) == 0:
			w.late = append(w.late, lateWrite{w.now.Add(time.Duration(w.rng.Int64N(int64(5 * time.Second)))), a})
			l.WriteDone(w.now, w.now, a, false, true)
		case fails:
			w.append(a)
			l.WriteDone(w.now, w.now, a, false, true)
		default:
			l.WriteDone(w.now, w.now, a, w.append(a), false)
		}
	}
}

// TestHoldersNeverTakeTurnsWithinThePause runs daemons under suspensions, lost
// and late appends, restarts and outages of the log, and checks what engines
// require: the orders of two daemons are separated by the pause, and fencing
// tokens increase.
func TestHoldersNeverTakeTurnsWithinThePause(t *testing.T) {
	for seed := range uint64(300) {
		w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: at(0)}
		names := []string{"a", "b", "c"}
		for i := range names {
			w.leases = append(w.leases, New(settings(names[i], true)))
			w.suspendedUntil = append(w.suspendedUntil, time.Time{})
		}
		for range 3000 {
			w.now = w.now.Add(20 * time.Millisecond)
			kept := w.late[:0]
			for _, x := range w.late {
				if w.now.Before(x.at) {
					kept = append(kept, x)
				} else {
					w.append(x.w)
				}
			}
			w.late = kept
			if w.rng.Float64() < 0.001 {
				i := w.rng.IntN(len(names))
				w.leases[i] = New(settings(names[i], false))
			}
			for i := range w.leases {
				w.step(i)
			}
		}
		must.Positive(t, len(w.orders))
		for i := 1; i < len(w.orders); i++ {
			a, b := w.orders[i-1], w.orders[i]
			if a.daemon == b.daemon {
				continue
			}
			must.GreaterEq(t, 3*time.Second, b.at.Sub(a.at), must.Sprintf("seed %d: orders of daemon %d after daemon %d", seed, b.daemon, a.daemon))
			must.Greater(t, a.fence, b.fence, must.Sprintf("seed %d", seed))
		}
	}
}
