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
	// Control is the part of the control stream's follower that a Broker
	// needs.
	Control interface {
		View(func(l *ctrl.State))
		Status() (applied uint64, ready, logUp bool)
	}

	// Facts is the part of the gossip that a Broker needs.
	Facts interface {
		Report(now time.Time, facts ...member.Fact)
		Do(func(m *member.Set))
	}

	// Waker loads models and adapters.
	Waker interface {
		Wake(ctx context.Context, q waker.Request) (string, error)
		Ensure(ctx context.Context, q owner.Request) error
	}

	// Engines opens and resumes token streams.
	Engines interface {
		Open(ctx context.Context, upstream, address string, r calls.Request) (calls.Stream, error)
		Resume(ctx context.Context, upstream, address, requestID string, from int64) (calls.Stream, error)
		Report(ctx context.Context, address string) (engine.Report, error)
	}

	// Claims hands out the right to run a non-idempotent call once.
	Claims interface {
		// Claim returns nil if the call may run now, the stored answer of an
		// earlier run, or a *fault.Fault.
		Claim(ctx context.Context, c calls.ServiceCall) (*calls.ServiceResponse, error)
		// Done records the answer of a run.
		Done(c calls.ServiceCall, a calls.ServiceResponse)
		// Withdraw gives a claim back; only for a call that did not run.
		Withdraw(c calls.ServiceCall)
	}

	// Observer hears of requests, for metrics and decision records.
	Observer interface {
		// Decided records a decision about a request.
		Decided(now time.Time, request, model, what, upstream, why string)
		// Queued records how long a request waited for a free sequence.
		Queued(class declare.Class, wait time.Duration)
		// Cold records that a request waited for a load.
		ColdStart(class declare.Class, wait time.Duration)
	}

	// Settings of a Broker. Zero fields stand for the defaults.
	Settings struct {
		FailureDomain string
		// ReportLag is the age assumed for a load report; default 1 s.
		ReportLag time.Duration
		// Recoveries bounds how often one answer is continued after a
		// failure; default 6.
		MaxRecoveries int
		// MaxAnswerBytes bounds the answer of a plain service; default 4 MiB.
		MaxResponseBytes int64
		// QuarantineFor is the time that a request which crashes upstreams
		// is refused; default 10 min.
		QuarantineDuration time.Duration
		// Queue bounds the requests that wait for a free sequence; default
		// 1,024.
		MaxQueued int
	}

	// Broker serves requests. It is safe for concurrent use.
	Router struct {
		set    Settings
		ctl    Control
		facts  Facts
		waker  Waker
		eng    Engines
		claims Claims
		obs    Observer
		http   *http.Client
		policy *retry.Policy

		mu       sync.Mutex
		rng      *rand.Rand
		models   *route.Table
		services *route.Table
		suspects *poison.Table
		budget   *retry.Budget
		// running counts the crash suspects on each upstream.
		running map[string]int
		gate    *gate.Gate
		// growing holds the models for which another replica is requested.
		growing  map[string]bool
		version  uint64
		declared map[string]bool
	}
)

// New returns a Broker.
func New(s Settings, ctl Control, f Facts, w Waker, e Engines, c Claims, hc *http.Client, rng *rand.Rand, obs Observer) *Router {
	if s.ReportLag == 0 {
		s.ReportLag = time.Second
	}
	if s.MaxRecoveries == 0 {
		s.MaxRecoveries = 6
	}
	if s.MaxResponseBytes == 0 {
		s.MaxResponseBytes = 4 << 20
	}
	b := &Router{
		set: s, ctl: ctl, facts: f, waker: w, eng: e, claims: c, obs: obs, http: rest.Client(hc),
		policy: retry.New(retry.Policy{}), rng: rng,
		models:   route.New(route.Settings{FailureDomain: s.FailureDomain}),
		services: route.New(route.Settings{FailureDomain: s.FailureDomain}),
		suspects: poison.New(s.QuarantineDuration),
		budget:   retry.NewBudget(0.2, 10, 100),
		running:  map[string]int{}, growing: map[string]bool{}, declared: map[string]bool{},
	}
	b.gate = gate.New(admit.Settings{MaxLength: s.MaxQueued}, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())), b.capacity)
	return b
}

// Run serves the queue until ctx ends.
func (b *Router) Run(ctx context.Context) error { return b.gate.Run(ctx) }

// capacity returns what serves a model, given as model@version.
func (b *Router) capacity(_ time.Time, model string) gate.Capacity {
	name, version, _ := strings.Cut(model, "@")
	b.mu.Lock()
	defer b.mu.Unlock()
	sequences, free, replicas := b.models.Capacity(name, version)
	return gate.Capacity{Sequences: sequences, Free: free, Loaded: replicas > 0}
}

// Config returns the configuration in force, nil before the first.
func (b *Router) Config() *declare.Index {
	var x *declare.Index
	b.ctl.View(func(l *ctrl.State) {
		if l.Version() > 0 {
			x = l.Config()
		}
	})
	return x
}

// Ready names what is missing before requests can be served.
func (b *Router) Missing() []string {
	if b.Config() == nil {
		return []string{"configuration"}
	}
	return nil
}

// Refresh updates the routing tables after a publication.
func (b *Router) Refresh(now time.Time) {
	var x *declare.Index
	var version uint64
	b.ctl.View(func(l *ctrl.State) { x, version = l.Config(), l.Version() })
	b.mu.Lock()
	if version == b.version {
		b.mu.Unlock()
		return
	}
	b.version = version
	gone := b.declared
	b.declared = map[string]bool{}
	for i := range x.Deployment.Upstreams {
		u := &x.Deployment.Upstreams[i]
		b.declared[u.Name] = true
		delete(gone, u.Name)
		if s := x.Service(u.Service); s != nil && s.Kind == declare.PlainService {
			b.services.SetReport(route.Report{
				Upstream: u.Name, FailureDomain: u.FailureDomain, At: now, Sequences: sequences(u),
				Models: []route.LoadedModel{{Model: s.Name}},
			})
		}
	}
	for name := range gone {
		b.models.Remove(name)
		b.services.Remove(name)
	}
	b.mu.Unlock()
	for i := range x.Deployment.Upstreams {
		b.refreshUpstream(now, x.Deployment.Upstreams[i].Name)
	}
}

func sequences(u *declare.Upstream) int {
	if u.Sequences > 0 {
		return u.Sequences
	}
	return declare.DefaultSequences
}

// OnFacts takes changed facts over into the routing and suspect tables.
func (b *Router) OnFacts(now time.Time, changed []member.Fact) {
	for _, f := range changed {
		switch f.Kind {
		case member.Upstream, member.UpstreamLoad:
			b.refreshUpstream(now, f.Name)
		case member.SuspectRequest:
			b.mu.Lock()
			e := poison.Entry{Fingerprint: f.Name}
			for _, c := range f.Crashes {
				e.Crashes = append(e.Crashes, poison.Crash{ID: c.ID, At: time.UnixMilli(c.AtMS), Progress: c.Progress})
			}
			b.suspects.Set(e)
			b.mu.Unlock()
		case member.Daemon, member.ModelLoads:
		}
	}
}

// refreshUpstream rebuilds the routing entry of an engine from the facts.
func (b *Router) refreshUpstream(now time.Time, name string) {
	var up, load member.Fact
	var known bool
	b.facts.Do(func(m *member.Set) {
		up, known = m.Get(member.Key{Kind: member.Upstream, Name: name})
		load, _ = m.Get(member.Key{Kind: member.UpstreamLoad, Name: name})
	})
	x := b.Config()
	if !known || x == nil || x.Upstream(name) == nil {
		return
	}
	d := x.Upstream(name)
	if s := x.Service(d.Service); s != nil && s.Kind == declare.PlainService {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.services.SetHealth(name, health(up.Status))
		return
	}
	r := route.Report{
		Upstream: name, FailureDomain: d.FailureDomain, Incarnation: up.Incarnation,
		At: now.Add(-b.set.ReportLag), Sequences: sequences(d), Running: load.Running, Queued: load.Queued,
	}
	for _, l := range up.Loaded {
		r.Models = append(r.Models, route.LoadedModel{Model: l.Model, Version: l.Version, Adapters: l.Adapters})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.models.SetReport(r)
	b.models.SetHealth(name, health(up.Status))
}

func health(s member.Status) route.Health {
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

// passed is the fault for a request whose deadline has come.
func passed(what string, run fault.Run) *fault.Fault {
	return fault.New(fault.DeadlinePassed, "the deadline passed while %s", what).WithRun(run)
}

// jitter returns a delay in [d/2, 3d/2), which spreads callers that were
// refused at the same time.
func (b *Router) jitter(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return d/2 + time.Duration(b.rng.Int64N(int64(d)))
}
