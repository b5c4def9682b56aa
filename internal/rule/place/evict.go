package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minReloadWeight is the weight of the reload time of an evicted model at
	// cold-start weight 0.
	minReloadWeight = 0.5
	// unloadedGrantDivisor divides the cost of evicting a grant whose replica
	// is unloaded.
	unloadedGrantDivisor = 10
)

// scoredResident is a resident with the expected cost of evicting it.
type scoredResident struct {
	resident *Resident
	cost     time.Duration
}

// evictionCost returns the expected cost of evicting r: its load time times the
// probability that it is needed again soon. An unloaded grant has a value only
// in a log outage, which is assumed to be a tenth of that cost.
func (c *Chooser) evictionCost(now time.Time, r *Resident) time.Duration {
	idle := max(now.Sub(r.IdleSince), 0)
	factor := (minReloadWeight + c.settings.ColdStartWeight) * float64(c.settings.ReuseHalfTime) / float64(c.settings.ReuseHalfTime+idle)
	if !r.Loaded {
		factor /= unloadedGrantDivisor
	}
	return time.Duration(factor * float64(r.ReloadTime))
}

// chooseEvictions appends to c.trialVictims the victims that free at least need
// bytes, and returns their expected cost. ok is false if no set of victims
// suffices. It is a greedy search that takes the lowest cost per byte first and
// then drops superfluous victims; if a single further victim suffices at a
// lower cost, it takes that one instead.
func (c *Chooser) chooseEvictions(now time.Time, background bool, need int64, rs []Resident) (cost time.Duration, ok bool) {
	c.candidates = c.candidates[:0]
	var total int64
	for i := range rs {
		r := &rs[i]
		if r.Pinned || r.Active > 0 || background && r.Loaded && now.Sub(r.IdleSince) < c.settings.MinIdle {
			continue
		}
		c.candidates = append(c.candidates, scoredResident{resident: r, cost: c.evictionCost(now, r)})
		total += r.Bytes
	}
	if total < need {
		return 0, false
	}
	slices.SortStableFunc(c.candidates, func(a, b scoredResident) int {
		return cmp.Compare(float64(a.cost)*float64(b.resident.Bytes), float64(b.cost)*float64(a.resident.Bytes))
	})
	var freed int64
	n := 0
	for freed < need {
		freed += c.candidates[n].resident.Bytes
		n++
	}
	taken := c.candidates[:n]
	for i := n - 1; i >= 0; i-- {
		if freed-taken[i].resident.Bytes >= need {
			freed -= taken[i].resident.Bytes
			taken = slices.Delete(taken, i, i+1)
		}
	}
	for _, v := range taken {
		cost += v.cost
	}
	for _, v := range c.candidates[n:] {
		if v.resident.Bytes >= need && v.cost < cost {
			cost = v.cost
			taken = append(taken[:0], v)
			break
		}
	}
	for _, v := range taken {
		c.trialVictims = append(c.trialVictims, Victim{Model: v.resident.Model, Version: v.resident.Version, Loaded: v.resident.Loaded})
	}
	return cost, true
}
