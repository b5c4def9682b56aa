package plan

import (
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

const (
	// adapterStay keeps an adapter that has just been loaded.
	adapterStay = 300 * time.Millisecond
	// adapterPerCopy is the arrival rate from which an adapter gets a second
	// place, in requests a second.
	adapterPerCopy = 1.5
	// spareAdapters bounds the adapters without demand that one decision
	// orders, and spareShare is the share of places that they may take: an
	// adapter that must make way first doubles the time of a load.
	spareAdapters = 8
	spareShare    = 0.5
)

// adapters orders the adapters that are waited for or whose load calls for
// another place.
func (p *Planner) adapters(now time.Time, cs *census, out []Action) []Action {
	type want struct {
		d     *demand
		extra bool
	}
	var wants []want
	for k, d := range p.demands {
		if k.Adapter == "" || cs.counts[fleet.Key{Service: k.Service, Model: k.Model}] == nil {
			continue
		}
		n, missed := p.places(k, cs)
		rate := p.rate(now, d)
		switch {
		case n == 0 && (d.waiting > 0 || rate > 0.02), missed && d.waiting > 0:
			wants = append(wants, want{d, false})
		case n > 0 && rate > adapterPerCopy*float64(n):
			wants = append(wants, want{d, true})
		}
	}
	sort.Slice(wants, func(i, j int) bool {
		a, b := wants[i].d, wants[j].d
		if a.waiting != b.waiting {
			return a.waiting > b.waiting
		}
		return a.rate > b.rate || a.rate == b.rate && fleet.ModelName(a.key.Model, a.key.Adapter) < fleet.ModelName(b.key.Model, b.key.Adapter)
	})
	under := p.underWay()
	for _, w := range wants {
		if under >= p.set.MaxAdapterLoads {
			break
		}
		e, victim := p.adapterPlace(now, w.d, w.d.waiting > 0, cs)
		if e == nil {
			continue
		}
		if victim.Adapter != "" {
			out = append(out, p.order(now, e, fleet.Order{Unload: true, Model: victim.Model, Adapter: victim.Adapter}, "make-room"))
			continue
		}
		under++
		a := p.order(now, e, fleet.Order{Model: w.d.key.Model, Adapter: w.d.key.Adapter}, "adapter-wanted")
		a.Waiting, a.Rate = w.d.waiting, p.rate(now, w.d)
		out = append(out, a)
	}
	return p.spareAdapters(now, cs, under, out)
}

// spareAdapters fills free places with adapters that nobody holds, so that they
// are served while nobody may order.
func (p *Planner) spareAdapters(now time.Time, cs *census, under int, out []Action) []Action {
	ordered := 0
	for _, d := range p.daemons {
		if len(d.waiting) > 0 {
			return out
		}
	}
	for _, id := range p.ids {
		e := p.engines[id]
		spec := p.spec(e)
		if ordered == spareAdapters || under >= p.set.MaxAdapterLoads {
			break
		}
		if spec == nil || !e.idle() || len(e.coming) >= p.set.MaxEngineAdapterLoads || float64(e.adapters()) >= spareShare*float64(spec.MaxAdapters) {
			continue
		}
		k, ok := p.spare(e, spec, cs)
		if !ok {
			continue
		}
		ordered++
		under++
		cs.adapters[k] = append(cs.adapters[k], e)
		out = append(out, p.order(now, e, fleet.Order{Model: k.Model, Adapter: k.Adapter}, "spare"))
	}
	return out
}

// spare returns an adapter of a model on e that nobody holds.
func (p *Planner) spare(e *engine, spec *fleet.Engine, cs *census) (fleet.Key, bool) {
	models := make([]string, 0, len(e.held))
	for m, h := range e.held {
		if h.leaving.IsZero() {
			models = append(models, m)
		}
	}
	sort.Strings(models)
	for _, m := range models {
		for _, a := range spec.Models[m].Adapters {
			k := fleet.Key{Service: e.up.Service, Model: m, Adapter: a}
			if len(cs.adapters[k]) == 0 {
				return k, true
			}
		}
	}
	return fleet.Key{}, false
}

// places returns on how many engines an adapter is or will be, and whether a
// daemon with requests that wait for it reaches none of them.
func (p *Planner) places(k fleet.Key, cs *census) (n int, missed bool) {
	at := cs.adapters[k]
	if len(at) == 0 {
		return 0, false
	}
	for _, d := range p.daemons {
		if d.waiting[k] == 0 || len(d.unreachable) == 0 {
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

// hasAdapter reports whether the adapter is on the engine or on its way.
func (e *engine) hasAdapter(k fleet.Key) bool {
	if e.up.Service != k.Service || e.up.Leaving {
		return false
	}
	if _, ok := e.coming[k]; ok {
		return true
	}
	if e.sent != nil && !e.sent.Unload && e.sent.Model == k.Model && e.sent.Adapter == k.Adapter {
		return true
	}
	h := e.held[k.Model]
	return h != nil && h.leaving.IsZero() && h.adapters[k.Adapter] != nil
}

// adapterPlace returns the engine for an adapter, and the adapter that must
// make way first if all places are taken. Only requests that wait justify that.
func (p *Planner) adapterPlace(now time.Time, d *demand, waited bool, cs *census) (best *engine, victim fleet.Key) {
	lowest := 0.0
	for _, id := range cs.counts[fleet.Key{Service: d.key.Service, Model: d.key.Model}].engines {
		e := p.engines[id]
		h := e.held[d.key.Model]
		if h == nil || !h.leaving.IsZero() || !e.idle() || e.hasAdapter(d.key) {
			continue
		}
		if len(e.coming) >= p.set.MaxEngineAdapterLoads || cs.unreached[reach{d.key.Model, id}] {
			continue
		}
		spec := p.spec(e)
		cost, v := float64(e.adapters())/float64(max(spec.MaxAdapters, 1)), fleet.Key{}
		if e.adapters() >= spec.MaxAdapters {
			if !waited {
				continue
			}
			var rate float64
			if v, rate = p.leastUsed(now, e, cs); v.Adapter == "" {
				continue
			}
			cost = 2 + rate
		}
		if best == nil || cost < lowest {
			best, victim, lowest = e, v, cost
		}
	}
	return best, victim
}

// leastUsed returns the adapter on e with the lowest arrival rate that no
// request uses or waits for.
func (p *Planner) leastUsed(now time.Time, e *engine, cs *census) (least fleet.Key, rate float64) {
	for model, h := range e.held {
		for name, a := range h.adapters {
			k := fleet.Key{Service: e.up.Service, Model: model, Adapter: name}
			if cs.inUse[useAdapter{e.up.ID, k}] || now.Sub(a.since) < adapterStay {
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
