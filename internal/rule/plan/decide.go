package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// Decide returns the orders to send at now. The caller passes the reply to each
// one to RecordReply.
func (p *Planner) Decide(now time.Time) (out []Action) {
	if p.cfg == nil {
		return nil
	}
	p.shortages = p.shortages[:0]
	if p.firstDecision.IsZero() {
		p.firstDecision = now
	}
	p.refreshDemand(now)
	p.advanceStoreClock(now)
	p.checkOverdueLoads(now)
	for _, id := range p.ids {
		e := p.engines[id]
		e.completeAdapterLoads(p, now)
		if a, ok := p.resendUnconfirmed(now, e); ok {
			out = append(out, a)
		}
	}
	snap := p.takeSnapshot(now)
	out = p.planAdapterLoads(now, snap, out)
	out = p.advancePlannedLoads(now, snap, out)
	return p.planModelLoads(now, snap, out)
}

// refreshDemand drops the demand of silent daemons, negligible rates, and store
// loads outside the window, and sums the waiting requests of all daemons.
func (p *Planner) refreshDemand(now time.Time) {
	for name, d := range p.daemons {
		if now.Sub(d.at) > daemonExpiry {
			delete(p.daemons, name)
		}
	}
	for k, d := range p.demands {
		d.decayTo(now)
		d.waiting = 0
		if d.rate < minTrackedRate {
			delete(p.demands, k)
		}
	}
	for _, d := range p.daemons {
		for k, n := range d.waiting {
			w := p.demand(k)
			w.at = now
			w.waiting += n
		}
	}
	i := 0
	for i < len(p.storeStarts) && now.Sub(p.storeStarts[i]) > p.settings.StoreWindow {
		i++
	}
	p.storeStarts = p.storeStarts[i:]
}

// advancePlannedLoads issues the orders of planned loads: first the announced
// unloads, then the load.
func (p *Planner) advancePlannedLoads(now time.Time, snap *snapshot, out []Action) []Action {
	for _, id := range p.ids {
		e := p.engines[id]
		if e.planned == nil {
			continue
		}
		if now.Sub(e.planned.since) > maxPlannedTime || e.up.Leaving || e.copies[e.planned.model] != nil {
			p.cancelPlannedLoad(e)
			continue
		}
		if !e.idle() {
			continue
		}
		if victim, at := e.announcedUnload(); victim != "" {
			if now.Sub(at) >= unloadNotice {
				out = append(out, p.issueOrder(now, e, fleet.Order{Unload: true, Model: victim}, "make-room"))
			}
			continue
		}
		spec, c := p.spec(e), snap.counts[fleet.Key{Service: e.up.Service, Model: e.planned.model}]
		if c == nil || p.freeWeightMB(e, spec) < c.model.WeightMB {
			p.cancelPlannedLoad(e)
			continue
		}
		model, since := e.planned.model, e.planned.since
		e.planned = nil
		if e.tier(model) == Store && !p.storeHasCapacity(now, true) {
			e.planned = &plannedLoad{model: model, since: since}
			continue
		}
		if e.tier(model) == Store && p.yields(snap, c) {
			c.pendingCopies--
			continue
		}
		out = append(out, p.issueOrder(now, e, fleet.Order{Model: model}, "wanted").withInputs(c))
	}
	return out
}

// cancelPlannedLoad cancels the planned load and withdraws the announced
// unloads.
func (p *Planner) cancelPlannedLoad(e *engine) {
	e.planned = nil
	for _, h := range e.copies {
		if !h.unloadAnnouncedAt.IsZero() {
			h.unloadAnnouncedAt = time.Time{}
			p.markChanged(e)
		}
	}
}

// announcedUnload returns the first model by name whose unload has been
// announced, and when that was.
func (e *engine) announcedUnload() (string, time.Time) {
	best, at := "", time.Time{}
	for name, h := range e.copies {
		if !h.unloadAnnouncedAt.IsZero() && (best == "" || name < best) {
			best, at = name, h.unloadAnnouncedAt
		}
	}
	return best, at
}

// freeWeightMB returns the free memory for weights in MB. All adapter slots are
// reserved at the size of the largest adapter.
func (p *Planner) freeWeightMB(e *engine, spec *fleet.Engine) float64 {
	free := spec.MemoryMB - p.snap.reserved[spec]
	for name := range e.copies {
		free -= spec.Models[name].WeightMB
	}
	if e.load != nil && e.copies[e.load.model] == nil {
		free -= spec.Models[e.load.model].WeightMB
	}
	return free
}

// planModelLoads issues loads of models, and announces the unloads that they
// need, in the order of decreasing gain.
func (p *Planner) planModelLoads(now time.Time, snap *snapshot, out []Action) []Action {
	wanted := make([]*modelCount, 0, len(snap.counts))
	for _, c := range snap.counts {
		if p.awaitsSlowLoad(now, c) {
			b := c.boundTo(p, nil, c.waiting)
			b.gain = p.loadGain(b)
			wanted = append(wanted, b)
		}
		if p.isWanted(c) {
			c.gain = p.loadGain(c)
			wanted = append(wanted, c)
		}
	}
	for k, n := range snap.unservedBound {
		c := snap.counts[k.Key].boundTo(p, &k.Version, n)
		c.gain = p.loadGain(c)
		wanted = append(wanted, c)
	}
	slices.SortFunc(wanted, compareGain)
	store, searched := p.storeHasCapacity(now, true), 0
	for len(wanted) > 0 {
		c := wanted[0]
		wanted = wanted[1:]
		if c.measured {
			// Loads that were ordered for others may have taken from its shortage.
			c.updateShortage(p)
			if !p.isWanted(c) {
				continue
			}
		}
		if searched == maxModelsPerDecision {
			break
		}
		if c.localEngines == 0 && !store {
			// Only the weight store has it, without capacity. It must not
			// count towards maxModelsPerDecision and so block others.
			p.recordShortage(now, c, p.whyNotLocal(c))
			continue
		}
		if !c.urgent(p) && now.Sub(p.firstDecision) < demandWarmUp {
			continue
		}
		searched++
		best, victims := p.chooseEngine(now, c, snap)
		if best == nil {
			p.recordShortage(now, c, p.whyNoEngine(now, c, store))
			continue
		}
		store = p.storeHasCapacity(now, true)
		if len(victims) == 0 {
			out = append(out, p.issueOrder(now, best, fleet.Order{Model: c.key.Model}, reason(c)).withInputs(c))
		} else {
			best.planned = &plannedLoad{model: c.key.Model, since: now}
			for _, v := range victims {
				best.copies[v].unloadAnnouncedAt = now
				if vc := snap.counts[fleet.Key{Service: c.key.Service, Model: v}]; vc != nil {
					vc.copies--
					p.shares.RemoveHolder(vc.index, best.index)
				}
			}
			p.markChanged(best)
		}
		c.pendingCopies++
		all := snap.counts[c.key]
		p.addHolder(all, best)
		if all != c {
			all.pendingCopies++
			continue
		}
		c.updateShortage(p)
		if c.unserved == 0 && c.urgent(p) {
			// Its next copy may be worth more than the first one of others.
			c.gain = p.loadGain(c)
			i, _ := slices.BinarySearchFunc(wanted, c, compareGain)
			wanted = slices.Insert(wanted, i, c)
		}
	}
	return out
}

// compareGain orders models by decreasing gain of a load.
func compareGain(a, b *modelCount) int {
	return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.order(), b.order()))
}

// order returns what orders models with the same gain.
func (c *modelCount) order() string {
	if c.version == nil {
		return c.key.Model
	}
	return c.key.Model + " " + *c.version
}

// urgent reports whether requests wait that no copy can serve, or the model has
// too few copies for its load.
func (c *modelCount) urgent(p *Planner) bool {
	return c.unserved > 0 || c.copies+c.pendingCopies < p.copiesNeeded(c)
}

// hasDemand reports whether there is demand for any model.
func (p *Planner) hasDemand() bool { return len(p.demands) > 0 }

// reason returns the reason of a load as it is logged.
func reason(c *modelCount) string {
	switch {
	case c.version != nil:
		return "version-waited-for"
	case c.atHandOnly:
		return "faster-copy"
	case c.unserved > 0:
		return "waited-for"
	case c.copies+c.pendingCopies > 0:
		return "further-copy"
	}
	return "first-copy"
}
