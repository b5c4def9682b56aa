package plan

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// order notes an order as sent and returns it.
func (p *Planner) order(now time.Time, e *engine, o fleet.Order, why string) Action {
	o.ExpectedOrders = e.orders
	e.sent = &o
	a := Action{Engine: e.up, Order: o, Reason: why}
	if !o.Unload && o.Adapter == "" {
		a.Tier = e.tier(o.Model)
		a.ExpectedDuration = p.duration(e, o.Model, a.Tier)
		if a.Tier == Store {
			p.storeStarts = append(p.storeStarts, now)
		}
	}
	return a
}

// with adds the inputs of a load.
func (a Action) with(c *count) Action {
	a.Copies, a.Running, a.Waiting, a.Rate = c.copies+c.coming, c.running, c.waiting, c.rate
	return a
}

// Ordered takes over the outcome of an Action that was sent at sent.
func (p *Planner) RecordReply(sent, now time.Time, a Action, reply fleet.Reply) {
	e := p.engines[a.Engine.ID]
	if e == nil || e.up.Born != a.Engine.Born || e.sent == nil {
		return
	}
	o := *e.sent
	e.sent, e.changedAt = nil, now
	switch reply {
	case fleet.Unknown:
		if e.doubt == nil {
			e.doubtTries = 0
		}
		e.doubt, e.doubtAt = &o, now
		return
	case fleet.Accepted, fleet.Done:
		e.doubt = nil
		p.accepted(now, e, o, a, reply)
	case fleet.Conflict, fleet.Fenced, fleet.Invalid:
		e.mustReport, e.askedAt = true, now
		if o.Unload && o.Adapter == "" {
			p.abandon(e)
		}
		if reply != fleet.Conflict {
			e.doubt = nil
		}
	}
}

// accepted takes over an order that is being carried out or already holds.
func (p *Planner) accepted(now time.Time, e *engine, o fleet.Order, a Action, reply fleet.Reply) {
	if reply == fleet.Accepted || o.Adapter != "" && o.Unload {
		e.orders = o.ExpectedOrders + 1
	}
	k := fleet.Key{Service: e.up.Service, Model: o.Model, Adapter: o.Adapter}
	switch {
	case o.Adapter != "" && o.Unload:
		if h := e.held[o.Model]; h != nil {
			delete(h.adapters, o.Adapter)
			p.touch(e)
		}
	case o.Adapter != "":
		wait := adapterTime
		if n := p.underWay(); n > adapterCrowd {
			wait = wait * time.Duration(n) / adapterCrowd
		}
		if reply == fleet.Done {
			wait = 0
		}
		e.coming[k] = now.Add(wait)
	case o.Unload && reply == fleet.Done:
		delete(e.held, o.Model)
		p.touch(e)
	case o.Unload:
		e.unload = &unloading{model: o.Model, began: now}
	case reply == fleet.Done:
		if e.held[o.Model] == nil {
			e.held[o.Model] = &held{since: now, adapters: map[string]*adapter{}}
		}
		p.touch(e)
	default:
		p.accountStore(now)
		along := p.storeLoads + 1
		eta := now.Add(a.ExpectedDuration)
		if a.Tier == Store && float64(along) > p.atOnce {
			eta = now.Add(time.Duration(float64(a.ExpectedDuration) * float64(along) / p.atOnce))
		}
		e.load = &loading{model: o.Model, tier: a.Tier, began: now, eta: eta, expected: a.ExpectedDuration, storeGiven: p.storeGiven}
	}
}

// underWay returns the number of adapters on their way to all engines.
func (p *Planner) underWay() int {
	n := 0
	for _, e := range p.engines {
		n += len(e.coming)
	}
	return n
}
