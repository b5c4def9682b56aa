package pick

import (
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/hrw"
)

// Choose returns the upstream for a request at now.
func (t *Table) Choose(now time.Time, q *Query) (Choice, Reason) {
	usable, copies := false, false
	typical := t.typical(q.Key.Service)
	cut := t.cutOff(now, q.Key.Service)
	t.weighed = t.weighed[:0]
	for _, s := range t.byName[q.Key.Service] {
		if s.up.Leaving || tried(q.Tried, s.up.ID) {
			continue
		}
		usable = true
		if !s.has(now, q.Key) {
			continue
		}
		copies = true
		load := t.load(s)
		if load >= t.fill(s) {
			continue
		}
		cost := t.cost(now, s, q, load, typical)
		if s.up.FailureDomain == cut && !now.Before(s.aside) {
			cost += suspectCost
		}
		t.weighed = append(t.weighed, weighed{s, cost})
	}
	switch {
	case len(t.weighed) > 0:
		s := t.draw()
		return Choice{Upstream: s.up, Load: t.load(s), Candidates: len(t.weighed), Ejected: now.Before(s.aside)}, Found
	case !usable:
		return Choice{}, NoUpstream
	case !copies:
		return Choice{}, NotLoaded
	}
	return Choice{}, Full
}

// draw returns one of the weighed upstreams. What other daemons send is known
// late, so that all of them would take the one that looks best. Those whose cost
// differs from the lowest by less than what the others may have sent meanwhile
// are drawn, the cheaper the more often (after Mitzenmacher, "How useful is old
// information?", IEEE TPDS 11(1), 2000).
func (t *Table) draw() *state {
	lowest := t.weighed[0].cost
	for _, w := range t.weighed {
		lowest = min(lowest, w.cost)
	}
	margin := min(unseenPerDaemon*float64(t.daemons-1), mostUnseen) + leastUnseen
	sum := 0.0
	for _, w := range t.weighed {
		sum += max(lowest+margin-w.cost, 0)
	}
	x := t.rng.Float64() * sum
	var last *state
	for _, w := range t.weighed {
		if g := lowest + margin - w.cost; g > 0 {
			last = w.s
			if x -= g; x < 0 {
				break
			}
		}
	}
	return last
}

// has reports whether the upstream can run a request of the key at now.
func (s *state) has(now time.Time, k fleet.Key) bool {
	if k.Model == "" {
		return true
	}
	as, ok := s.held[k.Model]
	if !ok || k.Adapter != "" && !as[k.Adapter] {
		return false
	}
	at, ok := s.missing[fleet.ModelName(k.Model, k.Adapter)]
	return !ok || now.Sub(at) > missingFor
}

// width returns the number of requests that an upstream runs at once.
func (t *Table) width(s *state) int {
	if n := t.slots[s.up.Service]; n > 0 {
		return n
	}
	return max(s.up.Slots, 1)
}

// load returns the requests in progress by slot.
func (t *Table) load(s *state) float64 {
	return float64(s.own+s.others) / float64(t.width(s))
}

// fill returns the load from which an upstream is full.
func (t *Table) fill(s *state) float64 {
	if t.slots[s.up.Service] > 0 {
		return overfill
	}
	return queueFill
}

func (t *Table) cost(now time.Time, s *state, q *Query, load, typical float64) float64 {
	factor := 1.0
	if s.slow > 0 && typical > 0 {
		factor = min(max(s.slow/typical, 1), slowest)
	}
	c := (load + 1/float64(t.width(s))) * factor
	c += 0.15 * (factor - 1)
	c += errorCost * s.errors
	if s.up.FailureDomain != t.set.FailureDomain {
		c += crossCost
	}
	if s.up.ColdFor > 0 {
		c += 0.2
	}
	if now.Before(s.aside) {
		c += asideCost
	} else if s.fails > 0 && (s.trial > 0 || q.NoRetry) {
		// An upstream that was aside is tested by one repeatable request.
		c += suspectCost
	}
	if q.PrefixKey != "" && load < sessionLoad {
		c -= sessionGain * float64(hrw.Score(q.PrefixKey, s.up.ID)>>32) / float64(1<<32)
	}
	return c
}

// typical returns the median time to the first byte of a service's upstreams.
func (t *Table) typical(service string) float64 {
	var all [64]float64
	xs := all[:0]
	for _, s := range t.byName[service] {
		if s.slow > 0 && len(xs) < cap(xs) {
			xs = append(xs, s.slow)
		}
	}
	if len(xs) < 2 {
		return 0
	}
	sort.Float64s(xs)
	return xs[(len(xs)-1)/2]
}

// cutOff returns a failure domain in which at least two upstreams of the
// service, and half of them, were set aside: the others are probably cut off as
// well. It is never the daemon's own.
func (t *Table) cutOff(now time.Time, service string) string {
	var names [8]string
	var all, aside [8]int
	n := 0
	for _, s := range t.byName[service] {
		d := s.up.FailureDomain
		if d == t.set.FailureDomain {
			continue
		}
		i := 0
		for i < n && names[i] != d {
			i++
		}
		if i == n {
			if n == len(names) {
				continue
			}
			names[n] = d
			n++
		}
		all[i]++
		if now.Before(s.aside) {
			aside[i]++
		}
	}
	worst, most := "", 1
	for i := range n {
		if aside[i] > most && 2*aside[i] >= all[i] {
			worst, most = names[i], aside[i]
		}
	}
	return worst
}

func tried(ids []string, id string) bool {
	for _, t := range ids {
		if t == id {
			return true
		}
	}
	return false
}
