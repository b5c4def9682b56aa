package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// snapshot is the state of all engines and the demand of all daemons as of
	// one decision.
	snapshot struct {
		// counts are all models by key, and models by index.
		counts map[fleet.Key]*modelCount
		models []*modelCount
		// reserved is the memory, in MB, that is kept for adapters, by service.
		reserved map[*fleet.Engine]float64
		// running counts the requests in progress by engine and model.
		running map[runningKey]int
		// adapters lists the engines on which each adapter is loaded or being
		// loaded.
		adapters map[fleet.Key][]*engine
		// inUse contains the adapters that requests in progress use.
		inUse map[adapterUseKey]bool
		// adapterRates are the arrival rates of adapter requests by model.
		adapterRates map[fleet.Key]float64
		// unreachable contains the engines that a daemon with waiting requests
		// for the model can't reach.
		unreachable map[unreachableKey]bool
		// partial are the daemons that can't reach all engines.
		partial []*daemonState
		// lost contains the engines that several daemons can't reach and none uses.
		lost map[string]bool
		// bound counts the waiting requests by the model that only engines of one
		// software version may serve them with, boundAdapters those for adapters.
		// unservedBound and unservedAdapters are those of them that no engine can.
		bound, boundAdapters, unservedBound, unservedAdapters map[fleet.VersionKey]int
		// typicalFirst is that of the last service, and priorRate the arrival rate, in
		// requests per second, that is assumed of a model which hasn't been heard of.
		typicalFirst, priorRate float64
	}

	runningKey     struct{ engine, model string }
	unreachableKey struct{ model, engine string }
	adapterUseKey  struct {
		engine string
		key    fleet.Key
	}

	// modelCount is the state of one model over all engines.
	modelCount struct {
		key fleet.Key
		// version is the only software version of the engines that may serve the
		// waiting requests, nil for the state over all engines. atHandOnly is set if a
		// load from the weight store is in progress there already.
		version    *string
		atHandOnly bool
		model      fleet.Model
		spec       *fleet.Engine
		copies     int
		// pendingCopies are being loaded, ordered, or waiting for room.
		pendingCopies int
		running       int
		waiting       int
		// unserved is the number of waiting requests that no reachable copy
		// can serve.
		unserved int
		rate     float64
		// index is that of the model in snapshot.models. measured is set if slotSeconds,
		// the mean time for which a request occupies a slot, is known. Then shortage is
		// the part of the offered load, in slots, that isn't served in time, and relief
		// the load, also of other models, that one more copy from a disk would serve.
		index            int
		measured         bool
		slotSeconds      float64
		shortage, relief float64
		// holders are the indices of the engines that serve the model now or soon, and
		// slowPending is the number of pending copies that serve later.
		holders     []int
		slowPending int
		// domains counts the copies and pending copies by failure domain.
		domains map[string]int
		// engines that have a copy or a pending copy.
		engines []string
		// shortestLoad is the shortest load time on any engine.
		shortestLoad time.Duration
		// gain is the value of one more copy on the best engine, and baseGain that part of
		// it which doesn't depend on the engine.
		gain, baseGain float64
		// localEngines is the number of idle engines that have the weights on
		// disk, and local are their indices.
		localEngines int
		local        []int
		// elsewhere is the number of engines, idle or not, that have the weights
		// on disk and no copy.
		elsewhere int
		// targetDomains is the number of failure domains that have engines of
		// the service, at most maxSpreadDomains.
		targetDomains int
	}
)

// newSnapshot returns an empty snapshot for the models of a configuration.
func newSnapshot(cfg *fleet.Config) *snapshot {
	snap := &snapshot{
		counts: map[fleet.Key]*modelCount{}, running: map[runningKey]int{}, adapters: map[fleet.Key][]*engine{},
		inUse: map[adapterUseKey]bool{}, adapterRates: map[fleet.Key]float64{}, unreachable: map[unreachableKey]bool{},
		bound: map[fleet.VersionKey]int{}, boundAdapters: map[fleet.VersionKey]int{}, unservedBound: map[fleet.VersionKey]int{}, unservedAdapters: map[fleet.VersionKey]int{},
		reserved: map[*fleet.Engine]float64{},
	}
	for name, s := range cfg.Services {
		if s.Engine == nil {
			continue
		}
		largest := 0.0
		for mn, m := range s.Engine.Models {
			c := &modelCount{key: fleet.Key{Service: name, Model: mn}, model: m, spec: s.Engine, domains: map[string]int{}}
			snap.counts[c.key] = c
			snap.models = append(snap.models, c)
			if len(m.Adapters) > 0 {
				largest = max(largest, m.AdapterMB)
			}
		}
		snap.reserved[s.Engine] = largest * float64(s.Engine.MaxAdapters)
	}
	slices.SortFunc(snap.models, func(a, b *modelCount) int {
		return cmp.Or(cmp.Compare(a.key.Service, b.key.Service), cmp.Compare(a.key.Model, b.key.Model))
	})
	for i, c := range snap.models {
		c.index = i
	}
	return snap
}

// reset empties a snapshot but for its buffers.
func (snap *snapshot) reset() {
	clear(snap.running)
	clear(snap.inUse)
	clear(snap.adapterRates)
	clear(snap.unreachable)
	clear(snap.bound)
	clear(snap.boundAdapters)
	clear(snap.unservedBound)
	clear(snap.unservedAdapters)
	for k, at := range snap.adapters {
		snap.adapters[k] = at[:0]
	}
	for _, c := range snap.models {
		clear(c.domains)
		*c = modelCount{
			key: c.key, model: c.model, spec: c.spec, index: c.index, shortestLoad: c.model.StoreLoadTime,
			domains: c.domains, engines: c.engines[:0], holders: c.holders[:0], local: c.local[:0],
		}
	}
}

// takeSnapshot counts copies and demand at now. The snapshot is valid until the next call.
func (p *Planner) takeSnapshot(now time.Time) *snapshot {
	snap := p.snap
	snap.reset()
	snap.lost = p.lostEngines()
	snap.partial = snap.partial[:0]
	for _, d := range p.daemons {
		if len(d.unreachable) > 0 {
			snap.partial = append(snap.partial, d)
		}
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
	for _, c := range snap.models {
		c.targetDomains = min(len(domains[c.key.Service]), maxSpreadDomains)
		if d := p.demands[c.key]; d != nil {
			c.rate, c.waiting = p.arrivalRate(now, d), d.waiting
		}
	}
	for k, d := range p.demands {
		if k.Adapter != "" {
			snap.adapterRates[fleet.Key{Service: k.Service, Model: k.Model}] += p.arrivalRate(now, d)
		}
	}
	for _, id := range p.ids {
		if e := p.engines[id]; !e.up.Leaving {
			snap.addEngine(now, p, e)
		}
	}
	p.allocate(now, snap)
	for _, d := range p.daemons {
		snap.addDaemon(now, p, d)
	}
	return snap
}

// lostEngines returns the engines that at least lostReports daemons can't reach and on which
// no daemon has requests. The register lists them until they have been silent for some
// seconds.
func (p *Planner) lostEngines() map[string]bool {
	reports := map[string]int{}
	for _, d := range p.daemons {
		for id := range d.unreachable {
			reports[id]++
		}
	}
	lost := map[string]bool{}
	for id, n := range reports {
		if n >= lostReports {
			lost[id] = true
		}
	}
	for _, d := range p.daemons {
		for id := range lost {
			if len(d.running[id]) > 0 {
				delete(lost, id)
			}
		}
	}
	return lost
}

// addEngine counts the content of an engine and the loads that will change it. A copy
// doesn't count if the engine's rate limit keeps it from serving the model.
func (snap *snapshot) addEngine(now time.Time, p *Planner, e *engine) {
	key := func(model string) fleet.Key { return fleet.Key{Service: e.up.Service, Model: model} }
	for mn, h := range e.copies {
		c := snap.counts[key(mn)]
		if c == nil || !h.unloadAnnouncedAt.IsZero() {
			continue
		}
		if p.serves(e, c) && !snap.lost[e.up.ID] {
			c.copies++
			c.holders = append(c.holders, e.index)
		}
		c.addEngine(e)
		for a := range h.adapters {
			k := fleet.Key{Service: e.up.Service, Model: mn, Adapter: a}
			snap.adapters[k] = append(snap.adapters[k], e)
		}
	}
	for k := range e.adapterLoads {
		snap.adapters[k] = append(snap.adapters[k], e)
	}
	if o := e.inFlight; o != nil && !o.Unload && o.Adapter != "" {
		k := fleet.Key{Service: e.up.Service, Model: o.Model, Adapter: o.Adapter}
		snap.adapters[k] = append(snap.adapters[k], e)
	}
	free := e.planned == nil && e.idle()
	for _, c := range e.modelsOnDisk(snap) {
		c.shortestLoad = min(c.shortestLoad, c.model.DiskLoadTime)
		if e.copies[c.key.Model] != nil {
			continue
		}
		c.elsewhere++
		if free {
			c.localEngines++
			c.local = append(c.local, e.index)
		}
	}
	for _, mn := range []string{e.loadingModel(), e.plannedModel()} {
		if c := snap.counts[key(mn)]; c != nil {
			if p.serves(e, c) && !snap.lost[e.up.ID] {
				c.pendingCopies++
				if p.servesSoon(now, e, mn) {
					c.holders = append(c.holders, e.index)
				} else {
					c.slowPending++
				}
			}
			c.addEngine(e)
		}
	}
}

// modelsOnDisk returns the models of the configuration whose weights are on the engine's disk.
func (e *engine) modelsOnDisk(snap *snapshot) []*modelCount {
	if e.diskOf == snap {
		return e.diskModels
	}
	e.diskOf, e.diskModels = snap, e.diskModels[:0]
	for mn := range e.onDisk {
		if c := snap.counts[fleet.Key{Service: e.up.Service, Model: mn}]; c != nil {
			e.diskModels = append(e.diskModels, c)
		}
	}
	return e.diskModels
}

// addEngine records that e has a copy or a pending copy of the model.
func (c *modelCount) addEngine(e *engine) {
	c.domains[e.up.FailureDomain]++
	c.engines = append(c.engines, e.up.ID)
}

// loadingModel returns the model that is being loaded or whose load has been
// ordered, empty if there is none.
func (e *engine) loadingModel() string {
	switch {
	case e.load != nil:
		return e.load.model
	case e.inFlight != nil && !e.inFlight.Unload && e.inFlight.Adapter == "":
		return e.inFlight.Model
	case e.unconfirmed != nil && !e.unconfirmed.Unload && e.unconfirmed.Adapter == "":
		return e.unconfirmed.Model
	}
	return ""
}

// plannedModel returns the model whose load waits for room, empty if there is
// none.
func (e *engine) plannedModel() string {
	if e.planned != nil {
		return e.planned.model
	}
	return ""
}

// addDaemon counts the demand of a daemon.
func (snap *snapshot) addDaemon(now time.Time, p *Planner, d *daemonState) {
	for k, n := range d.waiting {
		c := snap.counts[fleet.Key{Service: k.Service, Model: k.Model}]
		if c == nil {
			continue
		}
		if k.Adapter != "" {
			c.waiting += n
		}
		reached := false
		for _, id := range c.engines {
			if d.unreachable[id] {
				snap.unreachable[unreachableKey{k.Model, id}] = true
			} else {
				reached = true
			}
		}
		if !reached {
			c.unserved += n
			for id := range d.unreachable {
				snap.unreachable[unreachableKey{k.Model, id}] = true
			}
		}
	}
	snap.addBound(now, p, d)
	for id, running := range d.running {
		for k, n := range running {
			if c := snap.counts[fleet.Key{Service: k.Service, Model: k.Model}]; c != nil {
				c.running += n
				snap.running[runningKey{id, k.Model}] += n
				if k.Adapter != "" {
					snap.inUse[adapterUseKey{id, k}] = true
				}
			}
		}
	}
}

// requestsAt returns the number of requests in progress on an engine.
func (snap *snapshot) requestsAt(e *engine) (n int) {
	for m := range e.copies {
		n += snap.running[runningKey{e.up.ID, m}]
	}
	return n
}

// heldAdapterRate returns the arrival rate of adapter requests for the models
// that an engine holds. While the engine loads a model it accepts no adapter
// orders, so these requests are delayed.
func (snap *snapshot) heldAdapterRate(e *engine) float64 {
	sum := 0.0
	for mn, h := range e.copies {
		k := fleet.Key{Service: e.up.Service, Model: mn}
		if c := snap.counts[k]; c != nil && h.unloadAnnouncedAt.IsZero() {
			sum += snap.adapterRates[k]
		}
	}
	return sum
}
