package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
)

var t0 = time.Unix(1_700_000_000, 0)

const gb = 1 << 30

func candidates(rng *rand.Rand, n, residents int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		d := &out[i]
		*d = Candidate{
			Upstream: fmt.Sprint("u", i), FailureDomain: fmt.Sprint("d", rng.IntN(3)),
			Unavailable: rng.IntN(6) == 0, Excluded: rng.IntN(9) == 0, Tier: Tier(rng.IntN(3)),
			MemoryBytes: 80 * gb, Granted: rng.IntN(8) == 0, PendingLoads: rng.IntN(3) / 2,
		}
		d.Present = d.Granted && rng.IntN(2) == 0
		for j := range rng.IntN(residents + 1) {
			r := Resident{
				Model: fmt.Sprint("r", j), Version: "1", Bytes: int64(1+rng.IntN(30)) * gb, Loaded: rng.IntN(4) > 0,
				IdleSince: t0.Add(-time.Duration(rng.IntN(600)) * time.Second), ReloadTime: time.Duration(rng.IntN(30)) * time.Second,
				Pinned: rng.IntN(6) == 0, Active: max(0, rng.IntN(4)-2),
			}
			if d.ReservedBytes+r.Bytes <= d.MemoryBytes {
				d.Residents = append(d.Residents, r)
				d.ReservedBytes += r.Bytes
			}
		}
	}
	return out
}

func wake(rng *rand.Rand) *Wake {
	w := &Wake{
		Model: "m", Version: "1", WeightBytes: 16 * gb, Bytes: int64(10+rng.IntN(60)) * gb, Replicas: rng.IntN(4), Limit: 3,
		FailureDomain: "d0", Class: declare.Urgent, LogDown: rng.IntN(5) == 0,
	}
	if rng.IntN(3) == 0 {
		w.Class = declare.Background
	}
	if rng.IntN(3) == 0 {
		w.Deadline = t0.Add(time.Duration(rng.IntN(30)) * time.Second)
	}
	return w
}

// minEvictionCost returns the lowest cost of freeing need bytes by trying every
// subset of the residents.
func minEvictionCost(c *Chooser, w *Wake, need int64, rs []Resident) (time.Duration, bool) {
	var best time.Duration
	found := false
	for set := range 1 << len(rs) {
		var freed int64
		var cost time.Duration
		valid := true
		for i := range rs {
			if set&(1<<i) == 0 {
				continue
			}
			r := &rs[i]
			valid = valid && !r.Pinned && r.Active == 0 && (w.Class == declare.Urgent || !r.Loaded || t0.Sub(r.IdleSince) >= c.settings.MinIdle)
			freed += r.Bytes
			cost += c.evictionCost(t0, r)
		}
		if valid && freed >= need && (!found || cost < best) {
			best, found = cost, true
		}
	}
	return best, found
}

// TestChooseAgainstReference guards against a choice that the limits forbid,
// evictions that free too little or include a superfluous victim, an eligible
// upstream that is overlooked, and a choice far from the cheapest.
func TestChooseAgainstReference(t *testing.T) {
	var loads, evictions int
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := New(Settings{ColdStartWeight: rng.Float64()})
		w, cands := wake(rng), candidates(rng, 1+rng.IntN(8), 6)
		cost := map[string]time.Duration{}
		for _, d := range cands {
			if d.Unavailable || d.Excluded || d.Present || !d.Granted && (w.LogDown || w.Replicas >= w.Limit) {
				continue
			}
			ready := c.LoadTime(d.Tier, w.WeightBytes) * time.Duration(1+d.PendingLoads)
			total := ready
			if d.FailureDomain != "d0" {
				total += c.settings.CrossDomainCost
			}
			if need := d.ReservedBytes + w.Bytes - d.MemoryBytes; need > 0 && !d.Granted {
				lost, ok := minEvictionCost(c, w, need, d.Residents)
				if !ok {
					continue
				}
				total += lost
			}
			if w.Deadline.IsZero() || !t0.Add(ready).After(w.Deadline) {
				cost[d.Upstream] = total
			}
		}
		note := must.Sprintf("seed %d", seed)
		switch got := c.Choose(t0, w, cands).(type) {
		case Refuse:
			must.MapEmpty(t, cost, note)
		case Load:
			loads++
			must.MapContainsKey(t, cost, got.Upstream, note)
			d := cands[slices.IndexFunc(cands, func(d Candidate) bool { return d.Upstream == got.Upstream })]
			must.Eq(t, !d.Granted, got.NeedsGrant, note)
			need := d.ReservedBytes + w.Bytes - d.MemoryBytes
			if d.Granted {
				need = 0
			}
			var freed, smallest int64
			for _, v := range got.Evict {
				r := d.Residents[slices.IndexFunc(d.Residents, func(r Resident) bool { return r.Model == v.Model })]
				must.True(t, r.Active == 0 && !r.Pinned, note)
				freed += r.Bytes
				if smallest == 0 || r.Bytes < smallest {
					smallest = r.Bytes
				}
				evictions++
			}
			must.GreaterEq(t, need, freed, note)
			must.True(t, len(got.Evict) == 0 || freed-smallest < need, note)
			least := cost[got.Upstream]
			for _, v := range cost {
				least = min(least, v)
			}
			must.LessEq(t, least+time.Second, cost[got.Upstream], note)
		}
	}
	must.Greater(t, 1000, loads)
	must.Greater(t, 300, evictions)
}

// TestRefusals guards against a refusal with a misleading reason.
func TestRefusals(t *testing.T) {
	room := Candidate{Upstream: "u", FailureDomain: "d0", MemoryBytes: 80 * gb}
	with := func(f func(*Candidate)) []Candidate { d := room; f(&d); return []Candidate{d} }
	for name, s := range map[string]struct {
		w     Wake
		cands []Candidate
		want  Reason
	}{
		"limit":     {Wake{Replicas: 1, Limit: 1}, with(func(d *Candidate) { d.Granted, d.Present = true, true }), ReplicaLimit},
		"elsewhere": {Wake{Replicas: 1, Limit: 1}, with(func(d *Candidate) { d.Granted, d.Unavailable = true, true }), ReplicaElsewhere},
		"memory":    {Wake{Limit: 1, Bytes: 81 * gb}, []Candidate{room}, NoMemory},
		"down":      {Wake{Limit: 1}, with(func(d *Candidate) { d.Unavailable = true }), NoUpstream},
		"log":       {Wake{Limit: 1, LogDown: true}, []Candidate{room}, LogUnavailable},
		"late":      {Wake{Limit: 1, WeightBytes: 40 * gb, Deadline: t0.Add(time.Second)}, []Candidate{room}, TooLate},
	} {
		s.w.FailureDomain, s.w.Class = "d0", declare.Urgent
		got, ok := New(Settings{}).Choose(t0, &s.w, s.cands).(Refuse)
		must.True(t, ok, must.Sprint(name))
		must.Eq(t, s.want, got.Reason, must.Sprint(name))
	}
}

// TestGrantIsUsedInLogOutage guards against a wake that fails in a log outage
// although a grant exists whose replica was unloaded.
func TestGrantIsUsedInLogOutage(t *testing.T) {
	cands := []Candidate{
		{Upstream: "near", FailureDomain: "d0", MemoryBytes: 80 * gb, Tier: Memory},
		{Upstream: "granted", FailureDomain: "d1", MemoryBytes: 80 * gb, ReservedBytes: 80 * gb, Tier: Remote, Granted: true},
	}
	w := Wake{Model: "m", Bytes: 20 * gb, WeightBytes: 16 * gb, Replicas: 1, Limit: 1, FailureDomain: "d0", LogDown: true}
	got, ok := New(Settings{}).Choose(t0, &w, cands).(Load)
	must.True(t, ok)
	must.Eq(t, "granted", got.Upstream)
	must.False(t, got.NeedsGrant)
	must.SliceEmpty(t, got.Evict)
}

// TestJustifiedReplicas guards against a replica for a backlog that is served
// before the replica is loaded, and against more replicas than the limit.
func TestJustifiedReplicas(t *testing.T) {
	b := Backlog{Waiting: 1, ServiceTime: 4 * time.Second, Sequences: 8, LoadTime: 10 * time.Second, Limit: 4, ColdStartWeight: 0.5}
	must.Eq(t, 0, JustifiedReplicas(Backlog{Limit: 4}))
	must.Eq(t, 1, JustifiedReplicas(b))
	b.Waiting = 20
	must.Eq(t, 1, JustifiedReplicas(b), must.Sprint("20 requests take 10 s, as long as a load"))
	b.Waiting = 60
	must.Eq(t, 3, JustifiedReplicas(b))
	b.Waiting = 1000
	must.Eq(t, 4, JustifiedReplicas(b))
	b.Waiting, b.ArrivalsPerSecond = 0, 4
	must.Eq(t, 3, JustifiedReplicas(b))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{5, 15, 60, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			cands := candidates(rng, n, 12)
			c := New(Settings{})
			w := &Wake{Model: "m", Version: "1", WeightBytes: 16 * gb, Bytes: 60 * gb, Limit: 3, FailureDomain: "d0", Class: declare.Urgent}
			b.ReportAllocs()
			for b.Loop() {
				c.Choose(t0, w, cands)
			}
		})
	}
}
