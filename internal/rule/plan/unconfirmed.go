package plan

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// unconfirmedOrder is an order whose reply was lost. The engine may still execute it.
	unconfirmedOrder struct {
		fleet.Order
		// repliedAt is when the last transmission was answered or given up.
		repliedAt time.Time
		// resends counts the repetitions.
		resends int
		// conflict is set once the engine has answered conflict, until a report shows that
		// no change is in progress there: the order has been executed, or another one is.
		conflict bool
	}
)

const (
	// resendInterval is the time after which an order without reply is repeated. It doubles
	// with each repetition, at most maxResendBackoff times, to 3.2 s: engines that are slow
	// with an order execute it 2 to 12 s late.
	resendInterval   = 100 * time.Millisecond
	maxResendBackoff = 5
	// conflictInterval is the least time between an answer of conflict and the next
	// repetition while no report shows the engine's state. Most unloads and loads from the
	// disk, during which an engine accepts no order, end within it.
	conflictInterval = 2 * time.Second
	// maxUnreportedOrders is the number of orders that an engine can receive between two
	// reports, apart from those that it accepted: 12 s of repetitions at their intervals.
	maxUnreportedOrders = 8
)

// resendUnconfirmed repeats an order whose reply was lost. The repetition
// either takes effect or shows that the first transmission did.
func (p *Planner) resendUnconfirmed(now time.Time, e *engine) (Action, bool) {
	if e.inFlight != nil || !e.resendDue(now) {
		return Action{}, false
	}
	o := e.unconfirmed.Order
	tier := e.tier(o.Model)
	a := Action{Engine: e.up, Order: o, Reason: "no-reply", Tier: tier}
	if !o.Unload && o.Adapter == "" {
		a.ExpectedDuration = p.loadDuration(e, o.Model, tier)
		if tier == Store && !p.storeHasCapacity(now, true) {
			return Action{}, false
		}
		if tier == Store {
			p.storeStarts = append(p.storeStarts, now)
		}
	}
	e.unconfirmed.resends++
	e.inFlight = &o
	return a, true
}

// resendDue reports whether the unconfirmed order, if there is one, must be repeated.
func (e *engine) resendDue(now time.Time) bool {
	u := e.unconfirmed
	if u == nil || e.unreportedOrders >= maxUnreportedOrders {
		return false
	}
	wait := resendInterval << min(u.resends, maxResendBackoff)
	if u.conflict {
		wait = max(wait, conflictInterval)
	}
	return now.Sub(u.repliedAt) >= wait
}

// recordUnconfirmed records that an order got no reply, or that its repetition was answered
// conflict.
func (e *engine) recordUnconfirmed(now time.Time, o fleet.Order, conflict bool) {
	if e.unconfirmed == nil {
		e.unconfirmed = &unconfirmedOrder{Order: o}
	}
	e.unconfirmed.repliedAt, e.unconfirmed.conflict = now, conflict
}

// confirm drops the unconfirmed order if the number of orders that the engine has accepted
// shows that it is done or void.
func (e *engine) confirm(orders int64) bool {
	if e.unconfirmed == nil || orders <= e.unconfirmed.ExpectedOrders {
		return false
	}
	e.unconfirmed = nil
	return true
}
