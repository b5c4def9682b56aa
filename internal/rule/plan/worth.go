package plan

import (
	"math"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// needed returns how many copies the load of a model calls for.
func (p *Planner) needed(c *count) int {
	if c.rate < 0.01 && c.waiting == 0 && c.running == 0 {
		return 0
	}
	n := 1
	if slots := c.spec.Slots; slots > 0 {
		n = max(n, int(math.Ceil(float64(c.running)/(fullShare*float64(slots)))))
	}
	return max(n, int(math.Ceil(c.rate/perCopy)))
}

// want returns how many copies are wanted: those for the load, and of a hot
// model one in each failure domain.
func (p *Planner) want(c *count) int {
	n := p.needed(c)
	if c.rate >= hotRate {
		n = max(n, c.spread)
	}
	return n
}

// prior is the arrival rate that is assumed beside the measured one.
func (c *count) prior() float64 {
	return priorRate + priorAdapterRate*float64(len(c.model.Adapters))
}

// gain is the worth of a further copy of a model in seconds of delay saved.
func (p *Planner) gain(c *count) float64 {
	g := waitingWorth * float64(c.unserved)
	have := c.copies + c.coming
	if more := c.waiting - c.unserved; more > 0 && have < p.needed(c) {
		g += queuedWorth * float64(min(more, c.spec.Slots))
	}
	if have == 0 {
		return g + (c.rate+c.prior())*horizon*(c.reload.Seconds()+reloadOverhead)
	}
	if missing := p.needed(c) - have; missing > 0 {
		g += 0.5 * c.rate * horizon * float64(missing) / float64(have+missing)
	} else if have < p.want(c) {
		g += spareWorth / float64(have) * c.rate * horizon
	}
	return g
}

// loss is what the end of one copy costs, in seconds of delay.
func (p *Planner) loss(e *engine, name string, cs *census) float64 {
	c := cs.counts[fleet.Key{Service: e.up.Service, Model: name}]
	if c == nil {
		return 0
	}
	l := 0.8 * float64(cs.running[use{e.up.ID, name}])
	switch {
	case c.copies > max(p.want(c), 1):
		return l + 0.01 + 0.01*c.rate
	case c.copies > max(p.needed(c), 1):
		return l + 0.05 + spareWorth/float64(c.copies-1)*c.rate*horizon
	case c.copies > 1:
		return l + 0.5*c.rate*horizon/float64(c.copies)
	}
	return l + 0.05 + (c.rate+c.prior())*horizon*(c.model.MemoryLoadTime.Seconds()+reloadOverhead) + waitingWorth*float64(c.waiting)
}
