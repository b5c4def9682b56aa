package owner

import (
	"context"
	"sync"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/rule/idle"
	"github.com/azurespan/azurespan/internal/rule/place"
)

type (
	// Control is the part of the control stream's follower that an Owner
	// needs.
	Control interface {
		View(func(l *ctrl.State))
		Append(ctx context.Context, r record.Record) (ctrl.Outcome, error)
		Changed() <-chan struct{}
		Status() (applied uint64, ready, logUp bool)
	}

	// Engines sends orders to engines and reads their reports.
	Engines interface {
		Order(ctx context.Context, address string, o engine.Order) error
		Report(ctx context.Context, address string) (engine.Report, error)
	}

	// Facts is the part of the gossip that an Owner needs.
	Facts interface {
		Report(now time.Time, facts ...member.Fact)
		Do(func(m *member.Set))
	}

	// Pacer limits the loads that run at the same time.
	LoadLimiter interface {
		// Acquire waits for a share of the weight store's limit. release is
		// called at the end of the load, with ok false for a failed one.
		Acquire(ctx context.Context, class declare.Class, deadline time.Time, bytes int64) (release func(ok bool), err error)
		// Adapter waits for a share of the adapter loads.
		AcquireAdapter(ctx context.Context) (release func(), err error)
	}

	// Observer hears of loads and unloads, for metrics and decision records.
	Observer interface {
		Loaded(now time.Time, k ctrl.GrantKey, took time.Duration)
		Unloaded(now time.Time, k ctrl.GrantKey, idle time.Duration)
		Placed(now time.Time, what string, k ctrl.GrantKey, why string)
		// Idle counts the time that accelerators held loaded replicas without
		// a request, summed over accelerators.
		Idle(d time.Duration)
	}

	// Settings of an Owner. Zero fields stand for the defaults.
	Settings struct {
		// Self is the daemon's name.
		Self string
		// FailureDomain is the daemon's own.
		FailureDomain string
		// ReportInterval between polls of an engine; default 500 ms.
		ReportInterval time.Duration
		// ReportTimeout bounds one poll; default 1 s.
		ReportTimeout time.Duration
		// DeadAfter failed polls an upstream counts as dead; default 3.
		DeadAfter int
		// LoadTimeout bounds one load order; default 5 min.
		LoadTimeout time.Duration
		// SoleProcess states that the peer address has a fixed port, so that an
		// earlier process on this host has ended once this one listens.
		FixedPort bool
		// Settle is the time after start before ownership is taken from a
		// daemon that was never heard of; default 5 s.
		Settle time.Duration
		// RebalanceAfter is how long another daemon must have been assigned
		// before ownership is handed to it; default 20 s.
		RebalanceAfter time.Duration
		// ReportLag is the longest lag of a report; a report does not undo
		// what an order did less than this ago; default 3 s.
		ReportLag time.Duration
	}

	// Owner manages upstreams.
	Owner struct {
		set     Settings
		ctl     Control
		eng     Engines
		facts   Facts
		pacer   LoadLimiter
		idle    *idle.Policy
		obs     Observer
		chooser *place.Chooser
		choose  sync.Mutex
		started time.Time

		mu      sync.Mutex
		units   map[string]*unit
		leaving bool
		// assigned holds the assignment of each upstream, see assignments.
		assigned    map[string]string
		assignedFor assignmentKey
		countedAt   time.Time
		// adapterLocks holds a channel for each replica whose adapters are
		// being changed.
		adapterLocks map[ctrl.GrantKey]chan struct{}
	}

	// unit is an upstream that this daemon owns or watches.
	unit struct {
		name     string
		replicas map[ctrl.GrantKey]*replica
		loads    map[ctrl.GrantKey]*load
		// evicting holds a channel for each replica that is being unloaded.
		evicting map[ctrl.GrantKey]chan struct{}
		// releases holds the offsets of grants whose release was appended and
		// has not been read back.
		releases map[ctrl.GrantKey]uint64
		// unsure holds the loads that were given up without an answer, with
		// the engine's incarnation at that time.
		unsure map[ctrl.GrantKey]int64
		// inFlight counts orders that have no answer yet.
		inFlight int
		sequence uint64
		report   engine.Report
		// suspect is the crash suspect that began last, and suspectUntil the
		// time until which no other one begins.
		suspect      string
		suspectUntil time.Time
		// told is the load that peers were told last.
		told     member.Fact
		failures int
		status   member.Status
		// refused counts polls in a row whose connection was refused: no
		// engine process listens there.
		refused int
		// resigning is set from the decision to give up the ownership until
		// the control stream shows it. No order is sent meanwhile, because
		// the record may take effect at any time.
		resigning bool
		// misplaced is since when another daemon is assigned.
		misplaced time.Time
		busy      bool
	}

	// assignmentKey names the input that assignments were computed from.
	assignmentKey struct{ daemons, version uint64 }

	replica struct {
		loaded    bool
		hidden    bool
		adapters  map[string]time.Time
		streams   int
		idleSince time.Time
		changed   time.Time
	}

	load struct {
		done chan struct{}
		err  error
	}
)

// leavePause is the time between two looks at what an Owner that leaves holds.
const leavePause = 50 * time.Millisecond

// New returns an Owner; Run does the work.
func New(now time.Time, s Settings, ctl Control, eng Engines, f Facts, p LoadLimiter, obs Observer) *Owner {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&s.ReportInterval, 500*time.Millisecond)
	def(&s.ReportTimeout, time.Second)
	def(&s.LoadTimeout, 5*time.Minute)
	def(&s.Settle, 5*time.Second)
	def(&s.RebalanceAfter, 20*time.Second)
	def(&s.ReportLag, 3*time.Second)
	if s.DeadAfter == 0 {
		s.DeadAfter = 3
	}
	return &Owner{
		set: s, ctl: ctl, eng: eng, facts: f, pacer: p, obs: obs, idle: idle.New(idle.Settings{}),
		chooser: place.New(place.Settings{}), started: now, units: map[string]*unit{},
		adapterLocks: map[ctrl.GrantKey]chan struct{}{},
	}
}

// Run manages the upstreams until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	tick := time.NewTicker(o.set.ReportInterval)
	defer tick.Stop()
	for {
		changed := o.ctl.Changed()
		o.reconcile(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
			o.poll(ctx, time.Now())
			o.unloadIdle(ctx, time.Now())
		}
	}
}

// unit returns the entry for an upstream; o.mu is held.
func (o *Owner) unit(name string) *unit {
	u := o.units[name]
	if u == nil {
		u = &unit{
			name: name, replicas: map[ctrl.GrantKey]*replica{}, loads: map[ctrl.GrantKey]*load{}, status: member.Alive,
			evicting: map[ctrl.GrantKey]chan struct{}{}, releases: map[ctrl.GrantKey]uint64{}, unsure: map[ctrl.GrantKey]int64{},
		}
		o.units[name] = u
	}
	return u
}

// replica returns the entry for k; o.mu is held.
func (u *unit) replica(now time.Time, k ctrl.GrantKey) *replica {
	r := u.replicas[k]
	if r == nil {
		r = &replica{adapters: map[string]time.Time{}, idleSince: now}
		u.replicas[k] = r
	}
	return r
}

// owned returns the epoch under which this daemon owns an upstream, and the
// upstream's declaration. ok is false if it does not own it.
func (o *Owner) owned(upstream string) (epoch uint64, d *declare.Upstream, ok bool) {
	o.ctl.View(func(l *ctrl.State) {
		own, has := l.Owner(upstream)
		d = l.Config().Upstream(upstream)
		epoch, ok = own.Epoch, has && d != nil && own.Daemon == o.set.Self && !own.Resigned
	})
	return epoch, d, ok
}

// Leave makes the Owner resign all ownerships and take no new ones. It
// returns when all are acknowledged or ctx ends.
func (o *Owner) ResignAll(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	for ctx.Err() == nil {
		o.reconcile(ctx, time.Now())
		if o.holdsNothing() {
			return
		}
		pause.For(ctx, leavePause)
		if _, _, up := o.ctl.Status(); !up {
			return
		}
	}
}

func (o *Owner) holdsNothing() bool {
	holds := false
	o.ctl.View(func(l *ctrl.State) {
		for i := range l.Config().Deployment.Upstreams {
			own, ok := l.Owner(l.Config().Deployment.Upstreams[i].Name)
			holds = holds || ok && own.Daemon == o.set.Self && !own.Resigned
		}
	})
	return !holds
}

// Owned returns the number of upstreams that this daemon owns.
func (o *Owner) Owned() int {
	n := 0
	o.ctl.View(func(l *ctrl.State) {
		for i := range l.Config().Deployment.Upstreams {
			own, ok := l.Owner(l.Config().Deployment.Upstreams[i].Name)
			if ok && own.Daemon == o.set.Self && !own.Resigned {
				n++
			}
		}
	})
	return n
}
