package plan

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Shortage is a model for which requests wait without a copy, or whose copies don't serve
	// its load in time, and that got no copy in the last decision.
	Shortage struct {
		Key    fleet.Key
		Reason ShortageReason
		// Load is the load that isn't served in time, in slots, 0 if unknown.
		Load                      float64
		Copies, Pending, Unserved int
		Rate                      float64
	}

	// ShortageReason is why a model that is short got no copy.
	ShortageReason uint8

	// obstacles counts the engines on which a copy was considered, by what stood in the way.
	obstacles struct{ busy, young, full int }
)

// Values of ShortageReason.
const (
	// NoRoom: on no engine a copy is worth what would have to be evicted, or fits.
	NoRoom ShortageReason = iota
	// StoreBusy: only the weight store has the weights, and it has no turn left.
	StoreBusy
	// NoWeights: no further engine has the weights on its disk, and a load from the weight
	// store isn't worth it or not allowed.
	NoWeights
	// OrderPending: the engines that have the weights carry out other orders, or a load from
	// the weight store is in progress.
	OrderPending
	// Protected: the copies that would have to be evicted have just been loaded.
	Protected
	// WarmUp: the holder has just begun and hasn't heard of the demand.
	WarmUp
)

// shortageInterval is the least time between two records of the shortage of a model.
const shortageInterval = time.Second

// String returns the name of r for logs and metrics.
func (r ShortageReason) String() string {
	return [...]string{"no-room", "store-busy", "no-weights", "order-pending", "protected", "warm-up"}[r]
}

// Shortages returns the models that are short and got no copy in the last decision, each at
// most once in shortageInterval.
func (p *Planner) Shortages() []Shortage { return p.shortages }

// recordShortage records that a model got no copy, if it is short.
func (p *Planner) recordShortage(now time.Time, c *modelCount, r ShortageReason) {
	if c.version != nil || c.unserved == 0 && !c.short() || now.Sub(p.shortSince[c.key]) < shortageInterval {
		return
	}
	p.shortSince[c.key] = now
	p.shortages = append(p.shortages, Shortage{
		Key: c.key, Reason: r, Load: c.shortage, Copies: c.copies, Pending: c.pendingCopies, Unserved: c.unserved, Rate: c.rate,
	})
}

// whyNotLocal returns why a model of which no idle engine has the weights isn't loaded while
// the weight store has no turn left.
func (p *Planner) whyNotLocal(c *modelCount) ShortageReason {
	switch {
	case c.slowPending > 0 || c.elsewhere > 0:
		return OrderPending
	case c.spec.StoreLoadsPerSecond <= 0 || c.atHandOnly:
		return NoWeights
	}
	return StoreBusy
}

// whyNoEngine returns why chooseEngine found none.
func (p *Planner) whyNoEngine(now time.Time, c *modelCount, store bool) ShortageReason {
	switch o := p.obstacles; {
	case o.full+o.young > 0 && p.warmsUp(now, c):
		return WarmUp
	case o.busy > 0:
		return OrderPending
	case o.young > 0:
		return Protected
	case o.full > 0:
		return NoRoom
	case store && !c.atHandOnly:
		return NoRoom
	}
	return p.whyNotLocal(c)
}
