package plan

import (
	"math"
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Settings of a Planner. Zero values stand for the defaults.
	Settings struct {
		// StoreAtOnce is the number of loads from the weight store at which
		// a Planner starts; default 4.
		StoreConcurrency float64
		// StoreWindow and StoreOvershoot bound the loads that begin in any
		// window: the store's rate times both; defaults 5 s and 1.
		StoreWindow time.Duration
		// EngineAdapters bounds the adapters on their way to one engine,
		// AllAdapters those to all; defaults 4 and 24.
		MaxEngineAdapterLoads, MaxAdapterLoads int
	}

	// Planner is the state.
	Planner struct {
		set     Settings
		cfg     *fleet.Config
		engines map[string]*engine
		ids     []string
		demands map[fleet.Key]*demand
		daemons map[string]*daemon
		// storeStarts are the times of loads from the store in the window.
		storeStarts []time.Time
		atOnce      float64
		// storeGiven is the time, in seconds, that the weight store has given to
		// each of the loads under way, storeLoads their number since storeLoadsAt.
		storeGiven   float64
		storeLoads   int
		storeLoadsAt time.Time
		// held is since when a model has been kept from the weight store.
		held map[fleet.Key]time.Time
		// began is the time of the first decision.
		began time.Time
		// heardFrom is since when demand has been told without a break, heard
		// when it was told last.
		heardFrom, heard time.Time
		rev              uint64
	}

	// Action is an order for an engine.
	Action struct {
		Engine fleet.Upstream
		Order  fleet.Order
		Reason string
		// Tier and Expected describe a load.
		Tier             Tier
		ExpectedDuration time.Duration
		// Copies, Running, Waiting and Rate are the inputs: of the model, or
		// of the adapter.
		Copies, Running, Waiting int
		Rate                     float64
	}

	// Tier is where the weights of a load come from.
	Tier uint8

	demand struct {
		key fleet.Key
		// rate is the smoothed arrival rate in requests a second, as of at.
		rate    float64
		at      time.Time
		waiting int
	}

	daemon struct {
		at          time.Time
		waiting     map[fleet.Key]int
		running     map[string]map[fleet.Key]int
		unreachable map[string]bool
	}
)

// Tiers, the fastest first.
const (
	Memory Tier = iota
	Disk
	Store
)

const (
	defaultStoreAtOnce    = 4
	mostAtOnce            = 16
	defaultStoreWindow    = 5 * time.Second
	defaultEngineAdapters = 4
	defaultAllAdapters    = 24

	// rateMemory smooths arrival rates: shifts of demand show within it.
	rateMemory = 6 * time.Second
	// daemonMemory is how long the news of a silent daemon counts.
	daemonMemory = 2 * time.Second
	// leastTold is the least time that told demand is taken to cover: in a
	// shorter one, a single request would make a model hot.
	leastTold = 2 * time.Second
	// perCopy is the arrival rate, in requests a second, that one copy takes
	// before prompts queue for it.
	perCopy = 28.0
	// fullShare is the share of an engine's slots that one model may occupy
	// before it gets another copy.
	fullShare = 0.6
	// hotRate is the rate from which a model gets a copy in each failure
	// domain, so that the loss of one doesn't stop it.
	hotRate = 2.5
	// priorRate is added to the rate of each model, in requests a second:
	// models that nobody has asked for lately are asked for some time.
	priorRate = 0.05
	// priorAdapterRate is the same for each of its adapters.
	priorAdapterRate = 0.01
	// spareWorth is what the first copy beyond those for the load is worth,
	// in seconds of delay saved per request: it serves if the others fail.
	spareWorth = 0.06
	// blockedWorth is what a request for an adapter costs whose engine takes
	// no orders, in seconds of delay: other copies take most of them.
	blockedWorth = 0.4
	// horizon is how far ahead arrivals count in the value of a copy.
	horizon = 6.0
	// waitingWorth is what a waiting request counts, in seconds of delay.
	waitingWorth = 3.0
	// queuedWorth is the same for a request whose model is loaded but full.
	queuedWorth = 0.7
	// demandDelay is the time after the first decision in which only models
	// are loaded that are waited for: a new holder doesn't know demand yet.
	demandDelay = 1200 * time.Millisecond
	// reloadOverhead is added to the load time for the unload before it, in
	// seconds.
	reloadOverhead = 0.8
	// mostDomains bounds the failure domains that a hot model is spread over.
	mostDomains = 3
	// mostWanted bounds the models that one decision looks at.
	mostWanted = 24
	// soonLimit is how long a model waits for a busy engine that has its
	// weights, and soonForget when it may wait again.
	soonLimit  = 1500 * time.Millisecond
	soonForget = 8 * time.Second
	// lostLoad is the factor over the stated time from which a load doesn't
	// count against the weight store any more: its engine can't be reached.
	lostLoad = 4
	// evictMargin is by how much a load must be worth more than what makes
	// way for it.
	evictMargin = 1.2
	// minimumStay keeps a copy that has just been loaded.
	minimumStay = 1500 * time.Millisecond
	// announce is the time between the announcement of an unload and its
	// order, so that daemons send no more requests to the copy.
	announce = 60 * time.Millisecond
	// slowLoad is the factor over the stated load time from which the store
	// counts as overcommitted.
	slowLoad = 1.3
	// learnSlack is added to a measured number of loads at once, in shares,
	// for the time that orders and reports take.
	learnSlack = 1.2
)

// String returns the name of t for logs.
func (t Tier) String() string { return [...]string{"memory", "disk", "store"}[t] }

// New returns a Planner that knows nothing.
func New(set Settings) *Planner {
	if set.StoreConcurrency == 0 {
		set.StoreConcurrency = defaultStoreAtOnce
	}
	if set.StoreWindow == 0 {
		set.StoreWindow = defaultStoreWindow
	}
	if set.MaxEngineAdapterLoads == 0 {
		set.MaxEngineAdapterLoads = defaultEngineAdapters
	}
	if set.MaxAdapterLoads == 0 {
		set.MaxAdapterLoads = defaultAllAdapters
	}
	return &Planner{
		set: set, engines: map[string]*engine{}, demands: map[fleet.Key]*demand{},
		daemons: map[string]*daemon{}, held: map[fleet.Key]time.Time{}, atOnce: set.StoreConcurrency,
	}
}

// Configure replaces the configuration.
func (p *Planner) SetConfig(cfg *fleet.Config) { p.cfg = cfg }

// Upstreams replaces the registered upstreams.
func (p *Planner) SetUpstreams(now time.Time, ups []fleet.Upstream) {
	if p.cfg == nil {
		return
	}
	seen := make(map[string]bool, len(ups))
	for _, u := range ups {
		if s, ok := p.cfg.Services[u.Service]; !ok || s.Engine == nil {
			continue
		}
		seen[u.ID] = true
		e := p.engines[u.ID]
		if e == nil || e.up.Born != u.Born {
			e = newEngine(u)
			p.engines[u.ID] = e
			p.touch(e)
		}
		e.register(p, now, u)
	}
	for id := range p.engines {
		if !seen[id] {
			delete(p.engines, id)
		}
	}
	p.ids = p.ids[:0]
	for id := range p.engines {
		p.ids = append(p.ids, id)
	}
	sort.Strings(p.ids)
}

// Hear takes over what a daemon tells.
func (p *Planner) RecordDemand(now time.Time, name string, d fleet.Demand) {
	if now.Sub(p.heard) > rateMemory {
		p.heardFrom = now
	}
	p.heard = now
	for k, n := range d.Arrivals {
		e := p.demand(k)
		e.decay(now)
		e.rate += float64(n) / rateMemory.Seconds()
		if k.Adapter != "" {
			m := p.demand(fleet.Key{Service: k.Service, Model: k.Model})
			m.decay(now)
			m.rate += float64(n) / rateMemory.Seconds()
		}
	}
	s := &daemon{at: now, waiting: d.Waiting, running: d.Running, unreachable: map[string]bool{}}
	for _, id := range d.Unreachable {
		s.unreachable[id] = true
	}
	p.daemons[name] = s
}

func (p *Planner) demand(k fleet.Key) *demand {
	d := p.demands[k]
	if d == nil {
		d = &demand{key: k}
		p.demands[k] = d
	}
	return d
}

// decay brings the smoothed rate to now.
func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 && !d.at.IsZero() {
		d.rate *= math.Exp(-dt.Seconds() / rateMemory.Seconds())
	}
	d.at = now
}

// rate returns an arrival rate. What was told in a time shorter than the memory
// counts as if it had gone on for that long, so that a new holder doesn't take
// hot models for cold ones.
func (p *Planner) rate(now time.Time, d *demand) float64 {
	told := max(now.Sub(p.heardFrom), leastTold)
	return d.rate / (1 - math.Exp(-told.Seconds()/rateMemory.Seconds()))
}

// Unreported returns the engines whose state must be asked for at now.
func (p *Planner) ReportsDue(now time.Time) (out []fleet.Upstream) {
	for _, id := range p.ids {
		if e := p.engines[id]; e.wantsReport(now) {
			out = append(out, e.up)
		}
	}
	return out
}

// Asked records that a report of an engine has been asked for.
func (p *Planner) RecordReportRequest(now time.Time, id string) {
	if e := p.engines[id]; e != nil {
		e.askedAt = now
	}
}

// Report takes a report over that was asked for at asked. A nil report states
// that the engine didn't answer.
func (p *Planner) RecordReport(asked, now time.Time, id string, r *fleet.Report) {
	e := p.engines[id]
	if e != nil && r == nil {
		e.silent++
	} else if e != nil {
		e.silent = 0
	}
	if e == nil || r == nil || r.Born != 0 && e.up.Born != 0 && r.Born != e.up.Born {
		return
	}
	e.report(p, asked, now, r)
}

// Copies returns the engines whose content changed after revision since, and
// the newest revision.
func (p *Planner) CopiesSince(now time.Time, since uint64) (out []fleet.Inventory, rev uint64) {
	for _, id := range p.ids {
		e := p.engines[id]
		e.arrive(p, now)
		if e.rev > since {
			out = append(out, e.copy())
		}
	}
	return out, p.rev
}

// AtOnce returns the number of loads from the weight store at once that has been
// learned, for the next holder.
func (p *Planner) StoreConcurrency() float64 { return p.atOnce }

// Coming returns the model loads under way.
func (p *Planner) LoadsInProgress(now time.Time) (out []fleet.PendingLoad) {
	for _, id := range p.ids {
		e := p.engines[id]
		if e.load != nil {
			k := fleet.Key{Service: e.up.Service, Model: e.load.model}
			out = append(out, fleet.PendingLoad{Key: k, In: max(e.load.eta.Sub(now), 0)})
		}
	}
	return out
}

// touch marks the content of e as changed.
func (p *Planner) touch(e *engine) {
	p.rev++
	e.rev = p.rev
}

// spec returns the description of an engine's service.
func (p *Planner) spec(e *engine) *fleet.Engine {
	if p.cfg == nil {
		return nil
	}
	return p.cfg.Services[e.up.Service].Engine
}
