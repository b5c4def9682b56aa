package loader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/logjob"
	"github.com/azurespan/azurespan/internal/rule/plan"
)

type (
	// Engines makes calls to engines.
	Engines interface {
		Report(ctx context.Context, u fleet.Upstream) (*fleet.Report, error)
		Order(ctx context.Context, u fleet.Upstream, o fleet.Order) (fleet.Reply, error)
	}

	// Right says whether this daemon may order.
	Elector interface {
		// May reports whether an order may be sent now, and the fence.
		CanOrder() (fence int64, ok bool)
		// Holds reports whether this daemon has the right, even if its first
		// order must wait.
		Holds() (fence int64, ok bool)
	}

	// Desk hands calls to the log out to other daemons.
	JobQueue interface {
		Take(host string) *logjob.Job
		Done(r logjob.Result)
	}

	// Topics is what this daemon knows of the log's topics.
	Topics interface {
		// Register returns what has changed in the register since an offset,
		// Config how much of the configuration's topic is known; nil if that
		// isn't known well.
		Register(now time.Time, since int64) *roster.Update
		Config(now time.Time) *hub.TopicState
	}

	// Loader is the state. It is safe for concurrent use.
	Loader struct {
		host    string
		set     plan.Settings
		engines Engines
		right   Elector
		desk    JobQueue
		topics  Topics
		met     *metric.Metrics
		now     func() time.Time

		mu      sync.Mutex
		cfg     *fleet.Config
		ups     []fleet.Upstream
		planner *plan.Planner
		// active is set while this daemon has the right. The planner is kept
		// after its loss: if nobody else had it meanwhile, it still holds.
		active  bool
		fence   int64
		daemons map[string]*peer
		crashes *poison.Table
		suspect map[string]bool
		rev     uint64
		// copies and whole are what all daemons that know nothing are told.
		copies packed[[]fleet.Inventory]
		whole  packed[*roster.Update]
		// changed is closed and replaced when there is something to tell.
		changed chan struct{}
		kick    chan struct{}
	}

	// packed is a bulk with when, and in which tenure and revision, it was
	// packed.
	packed[T any] struct {
		bulk  hub.Packed[T]
		at    time.Time
		fence int64
		rev   uint64
	}

	peer struct {
		at      time.Time
		running map[string]int
	}
)

var _ hub.Holder = (*Loader)(nil)

const (
	// decideEvery is the interval of decisions when nothing happens, and
	// decideGap the least time between two. A decision that takes long is
	// followed by decideRest times as much, so that the daemon's requests get
	// most of the processor.
	decideEvery = 100 * time.Millisecond
	decideGap   = 4 * time.Millisecond
	decideRest  = 6
	// peerMemory is how long a silent daemon counts.
	peerMemory = 2 * time.Second
	// packedLife is how long a bulk is given to those who ask; what has
	// changed since follows in their next call.
	packedLife = 300 * time.Millisecond
	// crashMemory is how long crashes are remembered.
	crashMemory = time.Minute
)

// New returns a Loader of the daemon named host.
func New(host string, set plan.Settings, e Engines, r Elector, d JobQueue, t Topics, met *metric.Metrics, now func() time.Time) *Loader {
	return &Loader{
		host: host, set: set, engines: e, right: r, desk: d, topics: t, met: met, now: now,
		daemons: map[string]*peer{}, crashes: poison.New(crashMemory), suspect: map[string]bool{},
		changed: make(chan struct{}), kick: make(chan struct{}, 1),
	}
}

// Configure puts a configuration in force.
func (l *Loader) Configure(cfg *fleet.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg = cfg
	if l.planner != nil {
		l.planner.SetConfig(cfg)
		l.planner.SetUpstreams(l.now(), l.ups)
	}
	l.wake()
}

// SetUpstreams replaces the registered upstreams.
func (l *Loader) SetUpstreams(now time.Time, ups []fleet.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ups = ups
	if l.planner != nil {
		l.planner.SetUpstreams(now, ups)
	}
	l.wake()
}

// wake makes Run decide; l.mu is held.
func (l *Loader) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Run decides and orders until ctx ends.
func (l *Loader) Run(ctx context.Context) error {
	t := time.NewTicker(decideEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-l.kick:
		}
		began := l.now()
		l.step(ctx)
		pause.For(ctx, max(decideGap, decideRest*l.now().Sub(began)))
	}
}

// step takes the right over or gives it up, and sends what is due.
func (l *Loader) step(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	fence, holds := l.right.Holds()
	l.observe(holds)
	switch {
	case !holds:
		if l.active {
			l.active = false
			l.announce()
		}
		return
	case l.planner == nil || fence != l.fence:
		l.fence = fence
		l.planner = plan.New(l.set)
		l.planner.SetConfig(l.cfg)
		l.planner.SetUpstreams(now, l.ups)
		clear(l.daemons)
	}
	l.active = true
	for _, u := range l.planner.ReportsDue(now) {
		l.planner.RecordReportRequest(now, u.ID)
		go l.ask(ctx, u, now)
	}
	if _, may := l.right.CanOrder(); may {
		for _, a := range l.planner.Decide(now) {
			a.Order.Holder, a.Order.Fence = l.host, l.fence
			go l.send(ctx, l.planner, a)
		}
	}
	if _, rev := l.planner.CopiesSince(now, ^uint64(0)); rev != l.rev {
		l.rev = rev
		l.announce()
	}
}

// observe sets the gauges; l.mu is held.
func (l *Loader) observe(holds bool) {
	l.met.Holder.Set(0)
	if holds {
		l.met.Holder.Set(1)
	}
	l.met.StoreConcurrency.Set(l.set.StoreConcurrency)
	if l.planner != nil {
		l.met.StoreConcurrency.Set(l.planner.StoreConcurrency())
	}
}

// ask asks an engine for its state.
func (l *Loader) ask(ctx context.Context, u fleet.Upstream, asked time.Time) {
	r, err := l.engines.Report(ctx, u)
	if err != nil && ctx.Err() == nil {
		event.EngineUnresponsive.Log("upstream", u.ID, "address", u.Address, "cause", err.Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner != nil {
		l.planner.RecordReport(asked, l.now(), u.ID, r)
		l.wake()
	}
}

// send sends an order, if the right still allows it.
func (l *Loader) send(ctx context.Context, p *plan.Planner, a plan.Action) {
	sent := l.now()
	reply := fleet.Conflict
	var cause string
	if fence, may := l.right.CanOrder(); may && fence == a.Order.Fence {
		var err error
		if reply, err = l.engines.Order(ctx, a.Engine, a.Order); err != nil {
			cause = err.Error()
		}
	} else {
		cause = "the right has ended"
	}
	now := l.now()
	event.LoadOrdered.Log("upstream", a.Engine.ID, "unload", a.Order.Unload, "model", fleet.ModelName(a.Order.Model, a.Order.Adapter),
		"from", a.Tier, "expected", a.ExpectedDuration, "reason", a.Reason, "copies", a.Copies, "running", a.Running, "waiting", a.Waiting, "rate", fmt.Sprintf("%.2f", a.Rate), "expect", a.Order.ExpectedOrders, "fence", a.Order.Fence,
		"reply", reply, "took", now.Sub(sent), "cause", cause)
	l.met.Loads.WithLabelValues(reply.String()).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == p {
		p.RecordReply(sent, now, a, reply)
		l.wake()
	}
}
