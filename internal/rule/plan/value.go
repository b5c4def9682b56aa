package plan

import (
	"math"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// copiesNeeded returns the number of copies that the load of a model requires.
func (p *Planner) copiesNeeded(c *modelCount) int {
	if c.rate < minDemandRate && c.waiting == 0 && c.running == 0 {
		return 0
	}
	if c.measured {
		if c.short() {
			return c.copies + c.pendingCopies + 1
		}
		return 1
	}
	n := 1
	if slots := c.spec.Slots; slots > 0 {
		n = max(n, int(math.Ceil(float64(c.running)/(fullSlotShare*float64(slots)))))
	}
	return max(n, int(math.Ceil(c.rate/copyCapacity)))
}

// copiesWanted returns the number of copies that a model should have: those
// that its load requires, and spare ones.
func (p *Planner) copiesWanted(c *modelCount) int {
	return max(p.copiesNeeded(c), c.copiesWithSpare())
}

// copiesWithSpare returns the number of copies that a hot model should have whatever its
// load: at least one in each failure domain and, where slot times are known, as many as
// prompts don't queue at.
func (c *modelCount) copiesWithSpare() (n int) {
	if c.measured {
		n = int(math.Ceil(c.rate / copyCapacity))
	}
	if c.rate >= hotRate {
		n = max(n, c.targetDomains)
	}
	return n
}

// priorRate returns the arrival rate, in requests per second, that is assumed
// in addition to the measured one.
func (c *modelCount) priorRate() float64 {
	return priorRate + priorAdapterRate*float64(len(c.model.Adapters))
}

// loadGain returns the value of one more copy of a model, in seconds of delay
// saved. If the load of engines is known, it is that on the best engine.
func (p *Planner) loadGain(c *modelCount) float64 {
	c.baseGain = p.baseGain(c)
	if !c.short() {
		return c.baseGain
	}
	return c.baseGain + c.shortageGain()
}

// baseGain returns the value of one more copy of a model without the load that it
// takes from others.
func (p *Planner) baseGain(c *modelCount) float64 {
	g := waitingCost * float64(c.unserved)
	if c.version != nil {
		// Other requests have no need of another copy.
		return g
	}
	have := c.copies + c.pendingCopies
	if c.measured {
		return g + p.spareGain(c)
	}
	if more := c.waiting - c.unserved; more > 0 && have < p.copiesNeeded(c) {
		g += queuedCost * float64(min(more, c.spec.Slots))
	}
	if have == 0 {
		return g + (c.rate+c.priorRate())*arrivalHorizon*(c.shortestLoad.Seconds()+reloadOverhead)
	}
	if missing := p.copiesNeeded(c) - have; missing > 0 {
		g += missingCopyCost * c.rate * arrivalHorizon * float64(missing) / float64(have+missing)
	} else if have < p.copiesWanted(c) {
		g += spareCopyValue / float64(have) * c.rate * arrivalHorizon
	}
	return g
}

// spareGain returns the value of the first copy of a model for the requests to come, and of
// further ones for the case that others fail.
func (p *Planner) spareGain(c *modelCount) float64 {
	switch have := c.copies + c.pendingCopies; {
	case have == 0:
		return (c.rate + c.priorRate()) * arrivalHorizon * (c.shortestLoad.Seconds() + reloadOverhead)
	case have < c.copiesWithSpare():
		return spareCopyValue / float64(have) * c.rate * arrivalHorizon
	}
	return 0
}

// evictionLoss returns the cost of evicting the copy of a model from e, in
// seconds of delay.
func (p *Planner) evictionLoss(e *engine, name string, snap *snapshot) float64 {
	c := snap.counts[fleet.Key{Service: e.up.Service, Model: name}]
	if c == nil {
		return 0
	}
	bound := waitingCost * float64(snap.bound[fleet.VersionKey{Key: c.key, Version: e.up.Version}])
	if c.measured {
		return bound + p.measuredLoss(c, e, snap)
	}
	l := bound + runningCost*float64(snap.running[runningKey{e.up.ID, name}])
	switch {
	case c.copies > 0 && !p.serves(e, c):
		return l + surplusLoss
	case c.copies > max(p.copiesWanted(c), 1):
		return l + surplusLoss + surplusLossPerRate*c.rate
	case c.copies > max(p.copiesNeeded(c), 1):
		return l + baseLoss + spareCopyValue/float64(c.copies-1)*c.rate*arrivalHorizon
	case c.copies > 1:
		return l + missingCopyCost*c.rate*arrivalHorizon/float64(c.copies)
	}
	return l + baseLoss + (c.rate+c.priorRate())*arrivalHorizon*(c.model.MemoryLoadTime.Seconds()+reloadOverhead) + waitingCost*float64(c.waiting)
}

// measuredLoss is evictionLoss for a model whose slot time is known. Requests in progress
// end before an unload, which takes time but loses nothing.
func (p *Planner) measuredLoss(c *modelCount, e *engine, snap *snapshot) float64 {
	rate := snap.lossRate(c)
	switch {
	case c.copies > 0 && !p.serves(e, c):
		return surplusLoss
	case c.copies <= 1:
		return baseLoss + (rate+c.priorRate())*arrivalHorizon*(c.model.MemoryLoadTime.Seconds()+reloadOverhead) + waitingCost*float64(c.waiting)
	}
	// Until the demand is known, a copy is taken to be there because it is needed.
	l := surplusLoss + surplusLossPerRate*rate + p.copyLoss(c, e) + missingCopyCost*snap.priorRate*arrivalHorizon
	if c.copies <= c.copiesWithSpare() {
		l += spareCopyValue / float64(c.copies-1) * rate * arrivalHorizon
	}
	return l
}
