package plan

import (
	"math"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// storeHasCapacity reports whether a load from the weight store may start. A
// change that another holder ordered counts as one, since it may be such a
// load. While there is demand, one load is reserved for urgent models: those
// with waiting requests or too few copies for their load.
func (p *Planner) storeHasCapacity(now time.Time, urgent bool) bool {
	inProgress := 0
	rate := 0.0 // loads per second
	for _, e := range p.engines {
		if e.unload != nil && e.unload.model == "" && now.Sub(e.unload.startedAt) < p.longestLoad(e) {
			inProgress++
			continue
		}
		if e.planned != nil && e.tier(e.planned.model) == Store || e.load != nil && e.load.tier == Store && now.Sub(e.load.startedAt) < lostLoadFactor*e.load.expected || e.inFlight != nil && !e.inFlight.Unload && e.inFlight.Adapter == "" && e.tier(e.inFlight.Model) == Store {
			inProgress++
		}
	}
	for _, s := range p.cfg.Services {
		if s.Engine != nil {
			rate = max(rate, s.Engine.StoreLoadsPerSecond)
		}
	}
	limit := int(p.storeConcurrency)
	if !urgent && p.hasDemand() {
		limit = max(limit-1, 1)
	}
	if inProgress >= limit {
		return false
	}
	return float64(len(p.storeStarts)) < rate*p.settings.StoreWindow.Seconds()
}

// initialStoreConcurrency returns the limit on concurrent loads while nothing is known of
// the weight store: so many that they take initialStoreTime if it serves them one after
// another. If it serves fewer at a time than that, none ends sooner for having been ordered
// sooner, and a more urgent one waits for all of them.
func initialStoreConcurrency(cfg *fleet.Config) float64 {
	longest := time.Duration(0)
	for _, s := range cfg.Services {
		if s.Engine != nil {
			for _, m := range s.Engine.Models {
				longest = max(longest, m.StoreLoadTime)
			}
		}
	}
	if longest <= 0 {
		return defaultStoreConcurrency
	}
	return min(max(math.Floor(initialStoreTime.Seconds()/longest.Seconds()), 1), defaultStoreConcurrency)
}

// longestLoad returns the longest expected duration of a load on e.
func (p *Planner) longestLoad(e *engine) (d time.Duration) {
	if s := p.spec(e); s != nil {
		for _, m := range s.Models {
			d = max(d, m.StoreLoadTime)
		}
	}
	return d
}

// advanceStoreClock advances the virtual time of the weight store by the time
// since the last call, divided by the number of loads that shared the store.
func (p *Planner) advanceStoreClock(now time.Time) {
	if dt := now.Sub(p.storeClockAt).Seconds(); p.activeStoreLoads > 0 && dt > 0 {
		p.storeVirtualTime += dt / float64(p.activeStoreLoads)
	}
	p.storeClockAt, p.activeStoreLoads = now, 0
	for _, e := range p.engines {
		if e.load != nil && e.load.tier == Store && now.Sub(e.load.startedAt) < lostLoadFactor*e.load.expected {
			p.activeStoreLoads++
		}
	}
}

// adjustStoreConcurrency adjusts the limit on concurrent store loads after load
// l has finished. If the load was slow, the ratio of its expected duration to
// the service time that it received is the number of loads that the store
// serves at full speed.
func (p *Planner) adjustStoreConcurrency(now time.Time, l *loadInProgress) {
	took, expected := now.Sub(l.startedAt).Seconds(), l.expected.Seconds()
	if expected <= 0 {
		return
	}
	if took > slowLoadFactor*expected {
		// The store serves at least one load at full speed. A slower load has
		// another cause, such as an order that was carried out late.
		if n := expected / max(p.storeVirtualTime-l.startVirtualTime, minVirtualTime); n >= 1 {
			p.storeConcurrency = min(p.storeConcurrency, n*concurrencySlack)
		}
		return
	}
	p.storeConcurrency = min(p.storeConcurrency+concurrencyStep, maxStoreConcurrency)
}

// yields reports whether a load from the weight store that was planned for e, and for
// which there is room now, is no longer worth its turn: the load that called for it has
// gone, or another model that only the store has is worth far more.
func (p *Planner) yields(snap *snapshot, c *modelCount) bool {
	c.pendingCopies--
	gain := p.loadGain(c)
	c.pendingCopies++
	if gain <= 0 {
		return true
	}
	for _, o := range snap.counts {
		if o != c && o.localEngines == 0 && p.isWanted(o) && o.urgent(p) && p.loadGain(o) > yieldFactor*gain {
			return true
		}
	}
	return false
}

// isWanted reports whether a model needs another copy.
func (p *Planner) isWanted(c *modelCount) bool {
	return c.unserved > 0 || c.copies+c.pendingCopies < max(p.copiesWanted(c), 1)
}

// loadDuration returns the expected duration of a load.
func (p *Planner) loadDuration(e *engine, model string, tier Tier) time.Duration {
	m := p.spec(e).Models[model]
	switch tier {
	case Memory:
		return m.MemoryLoadTime
	case Disk:
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}
