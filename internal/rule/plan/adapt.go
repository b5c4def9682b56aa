package plan

import (
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

const (
	// minAdapterAge protects an adapter that has just been loaded from
	// eviction.
	minAdapterAge = 300 * time.Millisecond
	// minAdapterRate is the arrival rate, in requests per second, above which
	// a missing adapter is loaded without waiting requests.
	minAdapterRate = 0.02
	// adapterSlotCapacity is the arrival rate, in requests per second, for
	// each engine that has an adapter, above which one more engine loads it.
	adapterSlotCapacity = 1.5
	// fullEngineCost is the cost of an engine whose adapter slots are all
	// taken, in place of the share of slots taken.
	fullEngineCost = 2
	// maxSpareAdapterLoads limits the adapters without demand that one decision
	// orders; spareSlotShare is the share of an engine's slots up to which they
	// are loaded. The rest stays free, because a load that needs an eviction
	// first takes twice as long.
	maxSpareAdapterLoads = 8
	spareSlotShare       = 0.5
)

// planAdapterLoads orders the adapters that have waiting requests or a higher
// arrival rate than the engines that have them can serve.
func (p *Planner) planAdapterLoads(now time.Time, snap *snapshot, out []Action) []Action {
	type want struct {
		d     *demand
		extra bool
		// free is set if only an engine with free slots will do.
		free bool
		// version is the only software version of the engines that may serve the
		// waiting requests, nil for any.
		version *string
	}
	var wants []want
	for k, d := range p.demands {
		c := snap.counts[fleet.Key{Service: k.Service, Model: k.Model}]
		if k.Adapter == "" || c == nil {
			continue
		}
		n, missed := p.adapterEngines(k, snap)
		rate := p.arrivalRate(now, d)
		switch {
		case n == 0 && (d.waiting > 0 || rate > minAdapterRate), missed && d.waiting > 0:
			wants = append(wants, want{d: d})
		case n > 0 && rate > adapterSlotCapacity*float64(n):
			wants = append(wants, want{d: d, extra: true})
		case c.measured && n > 0 && n < c.copies && d.waiting > 0:
			// Requests that wait although engines have the adapter find these full.
			wants = append(wants, want{d: d, extra: true, free: true})
		}
	}
	for k, n := range snap.unservedAdapters {
		wants = append(wants, want{d: &demand{key: k.Key, at: now, waiting: n}, version: &k.Version})
	}
	sort.Slice(wants, func(i, j int) bool {
		a, b := wants[i].d, wants[j].d
		if a.waiting != b.waiting {
			return a.waiting > b.waiting
		}
		return a.rate > b.rate || a.rate == b.rate && fleet.ModelName(a.key.Model, a.key.Adapter) < fleet.ModelName(b.key.Model, b.key.Adapter)
	})
	inProgress := p.adapterLoadsInProgress()
	for _, w := range wants {
		if inProgress >= p.settings.MaxAdapterLoads {
			break
		}
		e, victim := p.chooseAdapterEngine(now, w.d, w.version, w.free, w.d.waiting > 0, snap)
		if e == nil {
			continue
		}
		if victim.Adapter != "" {
			out = append(out, p.issueOrder(now, e, fleet.Order{Unload: true, Model: victim.Model, Adapter: victim.Adapter}, "make-room"))
			continue
		}
		inProgress++
		a := p.issueOrder(now, e, fleet.Order{Model: w.d.key.Model, Adapter: w.d.key.Adapter}, "adapter-wanted")
		a.Waiting, a.Rate = w.d.waiting, p.arrivalRate(now, w.d)
		out = append(out, a)
	}
	return p.planSpareAdapterLoads(now, snap, inProgress, out)
}

// planSpareAdapterLoads fills free slots with adapters that no engine has, so
// that they can be served while no daemon may order loads.
func (p *Planner) planSpareAdapterLoads(now time.Time, snap *snapshot, inProgress int, out []Action) []Action {
	ordered := 0
	for _, d := range p.daemons {
		if len(d.waiting)+len(d.bound) > 0 {
			return out
		}
	}
	for _, id := range p.ids {
		e := p.engines[id]
		spec := p.spec(e)
		if ordered == maxSpareAdapterLoads || inProgress >= p.settings.MaxAdapterLoads {
			break
		}
		if spec == nil || !e.idle() || len(e.adapterLoads) >= p.settings.MaxEngineAdapterLoads || float64(e.adapterSlotsUsed()) >= spareSlotShare*float64(spec.MaxAdapters) {
			continue
		}
		k, ok := p.unheldAdapter(e, spec, snap)
		if !ok {
			continue
		}
		ordered++
		inProgress++
		snap.adapters[k] = append(snap.adapters[k], e)
		out = append(out, p.issueOrder(now, e, fleet.Order{Model: k.Model, Adapter: k.Adapter}, "spare"))
	}
	return out
}

// unheldAdapter returns an adapter of a model on e that no engine has.
func (p *Planner) unheldAdapter(e *engine, spec *fleet.Engine, snap *snapshot) (fleet.Key, bool) {
	models := make([]string, 0, len(e.copies))
	for m, h := range e.copies {
		if h.unloadAnnouncedAt.IsZero() {
			models = append(models, m)
		}
	}
	sort.Strings(models)
	for _, m := range models {
		for _, a := range spec.Models[m].Adapters {
			k := fleet.Key{Service: e.up.Service, Model: m, Adapter: a}
			if len(snap.adapters[k]) == 0 {
				return k, true
			}
		}
	}
	return fleet.Key{}, false
}

// adapterEngines returns the number of engines on which an adapter is loaded or
// being loaded, and whether a daemon with waiting requests for it can reach
// none of them.
func (p *Planner) adapterEngines(k fleet.Key, snap *snapshot) (n int, missed bool) {
	at := snap.adapters[k]
	if len(at) == 0 {
		return 0, false
	}
	for _, d := range snap.partial {
		if len(d.unreachable) == 0 || d.waiting[k] == 0 {
			continue
		}
		reached := false
		for _, e := range at {
			reached = reached || !d.unreachable[e.up.ID]
		}
		missed = missed || !reached
	}
	return len(at), missed
}

// hasAdapter reports whether the adapter is loaded or being loaded on e.
func (e *engine) hasAdapter(k fleet.Key) bool {
	if e.up.Service != k.Service || e.up.Leaving {
		return false
	}
	if _, ok := e.adapterLoads[k]; ok {
		return true
	}
	if e.inFlight != nil && !e.inFlight.Unload && e.inFlight.Model == k.Model && e.inFlight.Adapter == k.Adapter {
		return true
	}
	h := e.copies[k.Model]
	return h != nil && h.unloadAnnouncedAt.IsZero() && h.adapters[k.Adapter] != nil
}

// chooseAdapterEngine returns the engine for an adapter, of a software version unless that
// is nil and with a free slot for a request if that is needed, and the adapter to evict first
// if all slots for adapters are taken. Only waiting requests justify an eviction.
func (p *Planner) chooseAdapterEngine(now time.Time, d *demand, version *string, free, hasWaiting bool, snap *snapshot) (best *engine, victim fleet.Key) {
	lowest := 0.0
	c := snap.counts[fleet.Key{Service: d.key.Service, Model: d.key.Model}]
	for _, id := range c.engines {
		e := p.engines[id]
		h := e.copies[d.key.Model]
		if free && snap.requestsAt(e) >= c.spec.Slots {
			continue
		}
		if version != nil && e.up.Version != *version {
			continue
		}
		if h == nil || !h.unloadAnnouncedAt.IsZero() || !e.idle() || e.hasAdapter(d.key) {
			continue
		}
		if len(e.adapterLoads) >= p.settings.MaxEngineAdapterLoads || snap.unreachable[unreachableKey{d.key.Model, id}] {
			continue
		}
		spec := p.spec(e)
		cost, v := float64(e.adapterSlotsUsed())/float64(max(spec.MaxAdapters, 1)), fleet.Key{}
		if e.adapterSlotsUsed() >= spec.MaxAdapters {
			if !hasWaiting {
				continue
			}
			var rate float64
			if v, rate = p.leastUsedAdapter(now, e, snap); v.Adapter == "" {
				continue
			}
			cost = fullEngineCost + rate
		}
		if c.measured {
			cost += float64(snap.requestsAt(e)) / float64(c.spec.Slots)
		}
		if best == nil || cost < lowest {
			best, victim, lowest = e, v, cost
		}
	}
	return best, victim
}

// leastUsedAdapter returns the adapter on e with the lowest arrival rate, and
// that rate, among those that no request uses or waits for.
func (p *Planner) leastUsedAdapter(now time.Time, e *engine, snap *snapshot) (least fleet.Key, rate float64) {
	for model, h := range e.copies {
		for name, a := range h.adapters {
			k := fleet.Key{Service: e.up.Service, Model: model, Adapter: name}
			if snap.boundAdapters[fleet.VersionKey{Key: k, Version: e.up.Version}] > 0 {
				continue
			}
			if snap.inUse[adapterUseKey{e.up.ID, k}] || now.Sub(a.since) < minAdapterAge {
				continue
			}
			r := 0.0
			if d := p.demands[k]; d != nil {
				if d.waiting > 0 {
					continue
				}
				r = d.rate
			}
			if least.Adapter == "" || r < rate || r == rate && fleet.ModelName(model, name) < fleet.ModelName(least.Model, least.Adapter) {
				least, rate = k, r
			}
		}
	}
	return least, rate
}
