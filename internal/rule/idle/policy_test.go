package idle

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
)

var (
	t0   = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)
	load = 10 * time.Second
)

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// visit records a request of one second and returns when the model is idle
// again.
func visit(k *Policy, at time.Time, model string) time.Time {
	k.RecordBusy(at, model, 1)
	k.RecordBusy(at.Add(time.Second), model, 0)
	return at.Add(time.Second)
}

// keptFor returns for how long Decide keeps a replica that became idle at the
// given time.
func keptFor(k *Policy, m *declare.Model, at time.Time) time.Duration {
	now := at
	for now.Sub(at) < 48*time.Hour {
		v, ok := k.Decide(now, Replica{Model: m, Replicas: 1, IdleSince: at, LoadTime: load}).(Keep)
		if !ok {
			break
		}
		now = v.Until
	}
	return now.Sub(at)
}

// TestWorthKeepingAgainstReference guards against a keep time whose expected
// cost is higher than the minimum, which is found by a search over keep times
// in small steps on the same histogram.
func TestWorthKeepingAgainstReference(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var g histogram
		scale := math.Exp(rng.Float64() * 6)
		for range rng.IntN(300) {
			g.add(rng.ExpFloat64() * scale)
		}
		age, miss := rng.Float64()*scale, math.Exp(rng.Float64()*7)
		density := func(x float64) float64 { // of gaps around x
			i, low := 0, 0.0
			for i < buckets-1 && edges[i] <= x {
				low = edges[i]
				i++
			}
			return (float64(g.weight[i]) + priorWeight/buckets) / (edges[i] - low)
		}
		survive := func(from float64) (s float64) { // mass beyond from
			for i, low := 0, 0.0; i < buckets; low, i = edges[i], i+1 {
				if edges[i] > from {
					s += density((low+edges[i])/2) * (edges[i] - max(low, from))
				}
			}
			return s
		}
		cost := func(keep float64) float64 {
			const steps = 400
			total, area := survive(age), 0.0
			for i := range steps {
				area += survive(age+keep*(float64(i)+0.5)/steps) / total * keep / steps
			}
			return area + survive(age+keep)/total*miss
		}
		got := cost(g.worthKeeping(age, miss, 1))
		for keep := 0.1; keep < 20_000; keep *= 1.3 {
			must.LessEq(t, cost(keep)*1.02+0.5, got, must.Sprintf("seed %d, keep %f", seed, keep))
		}
	}
}

// TestColdStartWeight guards against a higher weight that shortens the keep
// time, and against an unload at weight 1.
func TestColdStartWeight(t *testing.T) {
	m := &declare.Model{Name: "m"}
	var last time.Duration
	for i, w := range []float64{0, 0.2, 0.5, 0.8, 0.95} {
		k := New(Settings{ColdStartWeight: w})
		got := keptFor(k, m, t0)
		must.GreaterEq(t, last, got, must.Sprintf("weight %g", w))
		if i == 0 {
			must.Less(t, load, got)
		}
		last = got
	}
	must.Greater(t, time.Minute, last)
	must.GreaterEq(t, 48*time.Hour, keptFor(New(Settings{ColdStartWeight: 1}), m, t0))
}

// TestIdleTimeHistory guards against keeping a model whose idle times are
// always long, and against unloading it shortly before a regular request.
func TestIdleTimeHistory(t *testing.T) {
	k := New(Settings{ColdStartWeight: 0.5})
	short, long := t0, t0
	for range 50 {
		short = visit(k, short.Add(secs(60)), "short")
		long = visit(k, long.Add(secs(7000)), "long")
	}
	must.GreaterEq(t, secs(60), keptFor(k, &declare.Model{Name: "short"}, short))
	must.LessEq(t, secs(2), keptFor(k, &declare.Model{Name: "long"}, long))
}

// TestConfigurationTakesPrecedence guards against unloading below min-replicas,
// unloading a replica in use, and unloading around a wake-at, also across
// midnight.
func TestConfigurationTakesPrecedence(t *testing.T) {
	k := New(Settings{})
	m := &declare.Model{Name: "m", MinReplicas: 1, WakeAt: []string{"00:00", "05:30"}}
	old := t0.Add(-time.Hour)
	is := func(want Reason, now time.Time, r Replica) {
		t.Helper()
		r.Model, r.IdleSince, r.LoadTime = m, old, load
		v, _ := k.Decide(now, r).(Keep)
		must.Eq(t, want, v.Reason)
	}
	noon := t0.Add(12 * time.Hour)
	is(MinReplicas, noon, Replica{Replicas: 1})
	is(InUse, noon, Replica{Replicas: 2, Active: 1})
	is("", noon, Replica{Replicas: 2})
	dawn := t0.Add(5*time.Hour + 30*time.Minute)
	is(WakeAt, dawn.Add(-load), Replica{Replicas: 2})
	is(WakeAt, dawn.Add(9*time.Minute), Replica{Replicas: 2})
	is("", dawn.Add(11*time.Minute), Replica{Replicas: 2})
	is("", dawn, Replica{Replicas: 2, Rank: 1})
	for now, want := range map[time.Time]bool{
		t0.Add(-load): true, t0.Add(-time.Minute): false, dawn.Add(-load): true, dawn.Add(-time.Minute): false,
	} {
		_, due := k.PrewakeDue(now, m, load)
		must.Eq(t, want, due, must.Sprint(now))
	}
}

// TestRecurrence guards against a cold start of a model that is first used at
// the same time each day, against loading it ahead after the request has come,
// and against loading it ahead at weight 0, where it has no value.
func TestRecurrence(t *testing.T) {
	m := &declare.Model{Name: "m"}
	for _, w := range []float64{0, 0.9} {
		k := New(Settings{ColdStartWeight: w})
		rng := rand.New(rand.NewPCG(1, 1))
		dawn := func(d int) time.Time { return t0.AddDate(0, 0, d).Add(5*time.Hour + 30*time.Minute) }
		for d := range 5 {
			visit(k, dawn(d).Add(secs(rng.Float64()*20-10)), "m")
		}
		due := func(at time.Time) bool { _, ok := k.PrewakeDue(at, m, load); return ok }
		must.Eq(t, w > 0, due(dawn(5).Add(-load-secs(15))))
		must.False(t, due(dawn(5).Add(-secs(120))))
		must.False(t, due(dawn(5).Add(secs(120))))
		must.False(t, due(dawn(5).Add(6*time.Hour)))
		visit(k, dawn(5).Add(-secs(5)), "m")
		must.False(t, due(dawn(5)))
		must.False(t, due(dawn(20)), must.Sprint("two weeks without a request"))
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{25, 40, 260, 1000} {
		b.Run(fmt.Sprintf("models=%d", n), func(b *testing.B) {
			k := New(Settings{ColdStartWeight: 0.5})
			ms := make([]declare.Model, n)
			for i := range ms {
				ms[i].Name = fmt.Sprint("m", i)
				for j := range 20 {
					visit(k, t0.Add(secs(float64(j*(i+10)))), ms[i].Name)
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				k.Decide(t0.Add(time.Hour), Replica{Model: &ms[i%n], Replicas: 1, IdleSince: t0.Add(59 * time.Minute), LoadTime: load})
				i++
			}
		})
	}
}
