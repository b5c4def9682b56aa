package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/ration"
	"github.com/azurespan/azurespan/internal/core/blame"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/core/usage"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/rule/issuer"
	"github.com/azurespan/azurespan/internal/rule/meter"
	"github.com/azurespan/azurespan/internal/rule/permit"
	"github.com/azurespan/azurespan/internal/rule/pick"
	"github.com/azurespan/azurespan/internal/rule/queue"
	"github.com/azurespan/azurespan/internal/rule/quota"
	"github.com/azurespan/azurespan/internal/rule/retry"
	"github.com/azurespan/azurespan/internal/rule/trial"
)

type (
	// Settings of a Relay.
	Settings struct {
		FailureDomain string
		// The retries to one service, summed over all daemons and within
		// RetryWindow, are limited to RetryRatio times the requests plus
		// RetrySlack.
		RetryRatio  float64
		RetryWindow time.Duration
		RetrySlack  float64
		// ConfigTTL is the age of the configuration up to which a key that it
		// doesn't have is taken for unknown, and KeyTTL the age up to which one
		// that it has is taken to hold; 0 for any age.
		ConfigTTL, KeyTTL time.Duration
		// Freshness returns how certain it is that the configuration is the
		// newest; nil if it always is.
		Freshness func() fleet.Freshness
		// RegisterAge returns the time since the register of upstreams was last known up
		// to its end; nil if it always is. If that is above RegisterTTL, an upstream may
		// have started again under its ID unnoticed.
		RegisterAge func() time.Duration
		RegisterTTL time.Duration
		// BodyMemory is the number of bytes that the buffered bodies of responses may take
		// together, beyond 64 KiB each; those of requests may take half of that in
		// addition. 0 stands for 64 MiB.
		BodyMemory int
		// Account is the daemon's memory account, of which responses take; nil if they
		// alone are bounded.
		Account *ration.Ration
		// Allowances are the bounds on the use of accounts, and BootClock a clock
		// that counts suspensions of the machine.
		Allowances issuer.Settings
		BootClock  func() time.Time
	}

	// Codec defines the HTTP form of requests and responses.
	Codec interface {
		DecodeRequest(r *http.Request, limit int) (*fleet.Request, error)
		EncodeRequest(q *fleet.Request, s fleet.Attempt) []byte
		Classify(q *fleet.Request, res *http.Response) fleet.Verdict
		// Notice returns what a response says of its upstream.
		Notice(res *http.Response) fleet.Notice
		// EncodeReportRequest returns a request for an engine's report, and DecodeBorn
		// from the response to it when that run of the engine started.
		EncodeReportRequest(up fleet.Upstream) []byte
		DecodeBorn(res *http.Response, body []byte) (int64, error)
		CopyHeader(dst, src http.Header)
		Refuse(w http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration)
	}

	// Origins knows at which software versions streams began.
	Origins interface {
		// Table returns what is known.
		Table() *origin.Table
		// Lookup adds to the table what the holder and the log know of the stream
		// with an ID, 0 for one that isn't named, until known returns true.
		Lookup(ctx context.Context, id uint64, known func() bool) error
	}

	// Relay is an http.Handler that forwards requests to upstreams. It is safe
	// for concurrent use.
	Relay struct {
		settings Settings
		codec    Codec
		pool     *http1.Pool
		metrics  *metric.Metrics
		now      func() time.Time
		config   atomic.Pointer[fleet.Config]
		// responseBodies and requestBodies bound the memory of buffered bodies, by
		// upstream and by the caller's address.
		responseBodies, requestBodies *ration.Ration

		mu       sync.Mutex
		table    *pick.Table
		queue    *queue.Queue
		suspects *poison.Table
		blame    *blame.Table
		origins  Origins
		endings  *endings
		limits   *quota.Table
		// permits are for the slots of contended engines.
		permits *permit.Table
		// unmet are the requests that were refused for want of slots, until their wait
		// would have ended.
		unmet []unmetRequest
		// alone is set while the daemon goes by itself at contended engines.
		alone bool
		// meter counts requests against the allowances of accounts, and metered
		// are those that wait for theirs, by account in the order of arrival.
		meter   *meter.Meter
		metered map[string][]*meteredRequest
		// delegates are the addresses of daemons that lend allowances while the holder
		// doesn't answer, and Unmetered is signalled when a request waits for one.
		// loanFailedAt is when none of them could be asked.
		delegates    []string
		loanFailedAt time.Time
		Unmetered    chan struct{}
		// weights are those of accounts in the queue.
		weights map[string]float64
		// usage counts what accounts use here.
		usage   *usage.Table
		rng     *rand.Rand
		budgets map[string]*retry.Budget
		// daemons is the number of daemons that share the budgets.
		// daemonsKnown is set once the holder has reported it; fewerSince is
		// the time since which the holder has reported a lower number.
		daemons      int
		daemonsKnown bool
		fewerSince   time.Time
		waiters      map[uint64]*waiter
		nextID       uint64
		// lastReply is the time of the last reply of the holder, the daemon that
		// orders loads. pendingLoads are the expected ends of its loads in
		// progress, by model, and boundLoads by model and software version.
		lastReply time.Time
		// lastDeal is the time of the last reply of a holder that deals permits
		// for upstreams with a rate limit.
		lastDeal     time.Time
		pendingLoads map[fleet.Key]time.Time
		boundLoads   map[fleet.VersionKey]time.Time
		// admissions is the revision of the origins for which the table knows the
		// versions at which streams may begin.
		admissions uint64
		// arrivals have not been reported to the holder yet.
		arrivals map[fleet.Key]int
		// slotTimes are the requests that ended, and haven't been reported either.
		slotTimes map[fleet.Key]fleet.SlotTime
		// judgedRev is the revision of suspects, and judgedBegun the number of
		// quarantines, for which the queued requests were last judged.
		judgedRev, judgedBegun uint64
		// trials are the suspects, and reviewedRev and reviewedListings the revision of
		// suspects and of the contested keys for which the waiting requests were last
		// reviewed.
		trials                        *trial.Table
		reviewedRev, reviewedListings uint64
		// unframed are the responses to suspects that ended with their connections
		// within unframedTime.
		unframed []unframedAnswer

		// ReportNow is signalled when there is something to report to the holder
		// at once.
		ReportNow chan struct{}
		// stopped is closed when queued requests are to be refused, and endsAt is when
		// the requests in progress are ended then.
		stopped chan struct{}
		endsAt  time.Time
		// serving ends with errStopping when the requests in progress are to be ended.
		serving    context.Context
		endServing context.CancelCauseFunc
	}
)

const (
	// replyPrecedence is how long after a reply of the holder its inventories
	// take precedence over the register.
	replyPrecedence = 1500 * time.Millisecond
	// dealTTL is the time since the last reply of a holder that deals permits
	// from which the daemon gives itself its share of rate limits.
	dealTTL = 1500 * time.Millisecond
	// limitedWait is the time for which a request must have waited for a permit
	// before its upstream counts as out of reach.
	limitedWait = 500 * time.Millisecond
	// runInterval is the interval at which Run dispatches queued requests.
	runInterval = 25 * time.Millisecond
	// ticksPerUpdate is the number of run intervals after which the gauges are
	// set and idle connections are closed: 1 s.
	ticksPerUpdate = 40
)

// New returns a Relay without configuration and upstreams. suspects holds what is
// known of requests that crash upstreams, and judge finds what they have in common.
// origins keeps streams at the version that began them.
func New(settings Settings, codec Codec, pool *http1.Pool, suspects *poison.Table, judge *blame.Table, origins Origins, metrics *metric.Metrics, rng *rand.Rand, now func() time.Time) *Relay {
	limits := quota.New()
	memory := settings.BodyMemory
	if memory == 0 {
		memory = defaultBodyMemory
	}
	responses := ration.New(memory, maxResponseBytes)
	if settings.Account != nil {
		responses = settings.Account.Part(memory, maxResponseBytes)
	}
	table := pick.New(pick.Settings{FailureDomain: settings.FailureDomain}, limits, rng)
	table.SetAdmission(origins.Table().Admits)
	permits := permit.New(rng)
	table.SetPermits(permits)
	waiting := queue.New()
	waiting.SetShared(table.IsShared)
	serving, endServing := context.WithCancelCause(context.Background())
	return &Relay{
		settings: settings, codec: codec, pool: pool, metrics: metrics, now: now, rng: rng,
		responseBodies: responses, requestBodies: ration.New(int(requestShare*float64(memory)), maxResponseBytes),
		table:    table,
		queue:    waiting,
		permits:  permits,
		suspects: suspects, blame: judge, trials: trial.New(now(), judge), origins: origins, endings: newEndings(), limits: limits,
		meter: meter.New(settings.Allowances, rand.Uint64()>>1), metered: map[string][]*meteredRequest{}, usage: usage.New(),
		budgets: map[string]*retry.Budget{}, daemons: assumedDaemons, waiters: map[uint64]*waiter{},
		pendingLoads: map[fleet.Key]time.Time{}, boundLoads: map[fleet.VersionKey]time.Time{}, arrivals: map[fleet.Key]int{}, slotTimes: map[fleet.Key]fleet.SlotTime{},
		// IDs of waiting requests are larger than those of an earlier process.
		nextID:    uint64(max(now().UnixNano(), 0)),
		ReportNow: make(chan struct{}, 1), Unmetered: make(chan struct{}, 1), stopped: make(chan struct{}), serving: serving, endServing: endServing,
	}
}

// Configure replaces the configuration.
func (r *Relay) Configure(cfg *fleet.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Configure(cfg)
	r.meter.SetAccounts(r.boot(), cfg.Accounts)
	r.weights = accountWeights(cfg.Accounts)
	r.configureUsage(cfg)
	r.config.Store(cfg)
}

// Config returns the configuration, nil before the first call of Configure.
func (r *Relay) Config() *fleet.Config { return r.config.Load() }

// SetUpstreams replaces the registered upstreams.
func (r *Relay) SetUpstreams(now time.Time, ups []fleet.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateAdmission()
	r.table.SetUpstreams(now, ups, now.Sub(r.lastReply) < replyPrecedence)
	r.dispatch(now)
}

// ApplyWatchReply applies a reply of the holder. Most replies say nothing that lets a queued
// request start.
func (r *Relay) ApplyWatchReply(now time.Time, reply *hub.WatchReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReply = now
	r.table.SetCopies(reply.Copies)
	news := len(reply.Copies) > 0 || reply.Running != nil
	if reply.Running != nil {
		r.table.SetRemoteRunning(reply.Running, reply.RestLoad)
	}
	clear(r.pendingLoads)
	clear(r.boundLoads)
	for _, c := range reply.Coming {
		end, k := now.Add(c.In), fleet.VersionKey{Key: c.Key, Version: c.Version}
		r.pendingLoads[c.Key] = end
		if first, ok := r.boundLoads[k]; !ok || end.Before(first) {
			r.boundLoads[k] = end
		}
	}
	r.setDaemons(now, reply.Daemons)
	r.applySlots(now, reply)
	if r.limits.Learn(now, reply.Limits) {
		news = true
		event.UpstreamLimit.Log("limited", r.limits.Count(), "source", "holder", "fence", reply.Fence)
	}
	r.refuseQuarantined(now)
	r.reviewTrials(now, false)
	if r.updateAdmission() || news {
		r.dispatch(now)
	}
}

// updateAdmission has the table know at which versions streams may begin, and reports
// whether that has changed. r.mu must be held.
func (r *Relay) updateAdmission() (changed bool) {
	origins := r.origins.Table()
	n := origins.Admissions()
	if n == r.admissions {
		return false
	}
	r.admissions = n
	r.table.SetAdmission(origins.Admits)
	return true
}

// refuseQuarantined ends the wait of queued requests that have been quarantined
// since the last call. Those that have come since were judged then. r.mu must be held.
func (r *Relay) refuseQuarantined(now time.Time) {
	rev := r.suspects.Rev()
	if rev == r.judgedRev {
		return
	}
	r.judgedRev = rev
	r.logQuarantines(now)
	begun := r.blame.Begun(now)
	if begun == r.judgedBegun {
		return
	}
	r.judgedBegun = begun
	for _, w := range r.waiters {
		if w.refused {
			continue
		}
		if key, _ := r.blame.Judge(now, w.attributes); key != "" {
			close(w.quarantined)
			w.refused = true
		}
	}
}

// LastReply returns the time of the last reply of the holder, zero if there was
// none.
func (r *Relay) LastReply() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReply
}

// TakeDemand returns what to report to the holder, and resets the counts.
func (r *Relay) TakeDemand(now time.Time) fleet.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := fleet.Demand{
		Arrivals: r.arrivals, Waiting: map[fleet.Key]int{}, Bound: map[fleet.VersionKey]int{}, Running: map[string]map[fleet.Key]int{},
		Unreachable: r.table.Unreachable(now), Limits: r.limits.Named(now), SlotTimes: r.slotTimes,
	}
	r.addUnmet(now, &d)
	r.addPermits(now, &d)
	r.addAsks(now, &d)
	d.Allowance, d.Trials = r.allowanceQuestion(), r.trials.Report(now)
	r.arrivals, r.slotTimes = map[fleet.Key]int{}, map[fleet.Key]fleet.SlotTime{}
	r.queue.CountByKey(d.Waiting)
	for _, w := range r.waiters {
		if w.query.Version != nil && !w.held {
			d.Bound[fleet.VersionKey{Key: w.query.Key, Version: *w.query.Version}]++
		}
	}
	r.table.Running(d.Running)
	return d
}

// Run dispatches queued requests, updates the gauges and closes connections to
// unknown upstreams until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	t := time.NewTicker(runInterval)
	defer t.Stop()
	ticks := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		now := r.now()
		r.mu.Lock()
		r.serveMetered()
		r.updateAdmission()
		r.limits.Accrue(now, r.daemons, now.Sub(r.lastDeal) < dealTTL)
		r.settleUnframed(now)
		if len(r.waiters) > 0 {
			r.refuseQuarantined(now)
			r.reviewAllTrials(now)
			r.dispatch(now)
		}
		if ticks++; ticks%ticksPerUpdate == 0 {
			r.updateGauges(now)
		}
		r.mu.Unlock()
		if ticks%ticksPerUpdate == 0 {
			r.pool.CloseIdle(func(key string) bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.table.Known(key)
			})
		}
	}
}

// updateGauges sets the gauges. r.mu must be held.
func (r *Relay) updateGauges(now time.Time) {
	r.metrics.WaitingRequests.Set(float64(len(r.waiters)))
	held, contested := r.trials.Held()
	r.metrics.HeldSuspects.Set(float64(held))
	r.metrics.ContestedAttributes.Set(float64(contested))
	if !r.lastReply.IsZero() {
		r.metrics.HolderAgeSeconds.Set(now.Sub(r.lastReply).Seconds())
	}
	r.logQuarantines(now)
	parts, others := r.blame.Count(now)
	r.metrics.CrashSuspects.Set(float64(r.suspects.Suspects(now)))
	r.metrics.Quarantined.Set(float64(others))
	r.metrics.QuarantinedParts.Set(float64(parts))
	r.metrics.LimitedUpstreams.Set(float64(r.limits.Count()))
	_, tokens := r.retryAllowance()
	for _, b := range r.budgets {
		tokens = min(tokens, b.Available(now))
	}
	r.metrics.RetryTokens.Set(tokens)
	r.updateAccountGauges(now)
}

// requestReport signals ReportNow without blocking.
func (r *Relay) requestReport() {
	select {
	case r.ReportNow <- struct{}{}:
	default:
	}
}
