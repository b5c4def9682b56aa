package plan

import (
	"math"
	"sort"
	"time"
)

// chooseEngine returns the engine with the lowest cost for a new copy, and the
// models to evict there. It returns nil if the gain justifies no engine.
func (p *Planner) chooseEngine(now time.Time, c *modelCount, snap *snapshot) (best *engine, victims []string) {
	lowest := math.Inf(1)
	p.obstacles = obstacles{}
	store := p.storeHasCapacity(now, c.urgent(p)) && !p.engineFreeSoon(now, c)
	for _, id := range p.ids {
		e := p.engines[id]
		if !c.mayUse(e) || e.copies[c.key.Model] != nil || !p.serves(e, c) || snap.lost[id] {
			continue
		}
		if !e.idle() || e.planned != nil {
			if e.tier(c.key.Model) != Store {
				p.obstacles.busy++
			}
			continue
		}
		if c.unserved > 0 && c.copies+c.pendingCopies > 0 && snap.unreachable[unreachableKey{c.key.Model, id}] {
			continue
		}
		tier := e.tier(c.key.Model)
		if tier == Store && (!store || c.atHandOnly) {
			continue
		}
		vs, loss := p.chooseEvictions(now, e, c, snap)
		after := p.loadDuration(e, c.key.Model, tier) + snap.drainTime(id, vs)
		value := p.copyValue(c, e, after)
		gain := c.baseGain
		if c.short() {
			gain += value
		}
		if loss > 0 && loss*evictMargin >= gain || c.measured && gain <= 0 {
			p.obstacles.full++
			continue
		}
		duration := after.Seconds()
		cost := loss - value + p.engineCost(c, e) + duration*(baseLoadRate+c.rate+float64(c.unserved)) + duration*blockedAdapterCost*snap.heldAdapterRate(e) +
			sameDomainCost*float64(c.domains[e.up.FailureDomain])*max(c.rate, minSpreadRate) + freeMemoryCost*p.freeWeightMB(e, c.spec)/mbPerGB
		if cost < lowest {
			best, victims, lowest = e, vs, cost
		}
	}
	return best, victims
}

// drainTime returns how long the unloads of models on an engine take until their requests
// have ended.
func (snap *snapshot) drainTime(engine string, models []string) time.Duration {
	for _, m := range models {
		if snap.running[runningKey{engine, m}] > 0 {
			return drainTime
		}
	}
	return 0
}

// engineFreeSoon reports whether an engine that has the weights in memory or on
// disk is busy with a short operation, so that waiting for it is faster than a
// load from the weight store. It does so for at most maxEngineWait, since an
// engine may be busy all the time.
func (p *Planner) engineFreeSoon(now time.Time, c *modelCount) bool {
	if at, ok := p.storeDeferredSince[c.key]; ok && now.Sub(at) > maxEngineWait {
		if now.Sub(at) > maxEngineWait+engineWaitCooldown {
			delete(p.storeDeferredSince, c.key)
		}
		return false
	}
	for _, id := range p.ids {
		e := p.engines[id]
		if !c.mayUse(e) || e.up.Leaving || !e.reported || e.tier(c.key.Model) == Store || e.copies[c.key.Model] != nil {
			continue
		}
		if e.load != nil && e.load.tier != Store || e.unload != nil || e.inFlight != nil {
			if _, ok := p.storeDeferredSince[c.key]; !ok {
				p.storeDeferredSince[c.key] = now
			}
			return true
		}
	}
	return false
}

// warmsUp reports whether too little has been heard of the demand for evictions in favour of
// a model. If slot times are known, the mean rate stands for what hasn't been heard of.
func (p *Planner) warmsUp(now time.Time, c *modelCount) bool {
	heard := now.Sub(p.demandSince)
	if c.measured {
		return heard < measuredWarmUp
	}
	return heard < evictionWarmUp && c.unserved < warmUpUnserved
}

// chooseEvictions returns the models to evict from e to make room for c, and
// the sum of their losses, which is infinite if no evictions free enough
// memory.
func (p *Planner) chooseEvictions(now time.Time, e *engine, c *modelCount, snap *snapshot) (victims []string, loss float64) {
	free := p.freeWeightMB(e, c.spec)
	if free >= c.model.WeightMB {
		return nil, 0
	}
	if p.warmsUp(now, c) {
		return nil, math.Inf(1)
	}
	type candidate struct {
		name string
		loss float64
		mb   float64
	}
	var all []candidate
	young := 0
	for name, h := range e.copies {
		if now.Sub(h.since) < minCopyAge {
			young++
			continue
		}
		all = append(all, candidate{name, p.evictionLoss(e, name, snap), c.spec.Models[name].WeightMB})
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].loss < all[j].loss || all[i].loss == all[j].loss && all[i].name < all[j].name
	})
	// Evicting a single model that frees enough memory may lose less than
	// evicting several.
	single := math.Inf(1)
	for _, v := range all {
		if free+v.mb >= c.model.WeightMB && v.loss < single {
			victims, single = []string{v.name}, v.loss
		}
	}
	sum, freed := 0.0, free
	var several []string
	for _, v := range all {
		if freed >= c.model.WeightMB {
			break
		}
		several, sum, freed = append(several, v.name), sum+v.loss, freed+v.mb
	}
	if freed < c.model.WeightMB {
		if young > 0 {
			p.obstacles.young++
		}
		return nil, math.Inf(1)
	}
	if single <= sum {
		return victims, max(single, minEvictionLoss)
	}
	return several, max(sum, minEvictionLoss)
}

// engineCost returns the cost of a copy on an engine that has load, in seconds of delay.
func (p *Planner) engineCost(c *modelCount, e *engine) float64 {
	if !c.measured {
		return 0
	}
	return loadedEngineCost * p.shares.Load(e.index) / float64(c.spec.Slots)
}
