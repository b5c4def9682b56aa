package plan

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// engine is what a Planner knows of one incarnation of an engine.
	engine struct {
		up fleet.Upstream
		// known is set once a report has been read.
		known bool
		// orders is the number of orders that it has accepted.
		orders int64
		rev    uint64
		held   map[string]*held
		// load and unload are under way, nil if none.
		load   *loading
		unload *unloading
		// coming adapters are on their way until a time.
		coming map[fleet.Key]time.Time
		// goal is a load that waits for room.
		goal *goal
		// sent is the order that has no reply yet, doubt the one whose reply
		// was lost.
		sent, doubt *fleet.Order
		doubtAt     time.Time
		doubtTries  int
		mustReport  bool
		askedAt     time.Time
		// silent counts the questions without an answer.
		silent       int
		changedAt    time.Time
		memory, disk map[string]bool
	}

	held struct {
		version  int64
		since    time.Time
		adapters map[string]*adapter
		// leaving is when its unload was announced, zero if it wasn't.
		leaving time.Time
	}

	adapter struct{ since time.Time }

	loading struct {
		model    string
		tier     Tier
		began    time.Time
		eta      time.Time
		expected time.Duration
		// storeGiven is the Planner's when the load began.
		storeGiven float64
	}

	unloading struct {
		model string
		began time.Time
	}

	goal struct {
		model string
		since time.Time
	}
)

const (
	// reportLag is the age that the content of a report may have.
	reportLag = 150 * time.Millisecond
	// askEvery is the least time between two questions for a report, and
	// askLate the one while a load or unload takes longer than expected.
	askEvery = 120 * time.Millisecond
	askLate  = 300 * time.Millisecond
	// askSlower bounds the doublings of askEvery for an engine that doesn't
	// answer.
	askSlower = 3
	// retryDoubt is the time after which an order without reply is repeated.
	retryDoubt = 100 * time.Millisecond
	// goalLife bounds how long room is kept for a load.
	goalLife = 8 * time.Second
	// adapterTime is the time after which an ordered adapter counts as
	// loaded, and adapterCrowd the number on their way up to which that
	// holds.
	adapterTime  = 14 * time.Millisecond
	adapterCrowd = 16
	// lateFactor and lateTime bound how long a load may take before its
	// engine is asked what became of it.
	lateFactor = 3
)

// newEngine returns an engine that holds what it registered. It gets orders
// only after it has reported.
func newEngine(u fleet.Upstream) *engine {
	e := &engine{
		up: u, held: map[string]*held{}, coming: map[fleet.Key]time.Time{},
		memory: set(u.Holding.InMemory), disk: set(u.Holding.OnDisk), mustReport: true,
	}
	for _, m := range u.Holding.Models {
		h := &held{version: m.Version, adapters: map[string]*adapter{}}
		for _, a := range m.Adapters {
			h.adapters[a] = &adapter{}
		}
		e.held[m.Model] = h
	}
	return e
}

// register takes the engine's own entry over, which shows the end of loads
// sooner than a report that must be asked for.
func (e *engine) register(p *Planner, now time.Time, u fleet.Upstream) {
	e.up = u
	if !e.known || u.Holding.Orders < e.orders {
		return
	}
	if e.load != nil && slices.ContainsFunc(u.Holding.Models, func(h fleet.LoadedModel) bool { return h.Model == e.load.model }) {
		e.loaded(p, now)
	}
}

// report takes a report over that was asked for at asked.
func (e *engine) report(p *Planner, asked, now time.Time, r *fleet.Report) {
	if e.sent != nil {
		// The outcome of the order decides; the report may be from before.
		return
	}
	h := r.Holding
	stale := asked.Before(e.changedAt.Add(reportLag)) && e.known
	if h.Orders < e.orders && stale {
		e.mustReport = true
		return
	}
	if e.doubt != nil && h.Orders > e.doubt.ExpectedOrders {
		e.doubt = nil
	}
	e.orders = h.Orders
	e.memory, e.disk = set(h.InMemory), set(h.OnDisk)
	if stale {
		// The count of orders agrees, but the content may be older.
		e.mustReport = true
		return
	}
	e.mustReport = false
	now2 := make(map[string]*held, len(h.Models))
	for _, m := range h.Models {
		o := e.held[m.Model]
		if o == nil {
			o = &held{since: now, adapters: map[string]*adapter{}}
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
		now2[m.Model] = o
	}
	e.held = now2
	for k := range e.coming {
		if !slices.Contains(r.Pending, fleet.ModelName(k.Model, k.Adapter)) {
			delete(e.coming, k)
		}
	}
	for _, name := range r.Pending {
		m, a, _ := strings.Cut(name, "/")
		k := fleet.Key{Service: e.up.Service, Model: m, Adapter: a}
		if _, ok := e.coming[k]; !ok {
			e.coming[k] = now.Add(adapterTime)
		}
	}
	e.settle(p, now, r.Changing)
	e.known = true
	p.touch(e)
}

// settle ends the load and unload that the report shows as finished.
func (e *engine) settle(p *Planner, now time.Time, changing bool) {
	if e.load != nil {
		if e.held[e.load.model] != nil {
			e.loaded(p, now)
		} else if !changing {
			e.load = nil // it failed or was void
		}
	} else if changing && e.unload == nil {
		// Another holder's order is under way; nothing is known of it.
		e.mustReport = true
		e.unload = &unloading{began: now}
	}
	if e.unload != nil && !changing && (e.unload.model == "" || e.held[e.unload.model] == nil) {
		e.unload = nil
	} else if e.unload != nil && !changing {
		e.unload = nil
	}
}

// loaded ends the load under way with success.
func (e *engine) loaded(p *Planner, now time.Time) {
	p.accountStore(now)
	l := e.load
	e.load = nil
	e.memory[l.model], e.disk[l.model] = true, true
	if e.held[l.model] == nil {
		e.held[l.model] = &held{since: now, adapters: map[string]*adapter{}}
	}
	if l.tier == Store {
		p.learn(now, l)
	}
	p.touch(e)
}

// arrive counts the adapters as loaded whose time has come.
func (e *engine) arrive(p *Planner, now time.Time) {
	for k, at := range e.coming {
		if now.Before(at) {
			continue
		}
		delete(e.coming, k)
		if h := e.held[k.Model]; h != nil && h.adapters[k.Adapter] == nil {
			h.adapters[k.Adapter] = &adapter{since: now}
			p.touch(e)
		}
	}
}

// wantsReport reports whether the engine must be asked at now.
func (e *engine) wantsReport(now time.Time) bool {
	if e.up.Leaving || e.sent != nil || now.Sub(e.askedAt) < askEvery<<min(e.silent, askSlower) {
		return false
	}
	if e.mustReport {
		return now.Sub(e.askedAt) >= askLate || now.Sub(e.changedAt) >= reportLag
	}
	switch {
	case e.load != nil:
		late := now.Sub(e.load.began) > lateFactor*e.load.expected
		return !now.Before(e.load.eta) && (!late || now.Sub(e.askedAt) >= askLate)
	case e.unload != nil:
		return now.Sub(e.unload.began) >= reportLag
	}
	return false
}

// idle reports whether a model order may be sent.
func (e *engine) idle() bool {
	return e.free() && e.load == nil && e.unload == nil
}

// free reports whether any order may be sent.
func (e *engine) free() bool {
	return e.known && !e.up.Leaving && e.sent == nil && e.doubt == nil && !e.mustReport
}

// tier returns where the engine has the weights of a model.
func (e *engine) tier(model string) Tier {
	switch {
	case e.memory[model]:
		return Memory
	case e.disk[model]:
		return Disk
	}
	return Store
}

// copy returns the content as daemons may use it: what is announced to leave
// is left out.
func (e *engine) copy() fleet.Inventory {
	c := fleet.Inventory{ID: e.up.ID, Born: e.up.Born, Rev: e.rev}
	for name, h := range e.held {
		if !h.leaving.IsZero() {
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

// adapters returns the number of places taken, those on their way included.
func (e *engine) adapters() int {
	n := len(e.coming)
	for _, h := range e.held {
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
