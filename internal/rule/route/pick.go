package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

type (
	// Query describes a request to be routed.
	Query struct {
		Model, Version string
		// Adapter is empty for the base model.
		Adapter string
		// Prefix is the hash of the prompt's start, 0 for none.
		PrefixHash uint64
		// Exclude names upstreams that must not be chosen: those tried
		// already, and for a crash suspect those that run other suspects.
		Exclude []string
	}

	// Reason explains a Choice, for the decision record.
	Reason string

	// Choice is the result of Pick.
	Choice struct {
		// Upstream is empty if there is none; Reason then says why.
		Upstream string
		Reason   Reason
		// Wait is the estimated time in the engine's queue.
		Wait time.Duration
		// Free is the estimated number of free sequences before this
		// request.
		Free int
		// Crosses is set for another failure domain.
		CrossDomain bool
		// AdapterLoad is set if the adapter must be loaded.
		AdapterLoad bool
		// PrefixHint is set if the prefix is probably cached.
		PrefixHint bool
	}

	candidate struct {
		p           *replica
		wait, fixed time.Duration
		free        int
		adapterLoad bool
		hinted      bool
	}
)

// Reasons of a Choice.
const (
	// Best is one of the replicas with the least cost.
	Best Reason = "best"
	// OnlySlow means that all other replicas are set aside or suspected too.
	OnlyDegraded Reason = "only-slow"
	// NotLoaded means that no replica of the model version is known.
	NotLoaded Reason = "not-loaded"
	// NoneAvailable means that all replicas are leaving, down or excluded.
	NoneAvailable Reason = "none-available"
)

// Pick chooses a replica for q at now. Random choices come from rng. It does
// not count the request as sent; see Sent.
func (t *Table) Pick(now time.Time, rng *rand.Rand, q *Query) Choice {
	m := t.models[q.Model]
	if m == nil {
		return Choice{Reason: NotLoaded}
	}
	s := t.collect(now, rng, m, q)
	if !s.loaded {
		return Choice{Reason: NotLoaded}
	}
	if len(t.cands) == 0 {
		return Choice{Reason: NoneAvailable}
	}
	c := t.draw(rng, min(t.s.WaitTolerance+s.age, t.s.MaxWaitTolerance))
	out := Choice{
		Upstream: c.p.up.name, Reason: Best, Wait: c.wait, Free: c.free,
		CrossDomain: !c.p.up.local, AdapterLoad: c.adapterLoad, PrefixHint: c.hinted,
	}
	if s.second {
		out.Reason = OnlyDegraded
	}
	return out
}

// window bounds the candidates that one Pick weighs. A model with more replicas
// is sampled from a random start; more choices hardly improve the result.
const window = 32

// scan is the state of collecting candidates for one Pick.
type scan struct {
	now     time.Time
	q       *Query
	hints   [holders]hint
	hinted  bool
	adapter int32
	service time.Duration
	// age is that of the oldest report among the candidates.
	age time.Duration
	// second is set while all candidates are set aside or suspected.
	second bool
	// loaded is set if the model version has a replica at all.
	loaded bool
}

// collect fills t.cands with eligible replicas and their costs. Replicas that
// are set aside or suspected are collected only if there are no others.
func (t *Table) collect(now time.Time, rng *rand.Rand, m *model, q *Query) scan {
	s := scan{now: now, q: q, adapter: t.adapters[q.Adapter], service: m.service, second: true}
	if q.PrefixHash != 0 {
		s.hints, s.hinted = t.prefixes.get(q.PrefixHash)
	}
	if s.service == 0 {
		s.service = t.s.ServiceTime
	}
	t.cands = t.cands[:0]
	n := len(m.replicas)
	start := 0
	if n > window {
		start = rng.IntN(n)
		for i := range s.hints {
			if u := s.hints[i].up; u != nil {
				if p := t.find(u, q.Model, q.Version); p != nil {
					t.consider(&s, p)
				}
			}
		}
	}
	for i := range n {
		if len(t.cands) >= window && !s.second {
			break
		}
		t.consider(&s, m.replicas[(start+i)%n])
	}
	return s
}

// consider appends p to t.cands if it is eligible.
func (t *Table) consider(s *scan, p *replica) {
	u := p.up
	if p.gone || p.version != s.q.Version {
		return
	}
	s.loaded = true
	if u.health >= Leaving || slices.Contains(s.q.Exclude, u.name) {
		return
	}
	if p.asideTo.After(s.now) || u.health == Suspect {
		if !s.second {
			return
		}
	} else if s.second {
		s.second, s.age = false, 0
		t.cands = t.cands[:0]
	}
	c := candidate{p: p, free: max(u.sequences-u.outstanding, 0)}
	if c.free == 0 {
		c.wait = s.service * time.Duration(u.outstanding-u.sequences+1) / time.Duration(u.sequences)
	}
	if !u.local {
		c.fixed += t.s.CrossDomainCost
	}
	if s.q.Adapter != "" && !has(p.adapters, s.adapter) {
		c.fixed += t.s.AdapterCost
		c.adapterLoad = true
	}
	if s.hinted {
		if d := t.saving(&s.hints, u, s.now); d > 0 {
			c.fixed -= d
			c.hinted = true
		}
	}
	s.age = max(s.age, s.now.Sub(u.reportAt))
	t.cands = append(t.cands, c)
}

// draw chooses among t.cands. Those whose whole cost is within spread of the
// least are near; among the near ones those with the least fixed cost are
// best, where a difference below a millisecond doesn't matter; two weighted
// draws among the best are compared by wait, then by free sequences.
func (t *Table) draw(rng *rand.Rand, spread time.Duration) *candidate {
	least := t.cands[0].wait + t.cands[0].fixed
	for i := range t.cands[1:] {
		c := &t.cands[i+1]
		least = min(least, c.wait+c.fixed)
	}
	first := true
	var fixed time.Duration
	for i := range t.cands {
		c := &t.cands[i]
		if c.wait+c.fixed <= least+spread && (first || c.fixed < fixed) {
			fixed, first = c.fixed, false
		}
	}
	limit := fixed + time.Millisecond
	total := 0
	for i := range t.cands {
		c := &t.cands[i]
		if c.wait+c.fixed <= least+spread && c.fixed <= limit {
			total += c.free + 1
		}
	}
	a, b := rng.IntN(total), rng.IntN(total)
	var ca, cb *candidate
	for i := range t.cands {
		c := &t.cands[i]
		if c.wait+c.fixed > least+spread || c.fixed > limit {
			continue
		}
		w := c.free + 1
		if a -= w; a < 0 && ca == nil {
			ca = c
		}
		if b -= w; b < 0 && cb == nil {
			cb = c
		}
	}
	if cb.wait < ca.wait || cb.wait == ca.wait && cb.free > ca.free {
		return cb
	}
	return ca
}

// has reports whether the sorted list contains id.
func has(list []int32, id int32) bool {
	if len(list) <= 16 {
		return slices.Contains(list, id)
	}
	_, ok := slices.BinarySearch(list, id)
	return ok
}
