package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var t0 = time.Unix(1_700_000_000, 0)

func report(up, dom string, at time.Time, seqs, running int, models ...LoadedModel) Report {
	return Report{Upstream: up, FailureDomain: dom, Incarnation: "1", At: at, Sequences: seqs, Running: running, Models: models}
}

// build returns a table of n replicas over models and adapters with random
// loads, and the generator that it was built with, both determined by seed.
func build(seed uint64, n, models, adapters int) (*Table, *rand.Rand) {
	rng := rand.New(rand.NewPCG(seed, 1))
	t := New(Settings{FailureDomain: "d0"})
	for i := range n {
		l := LoadedModel{Model: fmt.Sprint("m", i%models), Version: "1"}
		for range rng.IntN(8) {
			l.Adapters = append(l.Adapters, fmt.Sprint("a", rng.IntN(max(adapters, 1))))
		}
		name := fmt.Sprint("u", i)
		t.SetReport(report(name, fmt.Sprint("d", rng.IntN(3)), t0.Add(-time.Duration(rng.IntN(2000))*time.Millisecond), 8, rng.IntN(14), l))
		t.SetHealth(name, []Health{Live, Live, Live, Live, Suspect, Leaving, Down}[rng.IntN(7)])
		for range rng.IntN(3) {
			t.RequestSent(t0, name, uint64(1+rng.IntN(20)))
		}
	}
	return t, rng
}

// allowed is a naive reference implementation that returns the upstreams that
// Pick may choose.
func allowed(t *Table, q Query) []string {
	type cand struct {
		name        string
		wait, fixed time.Duration
		age         time.Duration
	}
	var live, suspect []cand
	for name, u := range t.upstreams {
		for _, p := range u.replicas {
			if p.model.name != q.Model || p.version != q.Version || p.unloaded {
				continue
			}
			if u.health == Leaving || u.health == Down || slices.Contains(q.Exclude, name) {
				continue
			}
			c := cand{name: name, age: t0.Sub(u.reportAt)}
			if u.outstanding >= u.sequences {
				c.wait = t.settings.ServiceTime * time.Duration(u.outstanding+1-u.sequences) / time.Duration(u.sequences)
			}
			if !u.local {
				c.fixed += t.settings.CrossDomainCost
			}
			if q.Adapter != "" && !slices.Contains(p.adapters, t.adapters[q.Adapter]) {
				c.fixed += t.settings.AdapterCost
			}
			if h, ok := t.prefixes.get(q.PrefixHash); ok && q.PrefixHash != 0 && slices.ContainsFunc(h[:], func(h hint) bool { return h.upstream == u }) {
				c.fixed -= t.settings.PrefixSaving
			}
			if u.health == Suspect {
				suspect = append(suspect, c)
			} else {
				live = append(live, c)
			}
		}
	}
	if len(live) == 0 {
		live = suspect
	}
	tolerance := time.Duration(0)
	for _, c := range live {
		tolerance = max(tolerance, c.age)
	}
	tolerance = min(tolerance+t.settings.WaitTolerance, t.settings.MaxWaitTolerance)
	cost := func(a, b cand) int { return int(a.wait + a.fixed - b.wait - b.fixed) }
	if len(live) == 0 {
		return nil
	}
	least := slices.MinFunc(live, cost)
	live = slices.DeleteFunc(live, func(c cand) bool { return cost(c, least) > int(tolerance) })
	fixed := slices.MinFunc(live, func(a, b cand) int { return int(a.fixed - b.fixed) }).fixed
	var out []string
	for _, c := range live {
		if c.fixed <= fixed+time.Millisecond {
			out = append(out, c.name)
		}
	}
	return out
}

// TestPickAgainstReference guards against choices that the naive reference
// implementation does not allow.
func TestPickAgainstReference(t *testing.T) {
	for seed := range uint64(300) {
		tab, rng := build(seed, 1+int(seed%60), 1+int(seed%7), 10)
		for range 20 {
			q := Query{Model: fmt.Sprint("m", rng.IntN(8)), Version: "1"}
			if rng.IntN(2) == 0 {
				q.Adapter = fmt.Sprint("a", rng.IntN(12))
			}
			q.PrefixHash = uint64(rng.IntN(25))
			for range rng.IntN(4) {
				q.Exclude = append(q.Exclude, fmt.Sprint("u", rng.IntN(60)))
			}
			want := allowed(tab, q)
			got := tab.Pick(t0, rng, &q)
			if len(want) == 0 {
				must.Eq(t, "", got.Upstream, must.Sprintf("seed %d", seed))
				continue
			}
			must.SliceContains(t, want, got.Upstream, must.Sprintf("seed %d, query %+v", seed, q))
		}
	}
}

// TestManyDaemonsAvoidHerding guards against many daemons with the same outdated
// reports all choosing the replica that looks least loaded.
func TestManyDaemonsAvoidHerding(t *testing.T) {
	n := 0
	for seed := range uint64(320) {
		tab := New(Settings{FailureDomain: "d"})
		for i := range 12 {
			running := 8
			if i == 0 {
				running = 7
			}
			tab.SetReport(report(fmt.Sprint("u", i), "d", t0, 8, running, LoadedModel{Model: "m", Version: "1"}))
		}
		rng := rand.New(rand.NewPCG(seed, 2))
		if tab.Pick(t0.Add(time.Second), rng, &Query{Model: "m", Version: "1"}).Upstream == "u0" {
			n++
		}
	}
	must.Less(t, 160, n)
	must.Greater(t, 20, n)
}

// TestLateReport guards against a report that hides requests sent after it was
// taken, restores a replica unloaded since, or removes one loaded since.
func TestLateReport(t *testing.T) {
	tab := New(Settings{FailureDomain: "d"})
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	m := LoadedModel{Model: "m", Version: "1"}
	tab.SetReport(report("u", "d", at(0), 4, 1, m))
	tab.RequestSent(at(10), "u", 0)
	tab.RequestSent(at(30), "u", 0)
	tab.SetReport(report("u", "d", at(20), 4, 2, m))
	n, _ := tab.Outstanding("u")
	must.Eq(t, 3, n)
	must.False(t, tab.SetReport(report("u", "d", at(15), 4, 0, m)))
	tab.RequestDone(at(40), "u", "m", "1", 0, 0)
	n, _ = tab.Outstanding("u")
	must.Eq(t, 2, n)
	tab.SetReport(report("u", "d", at(50), 4, 0, m))
	n, _ = tab.Outstanding("u")
	must.Eq(t, 1, n, must.Sprint("this daemon's request in flight is a lower bound"))

	rng := rand.New(rand.NewPCG(1, 1))
	tab.MarkUnloaded(at(70), "u", "m", "1")
	tab.MarkLoaded(at(70), "u", "d", "n", "1")
	tab.SetReport(report("u", "d", at(60), 4, 0, m))
	must.Eq(t, NotLoaded, tab.Pick(at(80), rng, &Query{Model: "m", Version: "1"}).Reason)
	must.Eq(t, "u", tab.Pick(at(80), rng, &Query{Model: "n", Version: "1"}).Upstream)
	tab.SetReport(report("u", "d", at(90), 4, 0, m))
	must.Eq(t, "u", tab.Pick(at(99), rng, &Query{Model: "m", Version: "1"}).Upstream)
	must.Eq(t, NotLoaded, tab.Pick(at(99), rng, &Query{Model: "n", Version: "1"}).Reason)
	tab.Remove("u")
	must.Eq(t, NotLoaded, tab.Pick(at(99), rng, &Query{Model: "m", Version: "1"}).Reason)
}

// TestEjectSlow guards against a slow upstream that keeps its share of the
// requests, and against one that is never used again.
func TestEjectSlow(t *testing.T) {
	tab := New(Settings{FailureDomain: "d"})
	for i := range 4 {
		tab.SetReport(report(fmt.Sprint("u", i), "d", t0, 8, 0, LoadedModel{Model: "m", Version: "1"}))
	}
	for range minSamples {
		for i := range 4 {
			u, lat := fmt.Sprint("u", i), 100*time.Millisecond
			if i == 3 {
				lat = time.Second
			}
			tab.RequestSent(t0, u, 0)
			tab.RequestDone(t0, u, "m", "1", lat, 0)
		}
	}
	seen := func(now time.Time, q Query) map[string]bool {
		rng := rand.New(rand.NewPCG(3, 3))
		out := map[string]bool{}
		for range 200 {
			out[tab.Pick(now, rng, &q).Upstream] = true
		}
		return out
	}
	q := Query{Model: "m", Version: "1"}
	must.False(t, seen(t0, q)["u3"])
	must.True(t, seen(t0.Add(31*time.Second), q)["u3"])
	q.Exclude = []string{"u0", "u1", "u2"}
	must.True(t, seen(t0, q)["u3"])
}

// TestManyReplicas guards against sampling that misses the replica with the
// cached prefix, or that never reaches some replicas.
func TestManyReplicas(t *testing.T) {
	tab := New(Settings{FailureDomain: "d"})
	for i := range 3 * maxCandidates {
		tab.SetReport(report(fmt.Sprint("u", i), "d", t0, 8, 0, LoadedModel{Model: "m", Version: "1"}))
	}
	tab.CacheStored("u7", 9, t0)
	rng := rand.New(rand.NewPCG(4, 4))
	seen := map[string]bool{}
	for range 60 * maxCandidates {
		must.Eq(t, "u7", tab.Pick(t0, rng, &Query{Model: "m", Version: "1", PrefixHash: 9}).Upstream)
		seen[tab.Pick(t0, rng, &Query{Model: "m", Version: "1"}).Upstream] = true
	}
	must.MapLen(t, 3*maxCandidates, seen)
}

// TestPickDoesNotAllocate guards against heap allocations for every request.
func TestPickDoesNotAllocate(t *testing.T) {
	tab, rng := build(1, 600, 260, 1800)
	q := Query{Model: "m1", Version: "1", Adapter: "a5", PrefixHash: 3, Exclude: []string{"u9"}}
	tab.Pick(t0, rng, &q)
	must.Eq(t, 0, testing.AllocsPerRun(100, func() { tab.Pick(t0, rng, &q) }))
}

// BenchmarkPick measures Pick over the number of replicas and models.
func BenchmarkPick(b *testing.B) {
	for _, s := range []struct{ replicas, models, adapters int }{
		{12, 1, 77}, {60, 40, 77}, {600, 260, 1800}, {600, 30, 1800}, {600, 1, 1800},
	} {
		b.Run(fmt.Sprintf("replicas=%d/models=%d/adapters=%d", s.replicas, s.models, s.adapters), func(b *testing.B) {
			tab, rng := build(1, s.replicas, s.models, s.adapters)
			names := make([]string, s.models)
			for i := range names {
				names[i] = fmt.Sprint("m", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				q := Query{Model: names[i%s.models], Version: "1", Adapter: "a5", PrefixHash: uint64(i % 20)}
				tab.Pick(t0, rng, &q)
				i++
			}
		})
	}
}

// TestLateFailure guards against a leaving or down upstream becoming eligible
// again when an older request to it fails or succeeds.
func TestLateFailure(t *testing.T) {
	for _, h := range []Health{Leaving, Down} {
		tb := New(Settings{})
		tb.SetHealth("u", h)
		tb.MarkFailed(t0, "u")
		must.Eq(t, h, tb.upstream("u").health)
		tb.MarkResponded("u")
		must.Eq(t, h, tb.upstream("u").health)
	}
	tb := New(Settings{})
	tb.MarkFailed(t0, "u")
	must.Eq(t, Suspect, tb.upstream("u").health)
	tb.MarkResponded("u")
	must.Eq(t, Live, tb.upstream("u").health)
}

// TestSilenceEnds guards against an upstream that paused once and counts as failed for
// longer than its silence lasted, however many requests it was running, and against
// preferring one that stays silent.
func TestSilenceEnds(t *testing.T) {
	at := func(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }
	m := LoadedModel{Model: "m", Version: "1"}
	tab, rng := New(Settings{FailureDomain: "d0"}), rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{"u0", "u1"} {
		tab.SetReport(report(name, "d0", t0, 8, 0, m))
	}
	picked := func(now time.Time) map[string]bool {
		names := map[string]bool{}
		for range 100 {
			names[tab.Pick(now, rng, &Query{Model: "m", Version: "1"}).Upstream] = true
		}
		return names
	}
	for range 10 {
		tab.Silent(at(5), "u0", at(0))
	}
	must.MapEq(t, map[string]bool{"u1": true}, picked(at(9.9)))
	must.MapEq(t, map[string]bool{"u0": true, "u1": true}, picked(at(10.1)))
	tab.Silent(at(12), "u0", at(0))
	must.MapEq(t, map[string]bool{"u1": true}, picked(at(23.9)))
	tab.Continued("u0")
	must.MapEq(t, map[string]bool{"u0": true, "u1": true}, picked(at(12.1)))

	// A later silence doesn't count from the beginning of one that has ended.
	tab.Silent(at(20), "u0", at(15))
	tab.RequestSent(at(26), "u0", 0)
	tab.RequestDone(at(27), "u0", "m", "1", time.Second, time.Second)
	tab.Silent(at(35), "u0", at(30))
	must.MapEq(t, map[string]bool{"u0": true, "u1": true}, picked(at(40.1)))

	// The silence of a former process isn't that of the present one.
	tab.Silent(at(50), "u0", at(41))
	r := report("u0", "d0", at(51), 8, 0, m)
	r.Incarnation = "2"
	tab.SetReport(r)
	must.MapEq(t, map[string]bool{"u0": true, "u1": true}, picked(at(51.1)))
	must.Eq(t, Live, tab.Health("u0"))
	must.Eq(t, Down, tab.Health("unknown"))
}

// TestFailureEnds guards against an upstream that gets no requests any more after a
// single failure, because others get them all and no report says anything new about it.
func TestFailureEnds(t *testing.T) {
	tab, rng := New(Settings{FailureDomain: "d0"}), rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{"u0", "u1"} {
		tab.SetReport(report(name, "d0", t0, 8, 0, LoadedModel{Model: "m", Version: "1"}))
	}
	picked := func(now time.Time) map[string]bool {
		names := map[string]bool{}
		for range 100 {
			names[tab.Pick(now, rng, &Query{Model: "m", Version: "1"}).Upstream] = true
		}
		return names
	}
	tab.MarkFailed(t0, "u0")
	must.MapEq(t, map[string]bool{"u1": true}, picked(t0.Add(29*time.Second)))
	must.MapEq(t, map[string]bool{"u0": true, "u1": true}, picked(t0.Add(31*time.Second)))
	// What the peers say about it holds until they say something else.
	tab.SetHealth("u0", Suspect)
	must.MapEq(t, map[string]bool{"u1": true}, picked(t0.Add(time.Hour)))
}
