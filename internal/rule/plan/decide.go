package plan

import (
	"math"
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// Decide returns the orders to send at now. The caller reports each one's
// outcome to Ordered.
func (p *Planner) Decide(now time.Time) (out []Action) {
	if p.cfg == nil {
		return nil
	}
	if p.began.IsZero() {
		p.began = now
	}
	p.forget(now)
	p.accountStore(now)
	for _, id := range p.ids {
		e := p.engines[id]
		e.arrive(p, now)
		if a, ok := p.repeat(now, e); ok {
			out = append(out, a)
		}
	}
	cs := p.census(now)
	out = p.adapters(now, cs, out)
	out = p.proceed(now, cs, out)
	return p.models(now, cs, out)
}

// forget drops daemons that are silent, and the rates that have faded.
func (p *Planner) forget(now time.Time) {
	for name, d := range p.daemons {
		if now.Sub(d.at) > daemonMemory {
			delete(p.daemons, name)
		}
	}
	for k, d := range p.demands {
		d.decay(now)
		d.waiting = 0
		if d.rate < 0.005 {
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
	for i < len(p.storeStarts) && now.Sub(p.storeStarts[i]) > p.set.StoreWindow {
		i++
	}
	p.storeStarts = p.storeStarts[i:]
}

// repeat sends an order again whose reply was lost: it either takes effect now
// or shows that the first one did.
func (p *Planner) repeat(now time.Time, e *engine) (Action, bool) {
	if e.doubt == nil || e.sent != nil || now.Sub(e.doubtAt) < retryDoubt*time.Duration(1+min(e.doubtTries, 5)) {
		return Action{}, false
	}
	e.doubtTries++
	o := *e.doubt
	tier := e.tier(o.Model)
	a := Action{Engine: e.up, Order: o, Reason: "no-reply", Tier: tier}
	if !o.Unload && o.Adapter == "" {
		a.ExpectedDuration = p.duration(e, o.Model, tier)
		if tier == Store && !p.storeRoom(now, true) {
			return Action{}, false
		}
		if tier == Store {
			p.storeStarts = append(p.storeStarts, now)
		}
	}
	e.sent = &o
	return a, true
}

// proceed sends the orders of goals that have been decided: announced unloads,
// then the load that they make room for.
func (p *Planner) proceed(now time.Time, cs *census, out []Action) []Action {
	for _, id := range p.ids {
		e := p.engines[id]
		if e.goal == nil {
			continue
		}
		if now.Sub(e.goal.since) > goalLife || e.up.Leaving || e.held[e.goal.model] != nil {
			p.abandon(e)
			continue
		}
		if !e.idle() {
			continue
		}
		if victim, at := e.announced(); victim != "" {
			if now.Sub(at) >= announce {
				out = append(out, p.order(now, e, fleet.Order{Unload: true, Model: victim}, "make-room"))
			}
			continue
		}
		spec, c := p.spec(e), cs.counts[fleet.Key{Service: e.up.Service, Model: e.goal.model}]
		if c == nil || p.room(e, spec) < c.model.WeightMB {
			p.abandon(e)
			continue
		}
		model, since := e.goal.model, e.goal.since
		e.goal = nil
		if e.tier(model) == Store && !p.storeRoom(now, true) {
			e.goal = &goal{model: model, since: since}
			continue
		}
		out = append(out, p.order(now, e, fleet.Order{Model: model}, "wanted").with(c))
	}
	return out
}

// abandon gives a goal up and takes the announcements back.
func (p *Planner) abandon(e *engine) {
	e.goal = nil
	for _, h := range e.held {
		if !h.leaving.IsZero() {
			h.leaving = time.Time{}
			p.touch(e)
		}
	}
}

// announced returns a model whose unload has been announced, and when.
func (e *engine) announced() (string, time.Time) {
	best, at := "", time.Time{}
	for name, h := range e.held {
		if !h.leaving.IsZero() && (best == "" || name < best) {
			best, at = name, h.leaving
		}
	}
	return best, at
}

// room returns the memory for weights that isn't taken, in MB. Places for
// adapters are kept free at their largest size.
func (p *Planner) room(e *engine, spec *fleet.Engine) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		if len(m.Adapters) > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	free := spec.MemoryMB - largest*float64(spec.MaxAdapters)
	for name := range e.held {
		free -= spec.Models[name].WeightMB
	}
	if e.load != nil && e.held[e.load.model] == nil {
		free -= spec.Models[e.load.model].WeightMB
	}
	return free
}

// models starts loads of models.
func (p *Planner) models(now time.Time, cs *census, out []Action) []Action {
	wanted := make([]*count, 0, len(cs.counts))
	for _, c := range cs.counts {
		if c.unserved > 0 || c.copies+c.coming < max(p.want(c), 1) {
			c.gain = p.gain(c)
			wanted = append(wanted, c)
		}
	}
	sort.Slice(wanted, func(i, j int) bool {
		a, b := wanted[i], wanted[j]
		return a.gain > b.gain || a.gain == b.gain && a.key.Model < b.key.Model
	})
	store, looked := p.storeRoom(now, true), 0
	for _, c := range wanted {
		if looked == mostWanted {
			break
		}
		if c.atHand == 0 && !store {
			// Nothing can be done for it; others must not wait behind it.
			continue
		}
		if !c.urgent(p) && now.Sub(p.began) < demandDelay {
			continue
		}
		looked++
		best, victims := p.choose(now, c, cs)
		if best == nil {
			continue
		}
		store = p.storeRoom(now, true)
		if len(victims) == 0 {
			out = append(out, p.order(now, best, fleet.Order{Model: c.key.Model}, reason(c)).with(c))
		} else {
			best.goal = &goal{model: c.key.Model, since: now}
			for _, v := range victims {
				best.held[v].leaving = now
				if vc := cs.counts[fleet.Key{Service: c.key.Service, Model: v}]; vc != nil {
					vc.copies--
				}
			}
			p.touch(best)
		}
		c.coming++
	}
	return out
}

// urgent reports whether the model is waited for or has too few copies for its
// load.
func (c *count) urgent(p *Planner) bool {
	return c.unserved > 0 || c.copies+c.coming < p.needed(c)
}

// busy reports whether there is demand.
func (p *Planner) busy() bool { return len(p.demands) > 0 }

func reason(c *count) string {
	switch {
	case c.unserved > 0:
		return "waited-for"
	case c.copies+c.coming > 0:
		return "further-copy"
	}
	return "first-copy"
}

// choose returns the engine for a copy and the models that make way there, nil
// if no engine is worth it.
func (p *Planner) choose(now time.Time, c *count, cs *census) (best *engine, victims []string) {
	lowest := math.Inf(1)
	store := p.storeRoom(now, c.urgent(p)) && !p.soonFree(now, c)
	for _, id := range p.ids {
		e := p.engines[id]
		if e.up.Service != c.key.Service || !e.idle() || e.goal != nil || e.held[c.key.Model] != nil {
			continue
		}
		if c.unserved > 0 && c.copies+c.coming > 0 && cs.unreached[reach{c.key.Model, id}] {
			continue
		}
		tier := e.tier(c.key.Model)
		if tier == Store && !store {
			continue
		}
		vs, loss := p.evict(now, e, c, cs)
		if loss > 0 && loss*evictMargin >= c.gain {
			continue
		}
		takes := p.duration(e, c.key.Model, tier).Seconds()
		cost := loss + takes*(0.2+c.rate+float64(c.unserved)) + takes*blockedWorth*cs.adapterRate(e) +
			0.3*float64(c.domains[e.up.FailureDomain])*max(c.rate, 0.1) + 0.002*p.room(e, c.spec)/1000
		if cost < lowest {
			best, victims, lowest = e, vs, cost
		}
	}
	return best, victims
}

// soonFree reports whether an engine that has the weights at hand is busy with
// something short, so that waiting for it is faster than the weight store. It
// says so for soonLimit at the most: an engine that is always busy is no help.
func (p *Planner) soonFree(now time.Time, c *count) bool {
	if at, ok := p.held[c.key]; ok && now.Sub(at) > soonLimit {
		if now.Sub(at) > soonLimit+soonForget {
			delete(p.held, c.key)
		}
		return false
	}
	for _, id := range p.ids {
		e := p.engines[id]
		if e.up.Service != c.key.Service || e.up.Leaving || !e.known || e.tier(c.key.Model) == Store || e.held[c.key.Model] != nil {
			continue
		}
		if e.load != nil && e.load.tier != Store || e.unload != nil || e.sent != nil {
			if _, ok := p.held[c.key]; !ok {
				p.held[c.key] = now
			}
			return true
		}
	}
	return false
}

// evict returns the models that make room for c on e, and what they lose. The
// loss is infinite if there is no room to be made.
func (p *Planner) evict(now time.Time, e *engine, c *count, cs *census) (victims []string, loss float64) {
	free := p.room(e, c.spec)
	if free >= c.model.WeightMB {
		return nil, 0
	}
	type candidate struct {
		name string
		loss float64
		mb   float64
	}
	var all []candidate
	for name, h := range e.held {
		if now.Sub(h.since) < minimumStay {
			continue
		}
		all = append(all, candidate{name, p.loss(e, name, cs), c.spec.Models[name].WeightMB})
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].loss < all[j].loss || all[i].loss == all[j].loss && all[i].name < all[j].name
	})
	// A single model that makes enough room may lose less than several.
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
		return nil, math.Inf(1)
	}
	if single <= sum {
		return victims, max(single, 0.01)
	}
	return several, max(sum, 0.01)
}
