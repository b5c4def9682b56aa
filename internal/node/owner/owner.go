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
	// Control gives access to the control stream and its state.
	Control interface {
		View(func(state *ctrl.State))
		Append(ctx context.Context, r record.Record) (ctrl.Outcome, error)
		Changed() <-chan struct{}
		Status() (applied uint64, ready, logUp bool)
	}

	// Engines sends orders to engines and reads their reports.
	Engines interface {
		Order(ctx context.Context, address string, o engine.Order) error
		Report(ctx context.Context, address string) (engine.Report, error)
	}

	// Facts reads and reports the facts that daemons exchange by gossip.
	Facts interface {
		Report(now time.Time, facts ...member.Fact)
		Do(func(m *member.Set))
	}

	// LoadLimiter limits the loads that run at the same time.
	LoadLimiter interface {
		// Acquire waits until a load from the weight store may start. The
		// caller calls release at the end of the load, with ok false for a
		// failed one.
		Acquire(ctx context.Context, class declare.Class, deadline time.Time, bytes int64) (release func(ok bool), err error)
		// AcquireAdapter waits until an adapter load may start.
		AcquireAdapter(ctx context.Context) (release func(), err error)
	}

	// Observer is notified of loads and unloads, for metrics and decision
	// records.
	Observer interface {
		Loaded(now time.Time, k ctrl.GrantKey, took time.Duration)
		Unloaded(now time.Time, k ctrl.GrantKey, idle time.Duration)
		// Placed receives a placement decision about k of the given kind, for
		// example "grant" or "unload", with its reason.
		Placed(now time.Time, kind string, k ctrl.GrantKey, reason string)
		// Idle adds the time for which accelerators held loaded replicas
		// without a request, summed over the accelerators.
		Idle(d time.Duration)
	}

	// Settings configures an Owner. Zero fields take the defaults.
	Settings struct {
		// Self is the daemon's name.
		Self string
		// FailureDomain is the daemon's failure domain.
		FailureDomain string
		// ReportInterval is the time between polls of an engine; default
		// 500 ms.
		ReportInterval time.Duration
		// ReportTimeout bounds one poll; default 1 s.
		ReportTimeout time.Duration
		// DeadAfter is the number of consecutive failed polls after which an
		// upstream counts as dead; default 3.
		DeadAfter int
		// LoadTimeout bounds one load order; default 5 min.
		LoadTimeout time.Duration
		// FixedPort states that the peer address has a fixed port, so that an
		// earlier process on this host has ended once this one listens.
		FixedPort bool
		// UnknownOwnerDelay is the time after the start of this daemon before
		// it takes ownership from a daemon that it knows neither as live nor
		// as dead; default 5 s.
		UnknownOwnerDelay time.Duration
		// RebalanceAfter is how long another daemon must have been assigned
		// before ownership is handed to it; default 20 s.
		RebalanceAfter time.Duration
		// ReportLag is the maximum lag of a report: a report does not override
		// the effect of an order that ended less than this ago; default 3 s.
		ReportLag time.Duration
	}

	// Owner manages the upstreams that one daemon owns. It is safe for
	// concurrent use.
	Owner struct {
		settings  Settings
		control   Control
		engines   Engines
		facts     Facts
		limiter   LoadLimiter
		idle      *idle.Policy
		observer  Observer
		chooser   *place.Chooser
		chooserMu sync.Mutex
		startedAt time.Time

		mu        sync.Mutex
		upstreams map[string]*upstreamState
		leaving   bool
		// assigned caches the assigned daemon of each upstream, computed for
		// assignedKey; see assignments.
		assigned      map[string]string
		assignedKey   assignmentKey
		idleCountedAt time.Time
		// adapterLocks holds a channel for each replica whose adapters are
		// being changed.
		adapterLocks map[ctrl.GrantKey]chan struct{}
	}

	// upstreamState is an upstream that this daemon owns or polls.
	upstreamState struct {
		name     string
		replicas map[ctrl.GrantKey]*replica
		loads    map[ctrl.GrantKey]*pendingLoad
		// evicting holds a channel for each replica that is being unloaded.
		evicting map[ctrl.GrantKey]chan struct{}
		// pendingReleases holds the offsets of grants whose release was
		// appended and has not been read back.
		pendingReleases map[ctrl.GrantKey]uint64
		// unansweredLoads holds the loads that were given up without an
		// answer, with the engine's incarnation at that time.
		unansweredLoads map[ctrl.GrantKey]int64
		// inFlight counts orders that have no answer yet.
		inFlight int
		// sequence is the sequence number of the last order.
		sequence uint64
		// report is the last report of the engine.
		report engine.Report
		// crashSuspect is the fingerprint of the crash suspect that started
		// last. No other one may start before suspectExpires.
		crashSuspect   string
		suspectExpires time.Time
		// advertisedLoad is the load that was last sent to peers.
		advertisedLoad member.Fact
		failedPolls    int
		status         member.Status
		// refusedPolls counts consecutive polls whose connection was refused,
		// which means that no engine process listens on the address.
		refusedPolls int
		// resigning is set from the decision to give up the ownership until
		// the control stream shows it. No order is sent meanwhile, because
		// the record may take effect at any time.
		resigning bool
		// reassignedSince is the time since which another daemon has been
		// assigned, zero if none is.
		reassignedSince time.Time
		// unloading is set while unloadIdle unloads a replica.
		unloading bool
	}

	// assignmentKey identifies the input from which assignments were computed:
	// the signature of the live daemons and the configuration version.
	assignmentKey struct{ daemons, version uint64 }

	replica struct {
		loaded bool
		// hidden is set while the replica is being evicted; peers are not told
		// of it then.
		hidden bool
		// adapters maps the loaded adapters to the time of their last use.
		adapters map[string]time.Time
		// streams is the number of streams in progress.
		streams   int
		idleSince time.Time
		// changedAt is the time at which the last order took effect.
		changedAt time.Time
	}

	// pendingLoad is a load in progress. err may be read once done is closed.

	pendingLoad struct {
		done chan struct{}
		err  error
	}
)

// resignCheckInterval is the time between checks of whether all ownerships
// have been resigned.
const resignCheckInterval = 50 * time.Millisecond

// New returns an Owner, which does nothing until Run is called.
func New(now time.Time, s Settings, ctl Control, eng Engines, f Facts, l LoadLimiter, obs Observer) *Owner {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&s.ReportInterval, 500*time.Millisecond)
	def(&s.ReportTimeout, time.Second)
	def(&s.LoadTimeout, 5*time.Minute)
	def(&s.UnknownOwnerDelay, 5*time.Second)
	def(&s.RebalanceAfter, 20*time.Second)
	def(&s.ReportLag, 3*time.Second)
	if s.DeadAfter == 0 {
		s.DeadAfter = 3
	}
	return &Owner{
		settings: s, control: ctl, engines: eng, facts: f, limiter: l, observer: obs, idle: idle.New(idle.Settings{}),
		chooser: place.New(place.Settings{}), startedAt: now, upstreams: map[string]*upstreamState{},
		adapterLocks: map[ctrl.GrantKey]chan struct{}{},
	}
}

// Run manages the upstreams until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	tick := time.NewTicker(o.settings.ReportInterval)
	defer tick.Stop()
	for {
		changed := o.control.Changed()
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

// upstream returns the state of an upstream, which it creates if necessary.
// o.mu must be held.
func (o *Owner) upstream(name string) *upstreamState {
	u := o.upstreams[name]
	if u == nil {
		u = &upstreamState{
			name: name, replicas: map[ctrl.GrantKey]*replica{}, loads: map[ctrl.GrantKey]*pendingLoad{}, status: member.Alive,
			evicting: map[ctrl.GrantKey]chan struct{}{}, pendingReleases: map[ctrl.GrantKey]uint64{}, unansweredLoads: map[ctrl.GrantKey]int64{},
		}
		o.upstreams[name] = u
	}
	return u
}

// replica returns the state of replica k, which it creates if necessary.
// Owner.mu must be held.
func (u *upstreamState) replica(now time.Time, k ctrl.GrantKey) *replica {
	r := u.replicas[k]
	if r == nil {
		r = &replica{adapters: map[string]time.Time{}, idleSince: now}
		u.replicas[k] = r
	}
	return r
}

// owned returns the epoch under which this daemon owns an upstream, and the
// upstream's declaration. ok is false if the daemon does not own it.
func (o *Owner) owned(upstream string) (epoch uint64, d *declare.Upstream, ok bool) {
	o.control.View(func(state *ctrl.State) {
		own, has := state.Owner(upstream)
		d = state.Config().Upstream(upstream)
		epoch, ok = own.Epoch, has && d != nil && own.Daemon == o.settings.Self && !own.Resigned
	})
	return epoch, d, ok
}

// ResignAll makes the Owner resign all ownerships and take no new ones. It
// returns when all resignations are in the control stream, when the log is
// unreachable, or when ctx ends.
func (o *Owner) ResignAll(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	for ctx.Err() == nil {
		o.reconcile(ctx, time.Now())
		if o.ownsNothing() {
			return
		}
		pause.For(ctx, resignCheckInterval)
		if _, _, up := o.control.Status(); !up {
			return
		}
	}
}

func (o *Owner) ownsNothing() bool {
	holds := false
	o.control.View(func(state *ctrl.State) {
		for i := range state.Config().Deployment.Upstreams {
			own, ok := state.Owner(state.Config().Deployment.Upstreams[i].Name)
			holds = holds || ok && own.Daemon == o.settings.Self && !own.Resigned
		}
	})
	return !holds
}

// Owned returns the number of upstreams that this daemon owns.
func (o *Owner) Owned() int {
	n := 0
	o.control.View(func(state *ctrl.State) {
		for i := range state.Config().Deployment.Upstreams {
			own, ok := state.Owner(state.Config().Deployment.Upstreams[i].Name)
			if ok && own.Daemon == o.settings.Self && !own.Resigned {
				n++
			}
		}
	})
	return n
}
