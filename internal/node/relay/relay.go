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
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/rule/pick"
	"github.com/azurespan/azurespan/internal/rule/queue"
	"github.com/azurespan/azurespan/internal/rule/retry"
)

type (
	// Settings of a Relay.
	Settings struct {
		FailureDomain string
		// RetryRatio, RetryWindow and RetrySlack bound repeated sends to a
		// service, summed over all daemons.
		RetryRatio  float64
		RetryWindow time.Duration
		RetrySlack  float64
	}

	// Wire is the form of callers' requests and of answers.
	Codec interface {
		DecodeRequest(r *http.Request, limit int) (*fleet.Request, error)
		EncodeRequest(q *fleet.Request, s fleet.Attempt) []byte
		Classify(q *fleet.Request, res *http.Response) fleet.Verdict
		CopyHeader(dst, src http.Header)
		Refuse(w http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration)
	}

	// Relay serves requests. It is safe for concurrent use.
	Relay struct {
		set  Settings
		wire Codec
		pool *http1.Pool
		met  *metric.Metrics
		now  func() time.Time
		cfg  atomic.Pointer[fleet.Config]

		mu      sync.Mutex
		table   *pick.Table
		line    *queue.Queue
		poison  *poison.Table
		rng     *rand.Rand
		budgets map[string]*retry.Budget
		// daemons share the budgets; counted is set once the holder has told
		// their number, and fewerSince is since when it tells a lower one.
		daemons    int
		counted    bool
		fewerSince time.Time
		waiters    map[uint64]*waiter
		nextID     uint64
		// heard is when the holder was last heard, coming its loads under
		// way, by model.
		heard  time.Time
		coming map[fleet.Key]time.Time
		// arrivals, crashes and cleared have not been told yet.
		arrivals map[fleet.Key]int
		crashes  map[string]bool
		cleared  map[string]bool

		// Kick wakes whoever tells the holder.
		ReportNow chan struct{}
		// stopped is closed when no request may wait any more.
		stopped chan struct{}
	}

	waiter struct {
		item  *queue.Item
		query *pick.Query
		ready chan pick.Choice
	}
)

const (
	// budgetShare is the share of the agreed retry budget that is used; the
	// rest covers what daemons don't know of each other.
	budgetShare = 0.8
	// assumedDaemons is used until the holder has told how many there are.
	assumedDaemons = 16
	// fewerAfter is how long a lower number of daemons must last before their
	// parts of the budget are shared out: longer than a retry window.
	fewerAfter = 20 * time.Second
	// heardFor is how long what the holder said goes before the register.
	heardFor = 1500 * time.Millisecond
	// quarantine is how long a request that crashes upstreams is refused.
	quarantine = time.Minute
	// crashLimit is the number of crashes from which a request is refused,
	// whatever ran beside it.
	crashLimit = 3
	// housekeeping is the interval of Run.
	housekeeping = 25 * time.Millisecond
	// observeEvery is the number of rounds between two looks at the gauges and
	// the idle connections.
	observeEvery = 40
)

// New returns a Relay without configuration and upstreams.
func New(set Settings, w Codec, pool *http1.Pool, met *metric.Metrics, rng *rand.Rand, now func() time.Time) *Relay {
	return &Relay{
		set: set, wire: w, pool: pool, met: met, now: now, rng: rng,
		table:   pick.New(pick.Settings{FailureDomain: set.FailureDomain}, rng),
		line:    queue.New(),
		poison:  poison.New(quarantine),
		budgets: map[string]*retry.Budget{}, daemons: assumedDaemons, waiters: map[uint64]*waiter{},
		coming: map[fleet.Key]time.Time{}, arrivals: map[fleet.Key]int{},
		crashes: map[string]bool{}, cleared: map[string]bool{}, ReportNow: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
}

// Configure puts a configuration in force.
func (r *Relay) Configure(cfg *fleet.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Configure(cfg)
	r.cfg.Store(cfg)
}

// Config returns the configuration in force, nil before the first.
func (r *Relay) Config() *fleet.Config { return r.cfg.Load() }

// SetUpstreams replaces the registered upstreams.
func (r *Relay) SetUpstreams(now time.Time, ups []fleet.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetUpstreams(ups, now.Sub(r.heard) < heardFor)
	r.serve(now)
}

// Hear takes over what the holder says.
func (r *Relay) ApplyWatchReply(now time.Time, h *hub.WatchReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = now
	r.table.SetCopies(h.Copies)
	if h.Running != nil {
		r.table.SetRemoteRunning(h.Running)
	}
	clear(r.coming)
	for _, c := range h.Coming {
		r.coming[c.Key] = now.Add(c.In)
	}
	r.count(now, h.Daemons)
	for _, c := range h.Crashes {
		r.poison.Set(c)
	}
	r.serve(now)
}

// Waits reports whether a request waits.
func (r *Relay) HasWaiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.line.Len() > 0
}

// count takes over how many daemons share the retry budget. A lower number holds
// only after it has lasted: in a cut, the daemons on the other side still use
// their parts; r.mu is held.
func (r *Relay) count(now time.Time, daemons int) {
	if daemons == 0 {
		return
	}
	if daemons >= r.daemons || !r.counted {
		r.fewerSince = now
	}
	if daemons == r.daemons || r.counted && daemons < r.daemons && now.Sub(r.fewerSince) < fewerAfter {
		return
	}
	r.daemons, r.counted = daemons, true
	r.table.SetDaemons(daemons)
	for _, b := range r.budgets {
		b.Resize(r.slack())
	}
}

// Demand returns what to tell the holder, and starts counting anew.
func (r *Relay) TakeDemand(now time.Time) (d fleet.Demand, crashes []poison.Entry, cleared []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d = fleet.Demand{
		Arrivals: r.arrivals, Waiting: map[fleet.Key]int{}, Running: map[string]map[fleet.Key]int{},
		Unreachable: r.table.Ejected(now),
	}
	r.arrivals = map[fleet.Key]int{}
	r.line.CountByKey(d.Waiting)
	r.table.Running(d.Running)
	for fp := range r.crashes {
		crashes = append(crashes, r.poison.Entry(fp))
	}
	for fp := range r.cleared {
		cleared = append(cleared, fp)
	}
	clear(r.crashes)
	clear(r.cleared)
	return d, crashes, cleared
}

// Stop refuses the requests that wait, now and later, since the daemon ends
// before they could be answered.
func (r *Relay) Stop() { close(r.stopped) }

// Run looks at the waiting requests and at idle connections until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	t := time.NewTicker(housekeeping)
	defer t.Stop()
	n := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		now := r.now()
		r.mu.Lock()
		if r.line.Len() > 0 {
			r.serve(now)
		}
		if n++; n%observeEvery == 0 {
			r.observe(now)
		}
		r.mu.Unlock()
		if n%observeEvery == 0 {
			r.pool.Forget(func(key string) bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.table.Known(key)
			})
		}
	}
}

// observe sets the gauges; r.mu is held.
func (r *Relay) observe(now time.Time) {
	r.met.WaitingRequests.Set(float64(r.line.Len()))
	if !r.heard.IsZero() {
		r.met.HolderAgeSeconds.Set(now.Sub(r.heard).Seconds())
	}
	_, least := r.slack()
	for _, b := range r.budgets {
		least = min(least, b.Available(now))
	}
	r.met.RetryTokens.Set(least)
}

// serve gives waiting requests to the upstreams that can run them; r.mu is
// held.
func (r *Relay) serve(now time.Time) {
	if r.line.Len() == 0 {
		return
	}
	r.line.Dispatch(now, func(it *queue.Item) bool {
		w := r.waiters[it.ID]
		c, why := r.table.Choose(now, w.query)
		if why != pick.Found {
			return false
		}
		r.table.Start(c.Upstream.ID, w.query.Key)
		delete(r.waiters, it.ID)
		w.ready <- c
		return true
	})
}

// kick wakes whoever tells the holder, without waiting.
func (r *Relay) kick() {
	select {
	case r.ReportNow <- struct{}{}:
	default:
	}
}

// budget returns the retry budget of a service; r.mu is held.
func (r *Relay) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		perSecond, limit := r.slack()
		b = retry.NewBudget(budgetShare*r.set.RetryRatio, perSecond, limit)
		r.budgets[service] = b
	}
	return b
}

// slack returns this daemon's part of the agreed slack: half of it at once and
// half over the window; r.mu is held.
func (r *Relay) slack() (perSecond, limit float64) {
	part := budgetShare * r.set.RetrySlack / float64(max(r.daemons, 1))
	return part / 2 / r.set.RetryWindow.Seconds(), part / 2
}

// again takes a token of the retry budget.
func (r *Relay) again(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ok := r.budget(service).Take(now, 0)
	if !ok {
		event.RetryBudgetUsed.Log("service", service, "daemons", r.daemons)
	}
	return ok
}
