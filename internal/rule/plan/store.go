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
	if limit == p.storeProbe && !p.mayProbe(now) {
		limit--
	}
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
	dt := now.Sub(p.storeClockAt)
	if p.activeStoreLoads > 0 && dt > 0 {
		p.storeVirtualTime += dt.Seconds() / float64(p.activeStoreLoads)
	}
	probes := p.storeProbe > 0 && p.activeStoreLoads >= p.storeProbe
	p.storeClockAt, p.activeStoreLoads = now, 0
	for _, e := range p.ordered {
		if !e.loadsFromStore(now) {
			continue
		}
		p.activeStoreLoads++
		if probes {
			e.load.probed += max(dt, 0)
		}
	}
}

// loadsFromStore reports whether a load from the weight store is in progress on an engine
// that can be reached.
func (e *engine) loadsFromStore(now time.Time) bool {
	return e.load != nil && e.load.tier == Store && now.Sub(e.load.startedAt) < lostLoadFactor*e.load.expected
}

// mayProbe reports whether one load more than is known to run at full speed may start: all
// others are about to end.
func (p *Planner) mayProbe(now time.Time) bool {
	n := 0
	for _, e := range p.ordered {
		if !e.loadsFromStore(now) {
			continue
		}
		n++
		if e.load.startedAt.Add(e.load.expected).Sub(now).Seconds() > probeShare*e.load.expected.Seconds() {
			return false
		}
	}
	return n == p.storeProbe-1
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
		p.lowerStoreConcurrency(now, l)
		return
	}
	if p.storeProbe > 0 {
		p.judgeProbe(now, l, took <= onTimeFactor*expected+onTimeMargin.Seconds())
		return
	}
	most := float64(maxStoreConcurrency)
	if !p.storeCeilingAt.IsZero() && now.Sub(p.storeCeilingAt) < ceilingTTL {
		most = p.storeCeiling
	}
	n := max(p.storeConcurrency, min(p.storeConcurrency+concurrencyStep, most))
	if int(n) > int(p.storeConcurrency) {
		p.storeProbe = int(n)
	}
	p.storeConcurrency = n
}

// judgeProbe decides after the end of load l, if one more load ran beside it, whether the
// store serves that one at full speed as well.
func (p *Planner) judgeProbe(now time.Time, l *loadInProgress, onTime bool) {
	if l.probed.Seconds() < minProbe*l.expected.Seconds() {
		return
	}
	if !onTime {
		p.storeConcurrency = float64(p.storeProbe) - concurrencyStep
		p.storeCeiling, p.storeCeilingAt = p.storeConcurrency, now
	}
	p.storeProbe = 0
}

// lowerStoreConcurrency lowers the limit on concurrent store loads to what the load l, which
// takes long, shows.
func (p *Planner) lowerStoreConcurrency(now time.Time, l *loadInProgress) {
	// The store serves at least one load at full speed. A slower load has another cause,
	// such as an order that was carried out late.
	n := l.expected.Seconds() / max(p.storeVirtualTime-l.startVirtualTime, minVirtualTime)
	if n < 1 || n*concurrencySlack >= p.storeConcurrency {
		return
	}
	p.storeConcurrency, p.storeProbe = n*concurrencySlack, 0
	p.storeCeiling, p.storeCeilingAt = p.storeConcurrency, now
}

// checkOverdueLoads lowers the limit on concurrent store loads if several in progress are
// overdue. The service time that each has received bounds the concurrency before it ends.
func (p *Planner) checkOverdueLoads(now time.Time) {
	var oldest *loadInProgress
	overdue := 0
	for _, e := range p.engines {
		l := e.load
		if l == nil || l.tier != Store || l.expected <= 0 {
			continue
		}
		if took := now.Sub(l.startedAt).Seconds(); took > slowLoadFactor*l.expected.Seconds() && took < lostLoadFactor*l.expected.Seconds() {
			overdue++
			if oldest == nil || l.startedAt.Before(oldest.startedAt) {
				oldest = l
			}
		}
	}
	if overdue >= minOverdue {
		p.lowerStoreConcurrency(now, oldest)
	}
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
