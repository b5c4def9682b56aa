package plan

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// issueOrder records o as in flight to e and returns it as an Action.
func (p *Planner) issueOrder(now time.Time, e *engine, o fleet.Order, reason string) Action {
	o.ExpectedOrders = e.orders
	e.inFlight = &o
	a := Action{Engine: e.up, Order: o, Reason: reason}
	if !o.Unload && o.Adapter == "" {
		a.Tier = e.tier(o.Model)
		a.ExpectedDuration = p.loadDuration(e, o.Model, a.Tier)
		if a.Tier == Store {
			p.storeStarts = append(p.storeStarts, now)
		}
	}
	return a
}

// withInputs adds the inputs of the decision to load a model.
func (a Action) withInputs(c *modelCount) Action {
	a.Copies, a.Running, a.Waiting, a.Rate = c.copies+c.pendingCopies, c.running, c.waiting, c.rate
	return a
}

// RecordReply applies the engine's reply to an Action that was sent at sent.
func (p *Planner) RecordReply(sent, now time.Time, a Action, reply fleet.Reply) {
	e := p.engines[a.Engine.ID]
	if e == nil || e.up.Born != a.Engine.Born || e.inFlight == nil {
		return
	}
	o := *e.inFlight
	e.inFlight, e.changedAt = nil, now
	e.unreportedOrders++
	switch reply {
	case fleet.Unknown:
		e.recordUnconfirmed(now, o, false)
	case fleet.Accepted, fleet.Done:
		e.unreportedOrders = 0
		e.unconfirmed = nil
		p.applyAccepted(now, e, o, a, reply)
	case fleet.Conflict, fleet.Fenced, fleet.Invalid:
		e.needsReport, e.reportRequestedAt = true, now
		if o.Unload && o.Adapter == "" {
			p.cancelPlannedLoad(e)
		}
		if reply != fleet.Conflict {
			e.unconfirmed = nil
		} else if e.unconfirmed != nil && !e.confirm(e.up.Holding.Orders) {
			e.recordUnconfirmed(now, o, true)
		}
	}
}

// applyAccepted applies an order that is being carried out or has no effect
// because the engine is in the ordered state already.
func (p *Planner) applyAccepted(now time.Time, e *engine, o fleet.Order, a Action, reply fleet.Reply) {
	if reply == fleet.Accepted || o.Adapter != "" && o.Unload {
		e.orders = o.ExpectedOrders + 1
	}
	k := fleet.Key{Service: e.up.Service, Model: o.Model, Adapter: o.Adapter}
	switch {
	case o.Adapter != "" && o.Unload:
		if h := e.copies[o.Model]; h != nil {
			delete(h.adapters, o.Adapter)
			p.markChanged(e)
		}
	case o.Adapter != "":
		wait := adapterLoadTime
		if n := p.adapterLoadsInProgress(); n > adapterLoadsAtFullSpeed {
			wait = wait * time.Duration(n) / adapterLoadsAtFullSpeed
		}
		if reply == fleet.Done {
			wait = 0
		}
		e.adapterLoads[k] = now.Add(wait)
	case o.Unload && reply == fleet.Done:
		delete(e.copies, o.Model)
		p.markChanged(e)
	case o.Unload:
		e.unload = &unloadInProgress{model: o.Model, startedAt: now}
	case reply == fleet.Done:
		if e.copies[o.Model] == nil {
			e.copies[o.Model] = &modelCopy{since: now, adapters: map[string]*adapter{}}
		}
		p.markChanged(e)
	default:
		p.advanceStoreClock(now)
		storeLoads := p.activeStoreLoads + 1
		eta := now.Add(a.ExpectedDuration)
		if a.Tier == Store && float64(storeLoads) > p.storeConcurrency {
			eta = now.Add(time.Duration(float64(a.ExpectedDuration) * float64(storeLoads) / p.storeConcurrency))
		}
		e.load = &loadInProgress{model: o.Model, tier: a.Tier, startedAt: now, eta: eta, expected: a.ExpectedDuration, startVirtualTime: p.storeVirtualTime}
	}
}

// adapterLoadsInProgress returns the number of adapter loads in progress on all
// engines.
func (p *Planner) adapterLoadsInProgress() int {
	n := 0
	for _, e := range p.engines {
		n += len(e.adapterLoads)
	}
	return n
}
