package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/azurespan/azurespan/declare"
)

var t0 = time.Unix(1_700_000_000, 0)

// TestNeverRunTwice guards against a retry or a hedge of a
// non-idempotent request that may have run, and against a retry past the
// deadline.
func TestNeverRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Attempt{
			Idempotent:    rapid.Bool().Draw(t, "idempotent"),
			Reached:       Reach(rapid.IntRange(0, 2).Draw(t, "reached")),
			Class:         rapid.SampledFrom([]declare.Class{declare.Urgent, declare.Background}).Draw(t, "class"),
			Deadline:      t0.Add(time.Duration(rapid.IntRange(-1000, 9000).Draw(t, "deadline")) * time.Millisecond),
			Attempts:      rapid.IntRange(1, 5).Draw(t, "tries"),
			Permanent:     rapid.Bool().Draw(t, "permanent"),
			MinDuration:   time.Duration(rapid.IntRange(0, 4000).Draw(t, "needs")) * time.Millisecond,
			RetryAfter:    time.Duration(rapid.IntRange(0, 2000).Draw(t, "after")) * time.Millisecond,
			OtherUpstream: rapid.Bool().Draw(t, "other"),
		}
		p := New(Policy{HedgeAfter: time.Millisecond})
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		v, again := p.Decide(t0, a, NewBudget(0.1, 1, 10), rng).(Again)
		hedge := p.MayHedge(t0, a, time.Second, NewBudget(0.1, 1, 10))
		if !a.Idempotent {
			must.False(t, hedge)
			must.False(t, again && a.Reached != NotReached)
		}
		if again {
			must.False(t, t0.Add(v.After+a.MinDuration).After(a.Deadline))
			must.True(t, a.OtherUpstream || v.After >= a.RetryAfter)
			must.False(t, a.Permanent)
		}
	})
}

// TestBudgetShare guards against retries that amplify an overload: in the long
// run they are limited to the share of requests plus the initial tokens.
func TestBudgetShare(t *testing.T) {
	b := NewBudget(0.1, 0, 10)
	taken := 0
	for i := range 10_000 {
		b.AddRequest()
		if b.Take(t0.Add(time.Duration(i)*time.Millisecond), 0) {
			taken++
		}
	}
	must.Between(t, 1000, taken, 1010)
}

// TestUrgentReserve guards against background retries that exhaust the budget
// of urgent requests, and against a budget that isn't refilled over time.
func TestUrgentReserve(t *testing.T) {
	p, b := New(Policy{}), NewBudget(0.1, 1, 10)
	rng := rand.New(rand.NewPCG(1, 1))
	count := func(now time.Time, c declare.Class) (n int) {
		for {
			a := &Attempt{Idempotent: true, Class: c, Deadline: now.Add(time.Hour), Attempts: 1}
			if _, ok := p.Decide(now, a, b, rng).(Again); !ok {
				return n
			}
			n++
		}
	}
	must.Eq(t, 5, count(t0, declare.Background))
	must.Eq(t, 5, count(t0, declare.Urgent))
	must.Eq(t, 3, count(t0.Add(3*time.Second), declare.Urgent))
}

// TestJitter guards against delays that make many callers retry at the same
// moment.
func TestJitter(t *testing.T) {
	p := New(Policy{})
	rng := rand.New(rand.NewPCG(1, 1))
	for attempts, bound := range []time.Duration{1: 100 * time.Millisecond, 2: 200 * time.Millisecond, 9: 5 * time.Second} {
		if bound == 0 {
			continue
		}
		var quarter [4]int
		for range 4000 {
			d := p.Delay(attempts, rng)
			must.Between(t, 0, d, bound)
			quarter[min(int(4*d/bound), 3)]++
		}
		for _, n := range quarter {
			must.Between(t, 850, n, 1150)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	p, bud := New(Policy{}), NewBudget(0.1, 1e9, 100)
	rng := rand.New(rand.NewPCG(1, 1))
	a := &Attempt{Idempotent: true, Class: declare.Urgent, Deadline: t0.Add(time.Hour), Attempts: 2}
	b.ReportAllocs()
	for b.Loop() {
		p.Decide(t0, a, bud, rng)
	}
}
