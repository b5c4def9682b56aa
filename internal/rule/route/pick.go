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
		// PrefixHash is the hash of the prompt's prefix, 0 for none.
		PrefixHash uint64
		// Exclude names upstreams that must not be chosen: those tried
		// already, and for a crash suspect those that run other suspects.
		Exclude []string
	}

	// Reason explains a Choice in the decision record.
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
		// CrossDomain is set if the upstream is in another failure domain.
		CrossDomain bool
		// AdapterLoad is set if the adapter must be loaded.
		AdapterLoad bool
		// PrefixHint is set if the prefix is probably cached on the upstream.
		PrefixHint bool
	}

	candidate struct {
		replica         *replica
		wait, fixedCost time.Duration
		free            int
		adapterLoad     bool
		prefixCached    bool
	}
)

// Reasons of a Choice.
const (
	// Best means that one of the replicas with the least cost was chosen.
	Best Reason = "best"
	// OnlyDegraded means that every available replica is ejected, suspect or silent.
	OnlyDegraded Reason = "only-slow"
	// NotLoaded means that no replica of the model version is known.
	NotLoaded Reason = "not-loaded"
	// NoneAvailable means that all replicas are leaving, down or excluded.
	NoneAvailable Reason = "none-available"
)

// Pick chooses a replica for q at now. Random choices come from rng. It does
// not count the request as sent; see RequestSent.
func (t *Table) Pick(now time.Time, rng *rand.Rand, q *Query) Choice {
	m := t.models[q.Model]
	if m == nil {
		return Choice{Reason: NotLoaded}
	}
	s := t.collect(now, rng, m, q)
	if !s.loaded {
		return Choice{Reason: NotLoaded}
	}
	if len(t.candidates) == 0 {
		return Choice{Reason: NoneAvailable}
	}
	c := t.drawCandidate(rng, min(t.settings.WaitTolerance+s.reportAge, t.settings.MaxWaitTolerance))
	choice := Choice{
		Upstream: c.replica.upstream.name, Reason: Best, Wait: c.wait, Free: c.free,
		CrossDomain: !c.replica.upstream.local, AdapterLoad: c.adapterLoad, PrefixHint: c.prefixCached,
	}
	if s.onlyDegraded {
		choice.Reason = OnlyDegraded
	}
	return choice
}

const (
	// maxCandidates bounds the replicas that one Pick compares. A model with
	// more replicas is sampled from a random start; more candidates hardly
	// improve the result.
	maxCandidates = 32
	// fixedCostTolerance is the difference in fixed cost that doesn't matter.
	fixedCostTolerance = time.Millisecond
	// maxLinearSearch is the length of an adapter list up to which a linear
	// search is used.
	maxLinearSearch = 16
)

// scan is the state of collecting candidates for one Pick.
type scan struct {
	now         time.Time
	q           *Query
	hints       [maxHolders]hint
	hinted      bool
	adapterID   int32
	serviceTime time.Duration
	// reportAge is the age of the oldest report among the candidates.
	reportAge time.Duration
	// onlyDegraded is set while all candidates are ejected, suspect or silent.
	onlyDegraded bool
	// loaded is set if the model version has any replica.
	loaded bool
}

// collect fills t.candidates with eligible replicas and their costs. Ejected,
// suspect and silent replicas are collected only if there are no others. In a sampled model
// the replicas that probably cache the prefix are always considered.
func (t *Table) collect(now time.Time, rng *rand.Rand, m *model, q *Query) scan {
	s := scan{now: now, q: q, adapterID: t.adapters[q.Adapter], serviceTime: m.serviceTime, onlyDegraded: true}
	if q.PrefixHash != 0 {
		s.hints, s.hinted = t.prefixes.get(q.PrefixHash)
	}
	if s.serviceTime == 0 {
		s.serviceTime = t.settings.ServiceTime
	}
	t.candidates = t.candidates[:0]
	n := len(m.replicas)
	start := 0
	if n > maxCandidates {
		start = rng.IntN(n)
		for i := range s.hints {
			if u := s.hints[i].upstream; u != nil {
				if p := t.findReplica(u, q.Model, q.Version); p != nil {
					t.addCandidate(&s, p)
				}
			}
		}
	}
	for i := range n {
		if len(t.candidates) >= maxCandidates && !s.onlyDegraded {
			break
		}
		t.addCandidate(&s, m.replicas[(start+i)%n])
	}
	return s
}

// addCandidate appends p to t.candidates if it is eligible.
func (t *Table) addCandidate(s *scan, p *replica) {
	u := p.upstream
	if p.unloaded || p.version != s.q.Version {
		return
	}
	s.loaded = true
	if u.health >= Leaving || slices.Contains(s.q.Exclude, u.name) {
		return
	}
	if p.ejectedUntil.After(s.now) || u.silentUntil.After(s.now) || u.suspect(s.now) {
		if !s.onlyDegraded {
			return
		}
	} else if s.onlyDegraded {
		s.onlyDegraded, s.reportAge = false, 0
		t.candidates = t.candidates[:0]
	}
	c := candidate{replica: p, free: max(u.sequences-u.outstanding, 0)}
	if c.free == 0 {
		c.wait = s.serviceTime * time.Duration(u.outstanding-u.sequences+1) / time.Duration(u.sequences)
	}
	if !u.local {
		c.fixedCost += t.settings.CrossDomainCost
	}
	if s.q.Adapter != "" && !containsID(p.adapters, s.adapterID) {
		c.fixedCost += t.settings.AdapterCost
		c.adapterLoad = true
	}
	if s.hinted {
		if saving := t.prefixSaving(&s.hints, u, s.now); saving > 0 {
			c.fixedCost -= saving
			c.prefixCached = true
		}
	}
	s.reportAge = max(s.reportAge, s.now.Sub(u.reportAt))
	t.candidates = append(t.candidates, c)
}

// drawCandidate chooses among t.candidates. Only those whose total cost is
// within tolerance of the least are considered, and among these the ones with
// the least fixed cost up to fixedCostTolerance. Of two random draws, weighted
// by free sequences, the one with the shorter wait wins, then the one with more
// free sequences.
func (t *Table) drawCandidate(rng *rand.Rand, tolerance time.Duration) *candidate {
	least := t.candidates[0].wait + t.candidates[0].fixedCost
	for i := range t.candidates[1:] {
		c := &t.candidates[i+1]
		least = min(least, c.wait+c.fixedCost)
	}
	first := true
	var leastFixed time.Duration
	for i := range t.candidates {
		c := &t.candidates[i]
		if c.wait+c.fixedCost <= least+tolerance && (first || c.fixedCost < leastFixed) {
			leastFixed, first = c.fixedCost, false
		}
	}
	maxFixed := leastFixed + fixedCostTolerance
	totalWeight := 0
	for i := range t.candidates {
		c := &t.candidates[i]
		if c.wait+c.fixedCost <= least+tolerance && c.fixedCost <= maxFixed {
			totalWeight += c.free + 1
		}
	}
	a, b := rng.IntN(totalWeight), rng.IntN(totalWeight)
	var drawA, drawB *candidate
	for i := range t.candidates {
		c := &t.candidates[i]
		if c.wait+c.fixedCost > least+tolerance || c.fixedCost > maxFixed {
			continue
		}
		weight := c.free + 1
		if a -= weight; a < 0 && drawA == nil {
			drawA = c
		}
		if b -= weight; b < 0 && drawB == nil {
			drawB = c
		}
	}
	if drawB.wait < drawA.wait || drawB.wait == drawA.wait && drawB.free > drawA.free {
		return drawB
	}
	return drawA
}

// containsID reports whether the sorted list contains id.
func containsID(list []int32, id int32) bool {
	if len(list) <= maxLinearSearch {
		return slices.Contains(list, id)
	}
	_, ok := slices.BinarySearch(list, id)
	return ok
}
