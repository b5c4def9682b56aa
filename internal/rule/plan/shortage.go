package plan

import (
	"math"
	"time"
)

const (
	// minShortShare is the share of an engine's slots from which load that isn't served in
	// time is worth a load from a disk, which takes an engine from adapters for about a
	// second. With a third of it, there were half as many loads again for no more requests
	// on time (TestDayOfListings).
	minShortShare = 0.1
	// minStoreShare is the same for another copy from the weight store, which keeps the store
	// and an engine for 6 to 13 s.
	minStoreShare = 0.25
	// copyLifetime is for how long a copy serves the load for which it was made: the models
	// that are asked for most change each 10 to 15 s.
	copyLifetime = 20 * time.Second
	// slowPending is the rest of a load in progress from which the copy doesn't count as one
	// that serves: loads from the disk take less.
	slowPending = 2 * time.Second
	// unservedCost is the cost of a request that isn't served in time because the engines of
	// its model are full, in seconds of delay: as of one that waits for a copy.
	unservedCost = waitingCost
	// loadedEngineCost is the cost of a copy on an engine per load by slots there: of two
	// engines that have slots enough, the one with more of them is better for later.
	loadedEngineCost = 0.5
)

// allocate computes how the offered load divides over the engines.
func (p *Planner) allocate(now time.Time, snap *snapshot) {
	p.shares.Resize(len(p.ids), len(snap.models))
	for i, id := range p.ids {
		e, slots := p.engines[id], 0
		if s := p.spec(e); s != nil && !e.up.Leaving && !snap.lost[id] {
			slots = s.Slots
		}
		p.shares.SetSlots(i, float64(slots))
	}
	once, never, service := 0, 0, ""
	for i, c := range snap.models {
		k := c.key
		if k.Service != service {
			service = k.Service
			snap.typicalFirst = p.typicalFirst(service)
		}
		c.slotSeconds = p.slotSeconds(k, snap.typicalFirst)
		c.measured = c.slotSeconds > 0 && c.spec.Slots > 0
		offered := 0.0
		switch d := p.demands[k]; {
		case d == nil || d.heard == 0:
			never++
		case d.heard == 1:
			once++
		}
		if d := p.demands[k]; c.measured && d != nil {
			offered = p.offeredRate(now, d) * c.slotSeconds
		}
		p.shares.SetModel(i, offered, c.holders)
	}
	snap.priorRate = priorOf(once, never, now.Sub(p.demandSince))
	p.shares.Solve()
	for _, c := range snap.models {
		c.updateShortage(p)
	}
}

// priorOf estimates the arrival rate, in requests per second, of each model of which nothing
// has been heard in a time: as many requests are for models that come up for the first time as
// have come up once so far (the estimate of Good and Turing), and one more, to be sure.
func priorOf(once, never int, heard time.Duration) float64 {
	return float64(once+1) / float64(never+1) / max(heard, measuredWarmUp).Seconds()
}

// updateShortage computes how much load of a model isn't served in time.
func (c *modelCount) updateShortage(p *Planner) {
	if !c.measured {
		return
	}
	c.shortage, c.relief = p.shares.Unserved(c.index), 0
	if len(c.local) > 0 && p.shares.Contended(c.index) {
		for _, e := range c.local {
			c.relief = max(c.relief, p.shares.Gain(c.index, e))
		}
	}
	// Copies that come from the weight store serve later. Until then, another one is worth
	// a load from a disk, but not a further one from there.
	slots := float64(c.spec.Slots)
	c.atHandOnly = c.copies+c.pendingCopies > 0 && c.short() && c.shortage-float64(c.slowPending)*slots < minStoreShare*slots
}

// short reports whether load of a model isn't served in time, or that of others on its
// engines which one more copy from a disk would leave.
func (c *modelCount) short() bool {
	slots := float64(c.spec.Slots)
	return c.measured && (c.relief >= minShortShare*slots || c.shortage >= minStoreShare*slots)
}

// shortageGain returns the value of a copy, in seconds of delay saved, by the load that it
// serves: that from a disk, or that from the weight store if it is worth more.
func (c *modelCount) shortageGain() float64 {
	local := remainingLife(c.model.DiskLoadTime) * c.relief
	if c.atHandOnly {
		return c.shortageCost(local)
	}
	return c.shortageCost(max(local, remainingLife(c.model.StoreLoadTime)*min(c.shortage, float64(c.spec.Slots))))
}

// shortageCost returns the cost, in seconds of delay, of load of a model that isn't served in
// time, in slots.
func (c *modelCount) shortageCost(slots float64) float64 {
	return unservedCost * arrivalHorizon * slots / c.slotSeconds
}

// copyValue returns the value, in seconds of delay saved, of a copy of a model on an engine
// that is there after a time: the load that it serves until the demand has changed.
func (p *Planner) copyValue(c *modelCount, e *engine, after time.Duration) float64 {
	if !c.measured {
		return 0
	}
	return remainingLife(after) * c.shortageCost(p.shares.Gain(c.index, e.index))
}

// remainingLife returns the part of the life of a copy in which it serves if it is there
// after a time.
func remainingLife(after time.Duration) float64 {
	return max(1-after.Seconds()/copyLifetime.Seconds(), 0)
}

// copyLoss returns the cost, in seconds of delay, of the load that isn't served in time
// without one of several copies of a model.
func (p *Planner) copyLoss(c *modelCount, e *engine) float64 {
	return c.shortageCost(p.shares.Loss(c.index, e.index))
}

// addHolder counts a copy that has been ordered.
func (p *Planner) addHolder(c *modelCount, e *engine) {
	if e.tier(c.key.Model) == Store {
		c.slowPending++
	} else {
		p.shares.AddHolder(c.index, e.index)
	}
}

// servesSoon reports whether a load on an engine that was ordered, or waits for room, ends
// soon.
func (p *Planner) servesSoon(now time.Time, e *engine, model string) bool {
	if e.load != nil && e.load.model == model {
		return e.load.eta.Sub(now) < slowPending
	}
	return e.tier(model) != Store
}

// lossRate returns the arrival rate of a model by which its last copy is kept, in requests
// per second. A new holder hasn't heard of most models yet.
func (snap *snapshot) lossRate(c *modelCount) float64 { return math.Max(c.rate, snap.priorRate) }
