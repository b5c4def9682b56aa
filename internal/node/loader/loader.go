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
	"github.com/azurespan/azurespan/internal/core/loads"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/logjob"
	"github.com/azurespan/azurespan/internal/node/merger"
	"github.com/azurespan/azurespan/internal/rule/assign"
	"github.com/azurespan/azurespan/internal/rule/dealer"
	"github.com/azurespan/azurespan/internal/rule/deleg"
	"github.com/azurespan/azurespan/internal/rule/issuer"
	"github.com/azurespan/azurespan/internal/rule/opener"
	"github.com/azurespan/azurespan/internal/rule/plan"
	"github.com/azurespan/azurespan/internal/rule/share"
	"github.com/azurespan/azurespan/internal/rule/spread"
)

type (
	// Engines calls engines.
	Engines interface {
		Report(ctx context.Context, u fleet.Upstream) (*fleet.Report, error)
		Order(ctx context.Context, u fleet.Upstream, o fleet.Order) (fleet.Reply, error)
	}

	// Elector knows whether this daemon is the holder.
	Elector interface {
		// CanOrder reports whether an order may be sent now, and the fencing
		// token.
		CanOrder() (fence int64, ok bool)
		// Holds reports whether this daemon holds the lease, even if it may
		// not send orders yet.
		Holds() (fence int64, ok bool)
	}

	// JobQueue holds calls to the log that another daemon makes for the holder.
	JobQueue interface {
		// Take returns the job for a daemon, nil if there is none.
		Take(host string) *logjob.Job
		Done(r logjob.Result)
	}

	// Topics is what this daemon knows of the log's topics.
	Topics interface {
		// Register returns the changes of the register since a position, and
		// Config how much of the configuration's topic is known; nil if that
		// is uncertain.
		Register(now time.Time, since logpos.Position) *roster.Update
		Config(now time.Time) *hub.TopicState
	}

	// Loader executes load decisions. It is safe for concurrent use.
	Loader struct {
		host     string
		settings plan.Settings
		engines  Engines
		elector  Elector
		jobs     JobQueue
		topics   Topics
		metrics  *metric.Metrics
		now      func() time.Time
		// linkBytes is what this host's network link carries a second, 0 if unknown.
		linkBytes float64
		// allowances are the bounds on the use of accounts, and boot is a clock
		// that counts suspensions.
		allowances issuer.Settings
		boot       func() time.Time

		mu        sync.Mutex
		config    *fleet.Config
		upstreams []fleet.Upstream
		planner   *plan.Planner
		// active is set while this daemon is the holder. The planner is kept
		// afterwards: its state stays valid if no other daemon becomes the
		// holder in between.
		active  bool
		fence   int64
		daemons map[string]*daemonState
		// loads are the requests in progress of all daemons.
		loads *loads.Sums
		// crashes are the crash histories of this daemon, and crashRev is the
		// revision of the shared ones of which the other daemons have been notified.
		crashes *poison.Table
		merger  *merger.Merger
		// origins are the origins of streams that this daemon knows.
		origins  *origin.Table
		crashRev uint64
		rev      uint64
		// trials are the rights to run requests under which upstreams have crashed, in a
		// tenure.
		trials *assign.Table
		// dealer shares the rate limits of upstreams among the daemons, and
		// limitsRev counts the changes of its limits.
		dealer    *dealer.Dealer
		limitsRev uint64
		// slots grants the slots of contended engines, in a tenure, and granted are
		// signalled when a daemon has grants to be told.
		slots   *share.Table
		granted map[string]chan struct{}
		// opener decides from when on streams may begin at a version, in a tenure that
		// began at tenureAt, and stateRev is the revision of which the other daemons
		// have been notified.
		opener   *opener.Opener
		tenureAt time.Time
		stateRev uint64
		// issuer shares the allowances of accounts, in a tenure. delegates hold them for
		// all daemons, as chosen at delegatesAt.
		issuer      *issuer.Issuer
		delegates   *deleg.Delegates
		delegatesAt time.Time
		lenders     []deleg.Candidate
		// formerShares are the largest shares that daemons may hold by the newest
		// record of another tenure, nil if unknown.
		formerShares map[string]float64
		// packedInventory and packedUpdate are the complete state for daemons
		// that know none.
		packedInventory packCache[[]fleet.Inventory]
		packedUpdate    packCache[*roster.Update]
		// ordersInFlight are the orders that were sent and not answered, and ended is set
		// once there are to be no more.
		ordersInFlight int
		ended          bool
		// reportsInFlight are the reports that were requested and haven't come, and
		// reportTokens those that may be requested as of reportsAt.
		reportsInFlight int
		reportTokens    float64
		reportsAt       time.Time
		// spreader decides which daemons get them from others that have them.
		spreader *spread.Spreader
		// changed is closed and replaced on each change that ends a Watch.
		changed chan struct{}
		wakeup  chan struct{}
	}

	// packCache is a packed value and the time, tenure and revision in which
	// it was packed.
	packCache[T any] struct {
		packed hub.Packed[T]
		at     time.Time
		fence  int64
		rev    uint64
	}

	daemonState struct {
		at   time.Time
		path fleet.PathReport
		// address is that of the daemon's own calls, empty while it is unknown.
		address string
		// forwarders are those that it was told, nil if none were.
		forwarders *forwarderList
	}
)

var _ hub.Holder = (*Loader)(nil)

const (
	// decideInterval is the interval of decisions without events, and
	// minDecideGap the minimum time between two. A decision is followed by a
	// pause of at least decideRestFactor times its duration, so that the
	// daemon's requests get most of the processor.
	decideInterval   = 100 * time.Millisecond
	minDecideGap     = 4 * time.Millisecond
	decideRestFactor = 6
	// endCheckInterval is the interval at which End checks for orders in flight.
	endCheckInterval = 5 * time.Millisecond
	// reportsPerSecond and maxReportsInFlight bound the requests for reports of engines,
	// which a new holder makes of all at once: each takes a connection and some 0.3 ms of
	// the processor, and the same host answers the daemons and renews the lease.
	reportsPerSecond   = 500.0
	maxReportsInFlight = 64
	// daemonTTL is how long a daemon counts after its last report.
	daemonTTL = 2 * time.Second
	// packedTTL is how long a packed value is reused. Later changes are in the
	// reply to the receiver's next call.
	packedTTL = time.Second
)

// New returns a Loader for the daemon named host, whose network link carries linkBytes a
// second, 0 if that is not known.
func New(host string, linkBytes float64, settings plan.Settings, engines Engines, elector Elector, jobs JobQueue, topics Topics, crashes *poison.Table, origins *origin.Table, metrics *metric.Metrics, allowances issuer.Settings, now, boot func() time.Time) *Loader {
	return &Loader{
		host: host, linkBytes: linkBytes, settings: settings, engines: engines, elector: elector, jobs: jobs, topics: topics, metrics: metrics, now: now,
		allowances: allowances, boot: boot,
		daemons: map[string]*daemonState{}, loads: loads.New(), crashes: crashes, merger: merger.New(crashes), origins: origins, dealer: dealer.New(),
		slots: newSlots(now()), granted: map[string]chan struct{}{},
		changed: make(chan struct{}), wakeup: make(chan struct{}, 1),
	}
}

// Configure puts a configuration in force.
func (l *Loader) Configure(cfg *fleet.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config = cfg
	l.setSlots()
	if l.issuer != nil {
		l.issuer.SetAccounts(l.boot(), cfg.Accounts)
	}
	if l.planner != nil {
		l.planner.SetConfig(cfg)
		l.planner.SetUpstreams(l.now(), l.upstreams)
	}
	l.wake()
}

// SetUpstreams replaces the registered upstreams.
func (l *Loader) SetUpstreams(now time.Time, ups []fleet.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upstreams = ups
	l.setSlots()
	if l.planner != nil {
		l.planner.SetUpstreams(now, ups)
	}
	l.wake()
}

// setSlots tells the sums of requests how many each upstream runs at once. The caller holds
// l.mu.
func (l *Loader) setSlots() {
	slots, engines := make(map[string]int, len(l.upstreams)), make(map[string]int, len(l.upstreams))
	for _, u := range l.upstreams {
		slots[u.ID] = u.Slots
		if l.config != nil && l.config.Services[u.Service].Engine != nil {
			slots[u.ID] = l.config.Services[u.Service].Engine.Slots
			engines[u.ID] = slots[u.ID]
		}
	}
	l.loads.SetSlots(slots)
	l.slots.SetSlots(engines)
}

// wake triggers a decision of Run. The caller holds l.mu.
func (l *Loader) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// Run makes decisions and sends orders until ctx ends.
func (l *Loader) Run(ctx context.Context) error {
	t := time.NewTicker(decideInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-l.wakeup:
		}
		began := l.now()
		l.step(ctx)
		pause.For(ctx, max(minDecideGap, decideRestFactor*l.now().Sub(began)))
	}
}

// step begins or ends a tenure, then requests reports and sends orders that are
// due.
func (l *Loader) step(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	fence, holds := l.elector.Holds()
	l.setGauges(holds)
	switch {
	case !holds:
		if l.active {
			l.active = false
			l.notifyWatchers()
		}
		return
	case l.planner == nil || fence != l.fence:
		l.fence = fence
		l.planner = plan.New(l.settings)
		l.planner.SetConfig(l.config)
		l.planner.SetUpstreams(now, l.upstreams)
		clear(l.daemons)
		l.loads, l.slots = loads.New(), newSlots(now)
		l.setSlots()
		l.spreader = spread.New(now, l.linkBytes)
		l.tenureAt = l.boot()
		l.opener, l.stateRev = opener.New(l.tenureAt, l.origins.TTL()), 0
		l.trials = assign.New(now, daemonTTL, l.isCleared)
		l.issuer = issuer.New(l.boot(), l.allowances, l.formerShares)
		l.delegates, l.delegatesAt, l.lenders = deleg.New(l.host), time.Time{}, nil
		if l.config != nil {
			l.issuer.SetAccounts(l.boot(), l.config.Accounts)
		}
	}
	l.active = true
	for _, u := range l.planner.ReportsDue(now, l.reportAllowance(now)) {
		l.planner.RecordReportRequest(now, u.ID)
		l.reportsInFlight++
		l.reportTokens--
		go l.requestReport(ctx, u, now)
	}
	if _, may := l.elector.CanOrder(); may && !l.ended {
		l.planner.SetLimits(l.dealer.Limits(now))
		for _, a := range l.planner.Decide(now) {
			a.Order.Holder, a.Order.Fence = l.host, l.fence
			l.ordersInFlight++
			go l.sendOrder(ctx, l.planner, a)
		}
		l.logShortages()
	}
	l.updateVersions()
	if _, rev := l.planner.CopiesSince(now, ^uint64(0)); rev != l.rev {
		l.rev = rev
		l.notifyWatchers()
	}
}

// logShortages logs and counts the models that are short and got no copy. The caller holds
// l.mu.
func (l *Loader) logShortages() {
	for _, s := range l.planner.Shortages() {
		event.ModelShort.Log("model", s.Key.Model, "service", s.Key.Service, "reason", s.Reason, "load", fmt.Sprintf("%.1f", s.Load),
			"unserved", s.Unserved, "copies", s.Copies, "pending", s.Pending, "rate", fmt.Sprintf("%.2f", s.Rate), "fence", l.fence)
		l.metrics.ShortModels.WithLabelValues(s.Reason.String()).Inc()
	}
}

// End ends the sending of orders, and returns once all that were sent have been answered or
// given up, or ctx ends: the next holder may order soon after this one gives the lease back.
func (l *Loader) End(ctx context.Context) {
	for {
		l.mu.Lock()
		l.ended = true
		left := l.ordersInFlight
		l.mu.Unlock()
		if left == 0 || !pause.For(ctx, endCheckInterval) {
			return
		}
	}
}

// reportAllowance returns the number of reports that may be requested now. The caller holds
// l.mu.
func (l *Loader) reportAllowance(now time.Time) int {
	l.reportTokens = min(l.reportTokens+reportsPerSecond*now.Sub(l.reportsAt).Seconds(), maxReportsInFlight)
	l.reportsAt = now
	return min(int(l.reportTokens), maxReportsInFlight-l.reportsInFlight)
}

// isHolder reports whether this daemon holds the lease for which the planner was made.
// Run notices the end of a tenure only at its next step. The caller holds l.mu.
func (l *Loader) isHolder() bool {
	fence, holds := l.elector.Holds()
	return l.active && holds && fence == l.fence
}

// setGauges sets the gauges. The caller holds l.mu.
func (l *Loader) setGauges(holds bool) {
	l.metrics.Holder.Set(0)
	if holds {
		l.metrics.Holder.Set(1)
	}
	l.metrics.StoreConcurrency.Set(l.settings.StoreConcurrency)
	if l.planner != nil {
		l.metrics.StoreConcurrency.Set(l.planner.StoreConcurrency())
	}
}

// requestReport requests an engine's report and passes it to the planner.
func (l *Loader) requestReport(ctx context.Context, u fleet.Upstream, asked time.Time) {
	r, err := l.engines.Report(ctx, u)
	if err != nil && ctx.Err() == nil {
		event.EngineUnresponsive.Log("upstream", u.ID, "address", u.Address, "cause", err.Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportsInFlight--
	if l.planner != nil {
		l.planner.RecordReport(asked, l.now(), u.ID, r)
		l.wake()
	}
}

// sendOrder sends an order if the tenure still allows it, and passes the reply to
// the planner.
func (l *Loader) sendOrder(ctx context.Context, p *plan.Planner, a plan.Action) {
	sent := l.now()
	reply := fleet.Conflict
	var cause string
	if fence, may := l.elector.CanOrder(); may && fence == a.Order.Fence {
		var err error
		if reply, err = l.engines.Order(ctx, a.Engine, a.Order); err != nil {
			cause = err.Error()
		}
	} else {
		cause = "tenure ended before the order was sent"
	}
	now := l.now()
	event.LoadOrdered.Log("upstream", a.Engine.ID, "version", a.Engine.Version, "unload", a.Order.Unload, "model", fleet.ModelName(a.Order.Model, a.Order.Adapter),
		"from", a.Tier, "expected", a.ExpectedDuration, "reason", a.Reason, "copies", a.Copies, "running", a.Running, "waiting", a.Waiting, "rate", fmt.Sprintf("%.2f", a.Rate), "expect", a.Order.ExpectedOrders, "fence", a.Order.Fence,
		"reply", reply, "took", now.Sub(sent), "cause", cause)
	l.metrics.Loads.WithLabelValues(reply.String()).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ordersInFlight--
	if l.planner == p {
		p.RecordReply(sent, now, a, reply)
		l.wake()
	}
}
