package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/blame"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/link/rest"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/internal/node/gate"
	"github.com/azurespan/azurespan/internal/node/owner"
	"github.com/azurespan/azurespan/internal/node/waker"
	"github.com/azurespan/azurespan/internal/rule/admit"
	"github.com/azurespan/azurespan/internal/rule/retry"
	"github.com/azurespan/azurespan/internal/rule/route"
)

type (
	// Control is the part of the control stream's follower that a Router
	// needs.
	Control interface {
		View(func(l *ctrl.State))
		Status() (applied uint64, ready, logUp bool)
	}

	// Facts is the part of the gossip that a Router needs.
	Facts interface {
		Report(now time.Time, facts ...member.Fact)
		Do(func(m *member.Set))
	}

	// Waker loads models and adapters.
	Waker interface {
		Wake(ctx context.Context, q waker.Request) (string, error)
		Ensure(ctx context.Context, q owner.Request) error
	}

	// Engines opens, resumes and cancels token streams.
	Engines interface {
		Open(ctx context.Context, upstream, address string, r calls.Request) (*engine.Stream, error)
		Resume(ctx context.Context, upstream, address, requestID string, from int64) (*engine.Stream, error)
		Cancel(ctx context.Context, address, requestID string) error
		Report(ctx context.Context, address string) (engine.Report, error)
	}

	// Claims ensures that a non-idempotent call runs at most once.
	Claims interface {
		// Claim returns nil if the call may run now, the stored response of an
		// earlier run, or a *fault.Fault.
		Claim(ctx context.Context, c calls.ServiceCall) (*calls.ServiceResponse, error)
		// Done records the response of a run.
		Done(c calls.ServiceCall, r calls.ServiceResponse)
		// Withdraw releases a claim; only for a call that did not run.
		Withdraw(c calls.ServiceCall)
		// Forget is called instead of Done and Withdraw if the outcome of the call
		// is unknown.
		Forget(c calls.ServiceCall)
	}

	// Observer is notified of requests, for metrics and decision records.
	Observer interface {
		// Decided records a decision about a request.
		Decided(now time.Time, request, model, what, upstream, why string)
		// Queued records how long a request waited for a free sequence.
		Queued(class declare.Class, wait time.Duration)
		// ColdStart records how long a request waited for a load.
		ColdStart(class declare.Class, wait time.Duration)
	}

	// Settings of a Router. Zero fields stand for the defaults.
	Settings struct {
		FailureDomain string
		// ReportLag is the age assumed for a load report; default 1 s.
		ReportLag time.Duration
		// MaxRecoveries bounds how often one completion is continued after a
		// failure; default 6.
		MaxRecoveries int
		// SilenceTimeout is how long an engine may send neither an event nor a
		// comment before the answer is asked for elsewhere as well; default 5 s.
		SilenceTimeout time.Duration
		// MaxResponseBytes bounds the response of a plain service; default
		// 4 MiB.
		MaxResponseBytes int64
		// QuarantineDuration is how long a request that crashes upstreams is
		// refused; default 10 min.
		QuarantineDuration time.Duration
		// MaxQueued bounds the requests that wait for a free sequence;
		// default 1,024.
		MaxQueued int
	}

	// Router routes requests to upstreams. It is safe for concurrent use.
	Router struct {
		settings    Settings
		control     Control
		facts       Facts
		waker       Waker
		engines     Engines
		claims      Claims
		observer    Observer
		http        *http.Client
		retryPolicy *retry.Policy

		mu       sync.Mutex
		rng      *rand.Rand
		models   *route.Table
		services *route.Table
		suspects *poison.Table
		parts    *blame.Table
		budget   *retry.Budget
		// suspectsRunning counts the crash suspects on each upstream.
		suspectsRunning map[string]int
		gate            *gate.Gate
		// scalingUp has the models for which another replica was requested.
		scalingUp         map[string]bool
		configVersion     uint64
		declaredUpstreams map[string]bool
	}
)

// Defaults of Settings.
const (
	defaultReportLag        = time.Second
	defaultMaxRecoveries    = 6
	defaultSilenceTimeout   = 5 * time.Second
	defaultMaxResponseBytes = 4 << 20
)

// The retry budget gains retryRatio tokens a request and retryPerSecond tokens a
// second, and holds at most maxRetryTokens.
const (
	retryRatio     = 0.2
	retryPerSecond = 10
	maxRetryTokens = 100
)

// New returns a Router.
func New(s Settings, ctl Control, f Facts, w Waker, e Engines, c Claims, hc *http.Client, rng *rand.Rand, obs Observer) *Router {
	if s.ReportLag == 0 {
		s.ReportLag = defaultReportLag
	}
	if s.MaxRecoveries == 0 {
		s.MaxRecoveries = defaultMaxRecoveries
	}
	if s.SilenceTimeout == 0 {
		s.SilenceTimeout = defaultSilenceTimeout
	}
	if s.MaxResponseBytes == 0 {
		s.MaxResponseBytes = defaultMaxResponseBytes
	}
	rt := &Router{
		settings: s, control: ctl, facts: f, waker: w, engines: e, claims: c, observer: obs, http: rest.NewClient(hc),
		retryPolicy: retry.New(retry.Policy{}), rng: rng,
		models:          route.New(route.Settings{FailureDomain: s.FailureDomain}),
		services:        route.New(route.Settings{FailureDomain: s.FailureDomain}),
		suspects:        poison.New(poison.Settings{Retention: s.QuarantineDuration}, 0),
		budget:          retry.NewBudget(retryRatio, retryPerSecond, maxRetryTokens),
		suspectsRunning: map[string]int{}, scalingUp: map[string]bool{}, declaredUpstreams: map[string]bool{},
	}
	rt.parts = blame.New(rt.suspects)
	rt.gate = gate.New(admit.Settings{MaxLength: s.MaxQueued}, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())), rt.capacity)
	return rt
}

// Run admits queued requests until ctx ends.
func (rt *Router) Run(ctx context.Context) error { return rt.gate.Run(ctx) }

// capacity returns the capacity for a model, given as model@version.
func (rt *Router) capacity(_ time.Time, model string) gate.Capacity {
	name, version, _ := strings.Cut(model, "@")
	rt.mu.Lock()
	defer rt.mu.Unlock()
	sequences, free, replicas := rt.models.Capacity(name, version)
	return gate.Capacity{Sequences: sequences, Free: free, Loaded: replicas > 0}
}

// Config returns the current configuration, nil before the first publication.
func (rt *Router) Config() *declare.Index {
	var x *declare.Index
	rt.control.View(func(l *ctrl.State) {
		if l.Version() > 0 {
			x = l.Config()
		}
	})
	return x
}

// Missing returns what is missing before requests can be served.
func (rt *Router) Missing() []string {
	if rt.Config() == nil {
		return []string{"configuration"}
	}
	return nil
}

// Refresh updates the routing tables after a new configuration was published.
func (rt *Router) Refresh(now time.Time) {
	var x *declare.Index
	var version uint64
	rt.control.View(func(l *ctrl.State) { x, version = l.Config(), l.Version() })
	rt.mu.Lock()
	if version == rt.configVersion {
		rt.mu.Unlock()
		return
	}
	rt.configVersion = version
	gone := rt.declaredUpstreams
	rt.declaredUpstreams = map[string]bool{}
	for i := range x.Deployment.Upstreams {
		u := &x.Deployment.Upstreams[i]
		rt.declaredUpstreams[u.Name] = true
		delete(gone, u.Name)
		if s := x.Service(u.Service); s != nil && s.Kind == declare.PlainService {
			rt.services.SetReport(route.Report{
				Upstream: u.Name, FailureDomain: u.FailureDomain, At: now, Sequences: sequencesOf(u),
				Models: []route.LoadedModel{{Model: s.Name}},
			})
		}
	}
	for name := range gone {
		rt.models.Remove(name)
		rt.services.Remove(name)
	}
	rt.mu.Unlock()
	for i := range x.Deployment.Upstreams {
		rt.refreshUpstream(now, x.Deployment.Upstreams[i].Name)
	}
}

// sequencesOf returns the number of requests that an upstream runs at once.
func sequencesOf(u *declare.Upstream) int {
	if u.Sequences > 0 {
		return u.Sequences
	}
	return declare.DefaultSequences
}

// OnFacts applies changed facts to the routing and suspect tables.
func (rt *Router) OnFacts(now time.Time, changed []member.Fact) {
	for _, f := range changed {
		switch f.Kind {
		case member.Upstream, member.UpstreamLoad:
			rt.refreshUpstream(now, f.Name)
		case member.SuspectRequest:
			rt.suspects.Merge(now, f.History())
		case member.Daemon, member.ModelLoads:
		}
	}
}

// refreshUpstream updates the routing entry of an upstream from the facts.
func (rt *Router) refreshUpstream(now time.Time, name string) {
	var up, load member.Fact
	var known bool
	rt.facts.Do(func(m *member.Set) {
		up, known = m.Get(member.Key{Kind: member.Upstream, Name: name})
		load, _ = m.Get(member.Key{Kind: member.UpstreamLoad, Name: name})
	})
	x := rt.Config()
	if !known || x == nil || x.Upstream(name) == nil {
		return
	}
	d := x.Upstream(name)
	if s := x.Service(d.Service); s != nil && s.Kind == declare.PlainService {
		rt.mu.Lock()
		defer rt.mu.Unlock()
		rt.services.SetHealth(name, healthOf(up.Status))
		return
	}
	r := route.Report{
		Upstream: name, FailureDomain: d.FailureDomain, Incarnation: up.Incarnation,
		At: now.Add(-rt.settings.ReportLag), Sequences: sequencesOf(d), Running: load.Running, Queued: load.Queued,
	}
	for _, l := range up.Loaded {
		r.Models = append(r.Models, route.LoadedModel{Model: l.Model, Version: l.Version, Adapters: l.Adapters})
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.models.SetReport(r)
	rt.models.SetHealth(name, healthOf(up.Status))
}

// healthOf converts a member status for the routing table.
func healthOf(s member.Status) route.Health {
	switch s {
	case member.Alive, member.Slow:
		return route.Live
	case member.Suspect:
		return route.Suspect
	case member.Leaving:
		return route.Leaving
	default:
		return route.Down
	}
}

// deadlinePassed returns the fault for a request whose deadline has passed. phase
// completes "the deadline passed while".
func deadlinePassed(phase string, run fault.Run) *fault.Fault {
	return fault.New(fault.DeadlinePassed, "the deadline passed while %s", phase).WithRun(run)
}

// jitter returns a random delay in [d/2, 3d/2), so that callers that were refused
// at the same time do not retry at the same time.
func (rt *Router) jitter(d time.Duration) time.Duration {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return d/2 + time.Duration(rt.rng.Int64N(int64(d)))
}
