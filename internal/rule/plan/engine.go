package plan

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// engine is the state of one incarnation of an engine.
	engine struct {
		up fleet.Upstream
		// index is the position among all engines.
		index int
		// reported is set once a report has been applied.
		reported bool
		// orders is the number of orders that the engine has accepted.
		orders int64
		// rev is the revision of the last change of content.
		rev    uint64
		copies map[string]*modelCopy
		// load and unload are in progress, nil if there is none.
		load   *loadInProgress
		unload *unloadInProgress
		// adapterLoads are the adapter loads in progress with their expected
		// ends.
		adapterLoads map[fleet.Key]time.Time
		// planned is a load that waits until unloads have made room.
		planned *plannedLoad
		// inFlight is the order that awaits its reply, unconfirmed the one
		// whose reply was lost.
		inFlight    *fleet.Order
		unconfirmed *unconfirmedOrder
		// unreportedOrders counts the orders since the last report that the
		// engine didn't accept.
		unreportedOrders  int
		needsReport       bool
		reportRequestedAt time.Time
		// unansweredReports counts the report requests without an answer since
		// the last report.
		unansweredReports int
		changedAt         time.Time
		inMemory, onDisk  map[string]bool
		// diskModels are the models in onDisk for the snapshot diskOf, nil if
		// onDisk has changed since.
		diskModels []*modelCount
		diskOf     *snapshot
	}

	// modelCopy is a loaded copy of a model.
	modelCopy struct {
		version  int64
		since    time.Time
		adapters map[string]*adapter
		// unloadAnnouncedAt is zero if no unload was announced.
		unloadAnnouncedAt time.Time
	}

	// adapter is a loaded adapter.
	adapter struct{ since time.Time }

	// loadInProgress is a model load that the engine has accepted.
	loadInProgress struct {
		model     string
		tier      Tier
		startedAt time.Time
		eta       time.Time
		expected  time.Duration
		// startVirtualTime is Planner.storeVirtualTime at startedAt.
		startVirtualTime float64
		// probed is the time for which as many loads were in progress as
		// Planner.storeProbe.
		probed time.Duration
	}

	// unloadInProgress is an unload that the engine has accepted. model is
	// empty for a change that another holder ordered.
	unloadInProgress struct {
		model     string
		startedAt time.Time
	}

	// plannedLoad is a model load that waits for evictions.
	plannedLoad struct {
		model string
		since time.Time
	}
)

const (
	// maxReportAge is how old the content of a report may be.
	maxReportAge = 150 * time.Millisecond
	// reportInterval is the least time between two report requests,
	// lateReportInterval the one while a load or unload takes longer than
	// expected.
	reportInterval     = 120 * time.Millisecond
	lateReportInterval = 300 * time.Millisecond
	// maxReportBackoff limits how often reportInterval is doubled for an engine
	// that doesn't answer.
	maxReportBackoff = 3
	// maxPlannedTime limits how long memory is reserved for a planned load.
	maxPlannedTime = 8 * time.Second
	// adapterLoadTime is the time after which an ordered adapter counts as
	// loaded, as long as at most adapterLoadsAtFullSpeed loads are in progress.
	adapterLoadTime         = 14 * time.Millisecond
	adapterLoadsAtFullSpeed = 16
	// lateLoadFactor is the multiple of the expected duration after which
	// reports on a load are requested at lateReportInterval.
	lateLoadFactor = 3
)

// newEngine returns an engine with the content that it registered. It gets
// orders only after its first report.
func newEngine(u fleet.Upstream) *engine {
	e := &engine{
		up: u, copies: map[string]*modelCopy{}, adapterLoads: map[fleet.Key]time.Time{},
		inMemory: set(u.Holding.InMemory), onDisk: set(u.Holding.OnDisk), needsReport: true,
	}
	for _, m := range u.Holding.Models {
		h := &modelCopy{version: m.Version, adapters: map[string]*adapter{}}
		for _, a := range m.Adapters {
			h.adapters[a] = &adapter{}
		}
		e.copies[m.Model] = h
	}
	return e
}

// updateRegistration applies the engine's entry in the register, which shows
// the end of a load, or that an order without reply is done or void, sooner than a
// report, which must be requested.
func (e *engine) updateRegistration(p *Planner, now time.Time, u fleet.Upstream) {
	e.up = u
	if !e.reported || u.Holding.Orders < e.orders {
		return
	}
	if e.inFlight == nil && e.confirm(u.Holding.Orders) {
		e.orders, e.needsReport = u.Holding.Orders, true
	}
	if e.load != nil && slices.ContainsFunc(u.Holding.Models, func(h fleet.LoadedModel) bool { return h.Model == e.load.model }) {
		e.finishLoad(p, now)
	}
}

// applyReport applies a report that was requested at requestedAt.
func (e *engine) applyReport(p *Planner, requestedAt, now time.Time, r *fleet.Report) {
	if e.inFlight != nil {
		// The reply to the order is authoritative; the report may predate it.
		return
	}
	h := r.Holding
	stale := requestedAt.Before(e.changedAt.Add(maxReportAge)) && e.reported
	if h.Orders < e.orders && stale {
		e.needsReport = true
		return
	}
	e.unreportedOrders = 0
	e.confirm(h.Orders)
	e.orders = h.Orders
	e.inMemory, e.onDisk, e.diskOf = set(h.InMemory), set(h.OnDisk), nil
	if stale {
		// The order count is current, but the content may be older.
		e.needsReport = true
		return
	}
	e.needsReport = false
	if e.unconfirmed != nil && !r.Changing {
		e.unconfirmed.conflict = false
	}
	held, rev := e.content().Held, e.rev
	copies := make(map[string]*modelCopy, len(h.Models))
	for _, m := range h.Models {
		o := e.copies[m.Model]
		if o == nil {
			o = &modelCopy{adapters: map[string]*adapter{}}
			if e.reported {
				o.since = now
			}
		}
		o.version = m.Version
		have := set(m.Adapters)
		for a := range o.adapters {
			if !have[a] {
				delete(o.adapters, a)
			}
		}
		for a := range have {
			if o.adapters[a] == nil {
				o.adapters[a] = &adapter{since: now}
			}
		}
		copies[m.Model] = o
	}
	e.copies = copies
	for k := range e.adapterLoads {
		if !slices.Contains(r.Pending, fleet.ModelName(k.Model, k.Adapter)) {
			delete(e.adapterLoads, k)
		}
	}
	for _, name := range r.Pending {
		m, a, _ := strings.Cut(name, "/")
		k := fleet.Key{Service: e.up.Service, Model: m, Adapter: a}
		if _, ok := e.adapterLoads[k]; !ok {
			e.adapterLoads[k] = now.Add(adapterLoadTime)
		}
	}
	e.reconcileChanges(p, now, r.Changing)
	e.reported = true
	if e.rev == rev && !slices.EqualFunc(held, e.content().Held, sameContent) {
		p.markChanged(e)
	}
}

// sameContent reports whether two copies of a model are the same to those that use them.
func sameContent(a, b fleet.LoadedModel) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// reconcileChanges ends the load and unload that the report shows as finished.
func (e *engine) reconcileChanges(p *Planner, now time.Time, changing bool) {
	if e.load != nil {
		if e.copies[e.load.model] != nil {
			e.finishLoad(p, now)
		} else if !changing {
			e.load = nil // the load failed or its order was void
		}
	} else if changing && e.unload == nil {
		// An order of another holder, with unknown content, is in progress.
		e.needsReport = true
		e.unload = &unloadInProgress{startedAt: now}
	}
	if e.unload != nil && !changing && (e.unload.model == "" || e.copies[e.unload.model] == nil) {
		e.unload = nil
	} else if e.unload != nil && !changing {
		e.unload = nil
	}
}

// finishLoad ends the load in progress with success.
func (e *engine) finishLoad(p *Planner, now time.Time) {
	p.advanceStoreClock(now)
	l := e.load
	e.load = nil
	e.inMemory[l.model], e.onDisk[l.model], e.diskOf = true, true, nil
	if e.copies[l.model] == nil {
		e.copies[l.model] = &modelCopy{since: now, adapters: map[string]*adapter{}}
	}
	if l.tier == Store {
		p.adjustStoreConcurrency(now, l)
	}
	p.markChanged(e)
}

// completeAdapterLoads counts adapters as loaded whose expected end has passed.
func (e *engine) completeAdapterLoads(p *Planner, now time.Time) {
	for k, at := range e.adapterLoads {
		if now.Before(at) {
			continue
		}
		delete(e.adapterLoads, k)
		if h := e.copies[k.Model]; h != nil && h.adapters[k.Adapter] == nil {
			h.adapters[k.Adapter] = &adapter{since: now}
			p.markChanged(e)
		}
	}
}

// reportDue reports whether a report must be requested at now.
func (e *engine) reportDue(now time.Time) bool {
	if e.up.Leaving || e.inFlight != nil || now.Sub(e.reportRequestedAt) < reportInterval<<min(e.unansweredReports, maxReportBackoff) {
		return false
	}
	if e.needsReport {
		return now.Sub(e.reportRequestedAt) >= lateReportInterval || now.Sub(e.changedAt) >= maxReportAge
	}
	switch {
	case e.load != nil:
		late := now.Sub(e.load.startedAt) > lateLoadFactor*e.load.expected
		return !now.Before(e.load.eta) && (!late || now.Sub(e.reportRequestedAt) >= lateReportInterval)
	case e.unload != nil:
		return now.Sub(e.unload.startedAt) >= maxReportAge
	}
	return e.unconfirmed != nil && now.Sub(e.reportRequestedAt) >= lateReportInterval
}

// idle reports whether a load or unload of a model may be ordered.
func (e *engine) idle() bool {
	return e.available() && e.load == nil && e.unload == nil
}

// available reports whether an order of any kind may be sent.
func (e *engine) available() bool {
	return e.reported && !e.up.Leaving && e.inFlight == nil && e.unconfirmed == nil && !e.needsReport
}

// tier returns the fastest tier from which the engine can load a model.
func (e *engine) tier(model string) Tier {
	switch {
	case e.inMemory[model]:
		return Memory
	case e.onDisk[model]:
		return Disk
	}
	return Store
}

// content returns the models that daemons may use, without those whose unload
// has been announced.
func (e *engine) content() fleet.Inventory {
	c := fleet.Inventory{ID: e.up.ID, Born: e.up.Born, Rev: e.rev}
	for name, h := range e.copies {
		if !h.unloadAnnouncedAt.IsZero() {
			continue
		}
		f := fleet.LoadedModel{Model: name, Version: h.version}
		for a := range h.adapters {
			f.Adapters = append(f.Adapters, a)
		}
		sort.Strings(f.Adapters)
		c.Held = append(c.Held, f)
	}
	sort.Slice(c.Held, func(i, j int) bool { return c.Held[i].Model < c.Held[j].Model })
	return c
}

// adapterSlotsUsed returns the number of adapter slots taken, including those
// of loads in progress.
func (e *engine) adapterSlotsUsed() int {
	n := len(e.adapterLoads)
	for _, h := range e.copies {
		n += len(h.adapters)
	}
	return n
}

func set(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}
