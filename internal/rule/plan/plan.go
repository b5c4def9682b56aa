package plan

import (
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/alloc"
)

type (
	// Settings of a Planner. A zero field stands for its default.
	Settings struct {
		// StoreConcurrency is the initial limit on concurrent loads from the
		// weight store; by default it follows from how long loads take.
		StoreConcurrency float64
		// StoreWindow is the sliding window over which loads from the weight
		// store are limited to its rate; default 5 s.
		StoreWindow time.Duration
		// MaxEngineAdapterLoads limits the adapter loads in progress on one
		// engine, MaxAdapterLoads those on all engines; defaults 4 and 24.
		MaxEngineAdapterLoads, MaxAdapterLoads int
	}

	// Planner plans the loads and unloads of all engines.
	Planner struct {
		settings Settings
		cfg      *fleet.Config
		engines  map[string]*engine
		// ids are the keys of engines in order, and ordered the engines.
		ids     []string
		ordered []*engine
		demands map[fleet.Key]*demand
		daemons map[string]*daemonState
		// slotTimes are the measured slot times by model, and by service.
		slotTimes map[fleet.Key]slotTime
		// snap is the snapshot of the present decision, and shares the allocation
		// of the offered load of its models to the engines, both by index.
		snap   *snapshot
		shares *alloc.Table
		// firsts is a buffer of typicalFirst.
		firsts []float64
		// limits are the rate limits of engines by ID.
		limits map[string]fleet.RateLimit
		// storeStarts are the times at which the store loads of the current
		// window were ordered.
		storeStarts      []time.Time
		storeConcurrency float64
		// storeCeiling is the concurrency that slow loads have shown last, at
		// storeCeilingAt.
		storeCeiling   float64
		storeCeilingAt time.Time
		// storeProbe is the number of concurrent loads of which it isn't known yet
		// whether they run at full speed, 0 if storeConcurrency is known.
		storeProbe int
		// storeVirtualTime is the cumulative service time, in seconds, that
		// each load in progress has received from the weight store, which
		// divides its capacity evenly. activeStoreLoads is the number of these
		// loads since storeClockAt.
		storeVirtualTime float64
		activeStoreLoads int
		storeClockAt     time.Time
		// storeDeferredSince is when a load from the weight store was first
		// deferred in favour of a busy engine that has the weights.
		storeDeferredSince map[fleet.Key]time.Time
		// firstDecision is the time of the first decision.
		firstDecision time.Time
		// demandSince is the start of the period in which demand has been
		// received without interruption, lastDemand when it was last received.
		demandSince, lastDemand time.Time
		// bias is the start-up bias of smoothed rates after biasPeriod.
		bias       float64
		biasPeriod time.Duration
		// shortages are those of the last decision, shortSince when each model's was
		// last recorded, and obstacles what chooseEngine last met.
		shortages  []Shortage
		shortSince map[fleet.Key]time.Time
		obstacles  obstacles
		// rev is the newest content revision of any engine.
		rev uint64
	}

	// Action is an order for an engine.
	Action struct {
		Engine fleet.Upstream
		Order  fleet.Order
		Reason string
		// Tier and ExpectedDuration describe the load of a model.
		Tier             Tier
		ExpectedDuration time.Duration
		// Copies, Running, Waiting and Rate are the inputs of the decision,
		// for the model or the adapter.
		Copies, Running, Waiting int
		Rate                     float64
	}

	// Tier is where the weights of a load come from.
	Tier uint8

	// demand is the demand for one model or adapter.
	demand struct {
		key fleet.Key
		// rate is the exponentially smoothed arrival rate in requests per
		// second as of at.
		rate    float64
		at      time.Time
		waiting int
		// recent are the last arrivals, and heard counts those since
		// Planner.demandSince.
		recent recentArrivals
		heard  int
	}

	// daemonState is the last demand received from one daemon.
	daemonState struct {
		at time.Time
		// waiting counts the requests that any engine may run, bound those that
		// only engines of one software version may.
		waiting     map[fleet.Key]int
		bound       map[fleet.VersionKey]int
		running     map[string]map[fleet.Key]int
		unreachable map[string]bool
	}
)

// Tiers, from fastest to slowest.
const (
	Memory Tier = iota
	Disk
	Store
)

// String returns the name of t for logs.
func (t Tier) String() string { return [...]string{"memory", "disk", "store"}[t] }

// New returns a Planner without configuration, engines or demand.
func New(set Settings) *Planner {
	if set.StoreWindow == 0 {
		set.StoreWindow = defaultStoreWindow
	}
	if set.MaxEngineAdapterLoads == 0 {
		set.MaxEngineAdapterLoads = defaultMaxEngineAdapterLoads
	}
	if set.MaxAdapterLoads == 0 {
		set.MaxAdapterLoads = defaultMaxAdapterLoads
	}
	return &Planner{
		// 0 is what a daemon that knows none asks for.
		rev: 1, settings: set, engines: map[string]*engine{}, demands: map[fleet.Key]*demand{},
		slotTimes: map[fleet.Key]slotTime{}, shares: alloc.New(), shortSince: map[fleet.Key]time.Time{},
		daemons: map[string]*daemonState{}, storeDeferredSince: map[fleet.Key]time.Time{}, storeConcurrency: set.StoreConcurrency,
	}
}

// SetConfig replaces the configuration.
func (p *Planner) SetConfig(cfg *fleet.Config) {
	p.cfg, p.snap = cfg, nil
	if cfg != nil {
		p.snap = newSnapshot(cfg)
	}
	if p.storeConcurrency == 0 && cfg != nil {
		p.storeConcurrency = initialStoreConcurrency(cfg)
	}
}

// SetUpstreams replaces the registered upstreams.
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
			// What it holds is in the register, which daemons know.
			e = newEngine(u)
			p.engines[u.ID] = e
		}
		e.updateRegistration(p, now, u)
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
	p.ordered = p.ordered[:0]
	for i, id := range p.ids {
		p.engines[id].index = i
		p.ordered = append(p.ordered, p.engines[id])
	}
}

// ReportsDue returns at most limit engines from which a report must be requested at now,
// those first from which one was requested longest ago.
func (p *Planner) ReportsDue(now time.Time, limit int) (out []fleet.Upstream) {
	var due []*engine
	for _, e := range p.ordered {
		if e.reportDue(now) {
			due = append(due, e)
		}
	}
	if len(due) > limit {
		sort.SliceStable(due, func(i, j int) bool { return due[i].reportRequestedAt.Before(due[j].reportRequestedAt) })
		due = due[:max(limit, 0)]
	}
	for _, e := range due {
		out = append(out, e.up)
	}
	return out
}

// RecordReportRequest records that a report was requested from an engine.
func (p *Planner) RecordReportRequest(now time.Time, id string) {
	if e := p.engines[id]; e != nil {
		e.reportRequestedAt = now
	}
}

// RecordReport applies a report that was requested at requestedAt. A nil report
// states that the engine didn't answer.
func (p *Planner) RecordReport(requestedAt, now time.Time, id string, r *fleet.Report) {
	e := p.engines[id]
	if e != nil && r == nil {
		e.unansweredReports++
	} else if e != nil {
		e.unansweredReports = 0
	}
	if e == nil || r == nil || r.Born != 0 && e.up.Born != 0 && r.Born != e.up.Born {
		return
	}
	e.applyReport(p, requestedAt, now, r)
}

// CopiesSince returns the content of the engines that differed after revision since from
// what they had registered or held before, of all engines if since is 0, and the newest
// revision.
func (p *Planner) CopiesSince(now time.Time, since uint64) (out []fleet.Inventory, rev uint64) {
	for _, e := range p.ordered {
		if len(e.adapterLoads) > 0 {
			e.completeAdapterLoads(p, now)
		}
		if since == 0 || e.rev > since {
			out = append(out, e.content())
		}
	}
	return out, p.rev
}

// StoreConcurrency returns the current limit on concurrent loads from the
// weight store, for the next holder.
func (p *Planner) StoreConcurrency() float64 {
	if p.storeProbe > 0 {
		return float64(p.storeProbe) - concurrencyStep
	}
	return p.storeConcurrency
}

// LoadsInProgress returns the model loads in progress.
func (p *Planner) LoadsInProgress(now time.Time) (out []fleet.PendingLoad) {
	for _, e := range p.ordered {
		if e.load != nil {
			k := fleet.Key{Service: e.up.Service, Model: e.load.model}
			out = append(out, fleet.PendingLoad{Key: k, Version: e.up.Version, In: max(e.load.eta.Sub(now), 0)})
		}
	}
	return out
}

// Serving returns the engines that hold a model, or hold one once the orders that were
// sent are carried out.
func (p *Planner) Serving() (ups []fleet.Upstream) {
	for _, id := range p.ids {
		if e := p.engines[id]; len(e.copies) > 0 || e.loadingModel() != "" {
			ups = append(ups, e.up)
		}
	}
	return ups
}

// markChanged gives the content of e a new revision.
func (p *Planner) markChanged(e *engine) {
	p.rev++
	e.rev = p.rev
}

// spec returns the engine description of e's service, nil without a
// configuration.
func (p *Planner) spec(e *engine) *fleet.Engine {
	if p.cfg == nil {
		return nil
	}
	return p.cfg.Services[e.up.Service].Engine
}
