package plan

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// census is what one decision counts over all engines and daemons.
	census struct {
		counts map[fleet.Key]*count
		// running requests by engine and model.
		running map[use]int
		// adapters says where each adapter is or will be.
		adapters map[fleet.Key][]*engine
		// inUse are the adapters that requests use.
		inUse map[useAdapter]bool
		// adapterRates are the arrival rates of requests for adapters, by
		// model.
		adapterRates map[fleet.Key]float64
		// unreached are the engines that a daemon with requests that wait for
		// the model can't reach.
		unreached map[reach]bool
	}

	use        struct{ engine, model string }
	reach      struct{ model, engine string }
	useAdapter struct {
		engine string
		key    fleet.Key
	}

	// count is the state of one model over all engines.
	count struct {
		key     fleet.Key
		model   fleet.Model
		spec    *fleet.Engine
		copies  int
		coming  int
		running int
		waiting int
		// unserved are the waiting requests that no reachable copy can serve.
		unserved int
		rate     float64
		domains  map[string]int
		// engines that have the model, or will have it.
		engines []string
		// reload is the shortest load time on any engine.
		reload time.Duration
		gain   float64
		// atHand counts the engines that could load the model from their disk
		// or memory now.
		atHand int
		// spread is the number of failure domains that have engines of the
		// service, at most mostDomains.
		spread int
	}
)

// census counts copies and demand.
func (p *Planner) census(now time.Time) *census {
	cs := &census{
		counts: map[fleet.Key]*count{}, running: map[use]int{}, adapters: map[fleet.Key][]*engine{},
		inUse: map[useAdapter]bool{}, adapterRates: map[fleet.Key]float64{}, unreached: map[reach]bool{},
	}
	domains := map[string]map[string]bool{}
	for _, e := range p.engines {
		if domains[e.up.Service] == nil {
			domains[e.up.Service] = map[string]bool{}
		}
		if !e.up.Leaving {
			domains[e.up.Service][e.up.FailureDomain] = true
		}
	}
	for name, s := range p.cfg.Services {
		if s.Engine == nil {
			continue
		}
		for mn, m := range s.Engine.Models {
			k := fleet.Key{Service: name, Model: mn}
			c := &count{key: k, model: m, spec: s.Engine, reload: m.StoreLoadTime, spread: min(len(domains[name]), mostDomains)}
			if d := p.demands[k]; d != nil {
				c.rate, c.waiting = p.rate(now, d), d.waiting
			}
			cs.counts[k] = c
		}
	}
	for k, d := range p.demands {
		if k.Adapter != "" {
			cs.adapterRates[fleet.Key{Service: k.Service, Model: k.Model}] += p.rate(now, d)
		}
	}
	for _, id := range p.ids {
		if e := p.engines[id]; !e.up.Leaving {
			cs.engine(e)
		}
	}
	for _, d := range p.daemons {
		cs.daemon(p, d)
	}
	return cs
}

// engine counts what an engine holds and is about to hold.
func (cs *census) engine(e *engine) {
	key := func(model string) fleet.Key { return fleet.Key{Service: e.up.Service, Model: model} }
	for mn, h := range e.held {
		c := cs.counts[key(mn)]
		if c == nil || !h.leaving.IsZero() {
			continue
		}
		c.copies++
		c.at(e)
		for a := range h.adapters {
			k := fleet.Key{Service: e.up.Service, Model: mn, Adapter: a}
			cs.adapters[k] = append(cs.adapters[k], e)
		}
	}
	for k := range e.coming {
		cs.adapters[k] = append(cs.adapters[k], e)
	}
	if o := e.sent; o != nil && !o.Unload && o.Adapter != "" {
		k := fleet.Key{Service: e.up.Service, Model: o.Model, Adapter: o.Adapter}
		cs.adapters[k] = append(cs.adapters[k], e)
	}
	for mn := range e.disk {
		if c := cs.counts[key(mn)]; c != nil {
			c.reload = min(c.reload, c.model.DiskLoadTime)
			if e.held[mn] == nil && e.goal == nil && e.idle() {
				c.atHand++
			}
		}
	}
	for _, mn := range []string{e.loads(), e.wants()} {
		if c := cs.counts[key(mn)]; c != nil {
			c.coming++
			c.at(e)
		}
	}
}

// at notes that the model is or will be on an engine.
func (c *count) at(e *engine) {
	if c.domains == nil {
		c.domains = map[string]int{}
	}
	c.domains[e.up.FailureDomain]++
	c.engines = append(c.engines, e.up.ID)
}

// loads returns the model that is being loaded or whose load has been ordered,
// wants the one that room is being made for.
func (e *engine) loads() string {
	switch {
	case e.load != nil:
		return e.load.model
	case e.sent != nil && !e.sent.Unload && e.sent.Adapter == "":
		return e.sent.Model
	case e.doubt != nil && !e.doubt.Unload && e.doubt.Adapter == "":
		return e.doubt.Model
	}
	return ""
}

func (e *engine) wants() string {
	if e.goal != nil {
		return e.goal.model
	}
	return ""
}

// daemon counts what a daemon has told.
func (cs *census) daemon(p *Planner, d *daemon) {
	for k, n := range d.waiting {
		c := cs.counts[fleet.Key{Service: k.Service, Model: k.Model}]
		if c == nil {
			continue
		}
		if k.Adapter != "" {
			c.waiting += n
		}
		reached := false
		for _, id := range c.engines {
			if d.unreachable[id] {
				cs.unreached[reach{k.Model, id}] = true
			} else {
				reached = true
			}
		}
		if !reached {
			c.unserved += n
			for id := range d.unreachable {
				cs.unreached[reach{k.Model, id}] = true
			}
		}
	}
	for id, running := range d.running {
		for k, n := range running {
			if c := cs.counts[fleet.Key{Service: k.Service, Model: k.Model}]; c != nil {
				c.running += n
				cs.running[use{id, k.Model}] += n
				if k.Adapter != "" {
					cs.inUse[useAdapter{id, k}] = true
				}
			}
		}
	}
}

// adapterRate returns the arrival rate of requests for adapters of the models
// that an engine holds, per copy. While it loads a model it takes no orders for
// adapters.
func (cs *census) adapterRate(e *engine) float64 {
	sum := 0.0
	for mn, h := range e.held {
		k := fleet.Key{Service: e.up.Service, Model: mn}
		if c := cs.counts[k]; c != nil && h.leaving.IsZero() {
			sum += cs.adapterRates[k]
		}
	}
	return sum
}
