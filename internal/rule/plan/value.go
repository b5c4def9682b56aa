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
	n := 1
	if slots := c.spec.Slots; slots > 0 {
		n = max(n, int(math.Ceil(float64(c.running)/(fullSlotShare*float64(slots)))))
	}
	return max(n, int(math.Ceil(c.rate/copyCapacity)))
}

// copiesWanted returns the number of copies that a model should have: those
// that its load requires, and for a hot model at least one in each failure
// domain.
func (p *Planner) copiesWanted(c *modelCount) int {
	n := p.copiesNeeded(c)
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
// saved.
func (p *Planner) loadGain(c *modelCount) float64 {
	g := waitingCost * float64(c.unserved)
	if c.version != nil {
		// Other requests have no need of another copy.
		return g
	}
	have := c.copies + c.pendingCopies
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

// evictionLoss returns the cost of evicting the copy of a model from e, in
// seconds of delay.
func (p *Planner) evictionLoss(e *engine, name string, snap *snapshot) float64 {
	c := snap.counts[fleet.Key{Service: e.up.Service, Model: name}]
	if c == nil {
		return 0
	}
	l := runningCost * float64(snap.running[runningKey{e.up.ID, name}])
	l += waitingCost * float64(snap.bound[fleet.VersionKey{Key: c.key, Version: e.up.Version}])
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
