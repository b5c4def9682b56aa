package plan

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// addBound counts the demand of a daemon that only engines of one software version can
// serve.
func (snap *snapshot) addBound(now time.Time, p *Planner, d *daemonState) {
	for k, n := range d.bound {
		model := fleet.VersionKey{Key: fleet.Key{Service: k.Service, Model: k.Model}, Version: k.Version}
		c := snap.counts[model.Key]
		if c == nil {
			continue
		}
		serves := func(e *engine) bool {
			return e.up.Version == k.Version && !d.unreachable[e.up.ID] && !snap.lost[e.up.ID]
		}
		snap.bound[model] += n
		holds := func(id string) bool {
			e := p.engines[id]
			return serves(e) && (e.copies[k.Model] != nil || !p.slowLoad(now, e, &modelCount{key: c.key, model: c.model, version: &k.Version}))
		}
		if slices.ContainsFunc(c.engines, holds) {
			c.waiting += n
		} else {
			snap.unservedBound[model] += n
		}
		if k.Adapter == "" {
			continue
		}
		snap.boundAdapters[k] += n
		if !slices.ContainsFunc(snap.adapters[k.Key], serves) {
			snap.unservedAdapters[k] += n
		}
	}
}

// slowLoad reports whether the load of a model on an engine ends later than one on an idle
// engine that has the weights.
func (p *Planner) slowLoad(now time.Time, e *engine, c *modelCount) bool {
	if e.load == nil || e.load.model != c.key.Model || e.load.eta.Sub(now) < slowLoadMargin*c.model.DiskLoadTime {
		return false
	}
	return slices.ContainsFunc(p.ids, func(id string) bool {
		o := p.engines[id]
		return c.mayUse(o) && o.tier(c.key.Model) != Store && o.idle() && o.planned == nil
	})
}

// awaitsSlowLoad reports whether requests wait for a model of which there is no copy and
// whose loads in progress are all slow.
func (p *Planner) awaitsSlowLoad(now time.Time, c *modelCount) bool {
	return c.waiting > 0 && c.unserved == 0 && c.copies == 0 && c.pendingCopies > 0 &&
		!slices.ContainsFunc(c.engines, func(id string) bool {
			return p.engines[id].copies[c.key.Model] == nil && !p.slowLoad(now, p.engines[id], c)
		})
}

// boundTo returns the state of a model for requests that wait for a copy at a software
// version, any if that is nil, at which there is none.
func (c *modelCount) boundTo(p *Planner, version *string, waiting int) *modelCount {
	b := &modelCount{
		key: c.key, version: version, model: c.model, spec: c.spec, waiting: waiting, unserved: waiting,
		domains: c.domains, shortestLoad: c.shortestLoad, targetDomains: c.targetDomains,
	}
	for _, id := range c.engines {
		e := p.engines[id]
		b.atHandOnly = b.atHandOnly || b.mayUse(e) && e.load != nil && e.load.model == c.key.Model
	}
	for _, e := range p.engines {
		if b.mayUse(e) && e.onDisk[c.key.Model] && e.planned == nil && e.idle() {
			b.localEngines++
		}
	}
	return b
}

// mayUse reports whether a copy on e would serve the waiting requests.
func (c *modelCount) mayUse(e *engine) bool {
	return e.up.Service == c.key.Service && (c.version == nil || e.up.Version == *c.version)
}
