package place

import (
	"cmp"
	"slices"
	"time"
)

type scored struct {
	r    *Resident
	cost time.Duration
}

// loss is the expected cost of evicting r: its load time times the chance
// that it is needed soon. An unloaded grant is only worth having in a log
// outage, which is taken as a tenth of the load time.
func (c *Chooser) loss(now time.Time, r *Resident) time.Duration {
	idle := max(now.Sub(r.IdleSince), 0)
	f := (0.5 + c.s.ColdStartWeight) * float64(c.s.ReuseHalfTime) / float64(c.s.ReuseHalfTime+idle)
	if !r.Loaded {
		f /= 10
	}
	return time.Duration(f * float64(r.ReloadTime))
}

// evict leaves in c.trial the victims that free at least need bytes, and
// returns their expected cost. ok is false if that can't be done. It takes the
// least cost per byte first and then drops what turned out superfluous; if one
// victim alone suffices for less, it takes that one.
func (c *Chooser) evict(now time.Time, background bool, need int64, rs []Resident) (cost time.Duration, ok bool) {
	c.victim = c.victim[:0]
	var total int64
	for i := range rs {
		r := &rs[i]
		if r.Pinned || r.Active > 0 || background && r.Loaded && now.Sub(r.IdleSince) < c.s.MinIdle {
			continue
		}
		c.victim = append(c.victim, scored{r: r, cost: c.loss(now, r)})
		total += r.Bytes
	}
	if total < need {
		return 0, false
	}
	slices.SortStableFunc(c.victim, func(a, b scored) int {
		return cmp.Compare(float64(a.cost)*float64(b.r.Bytes), float64(b.cost)*float64(a.r.Bytes))
	})
	var freed int64
	n := 0
	for freed < need {
		freed += c.victim[n].r.Bytes
		n++
	}
	taken := c.victim[:n]
	for i := n - 1; i >= 0; i-- {
		if freed-taken[i].r.Bytes >= need {
			freed -= taken[i].r.Bytes
			taken = slices.Delete(taken, i, i+1)
		}
	}
	for _, v := range taken {
		cost += v.cost
	}
	for _, v := range c.victim[n:] {
		if v.r.Bytes >= need && v.cost < cost {
			cost = v.cost
			taken = append(taken[:0], v)
			break
		}
	}
	for _, v := range taken {
		c.trial = append(c.trial, Victim{Model: v.r.Model, Version: v.r.Version, Loaded: v.r.Loaded})
	}
	return cost, true
}
