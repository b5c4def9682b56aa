package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/internal/node/owner"
	"github.com/azurespan/azurespan/internal/node/waker"
	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/service/servsv"
)

type (
	// site is a Router with engines and a plain service that run in this
	// process. It implements the Router's dependencies; its waker loads models
	// without any policy.
	site struct {
		t        *testing.T
		state    *ctrl.State
		facts    *member.Set
		mu       sync.Mutex
		engines  map[string]*engsv.Server
		services map[string]*servsv.Server
		client   *engine.Client
		router   *Router
		claims   fakeClaims
		wakeErr  error
		// wakeOn is the only engine on which Wake loads, empty for any.
		wakeOn string
	}

	fakeClaims struct {
		mu                         sync.Mutex
		refuse                     error
		done, withdrawn, forgotten int
	}

	nopObserver struct{}
)

func (nopObserver) Decided(time.Time, string, string, string, string, string) {}
func (nopObserver) Queued(declare.Class, time.Duration)                       {}
func (nopObserver) ColdStart(declare.Class, time.Duration)                    {}

func (f *fakeClaims) Claim(context.Context, calls.ServiceCall) (*calls.ServiceResponse, error) {
	return nil, f.refuse
}

func (f *fakeClaims) Done(calls.ServiceCall, calls.ServiceResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done++
}

func (f *fakeClaims) Withdraw(calls.ServiceCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdrawn++
}

func (f *fakeClaims) Forget(calls.ServiceCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgotten++
}

func (s *site) View(fn func(*ctrl.State)) { fn(s.state) }

func (s *site) Status() (uint64, bool, bool) { return s.state.Applied(), true, true }

func (s *site) Report(now time.Time, fs ...member.Fact) {
	s.mu.Lock()
	var changed []member.Fact
	for _, f := range fs {
		if s.facts.Observe(now, f) {
			changed = append(changed, f)
		}
	}
	s.mu.Unlock()
	s.router.OnFacts(now, changed)
}

func (s *site) Do(fn func(*member.Set)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.facts)
}

// Wake loads the model on the first engine that accepts the order.
func (s *site) Wake(ctx context.Context, q waker.Request) (string, error) {
	if s.wakeErr != nil {
		return "", s.wakeErr
	}
	var last error
	for name := range s.engines {
		if s.wakeOn != "" && name != s.wakeOn {
			continue
		}
		if last = s.Ensure(ctx, owner.Request{Upstream: name, Model: q.Model, Version: q.Version}); last == nil {
			return name, nil
		}
	}
	return "", last
}

func (s *site) Ensure(ctx context.Context, q owner.Request) error {
	e := s.engines[q.Upstream]
	od := engine.Order{ID: fmt.Sprint(rand.Uint64()), Fencing: 1, Kind: engine.Load, Model: q.Model, Version: q.Version, MemoryBytes: 1}
	for {
		err := s.client.Order(ctx, e.Address(), od)
		if err == nil {
			break
		}
		// An order that fails because of a crash is retried, as the owner and
		// the waker do, unless no process listens any more.
		var ee *engine.Error
		if !errors.As(err, &ee) || ee.Kind != engine.Unreachable || errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil {
			return err
		}
		pause.For(ctx, time.Millisecond)
	}
	s.reportLoaded(q.Upstream)
	return nil
}

// reportLoaded reports what an engine has loaded, as its owner would.
func (s *site) reportLoaded(name string) {
	r, err := s.client.Report(s.t.Context(), s.engines[name].Address())
	if err != nil {
		return
	}
	f := member.Fact{Kind: member.Upstream, Name: name, Domain: "a", Status: member.Alive, Incarnation: incarnation(r)}
	for _, m := range r.Replicas {
		f.Loaded = append(f.Loaded, member.Replica{Model: m.Model, Version: m.Version})
	}
	s.Report(time.Now(), f)
}

// newSite starts n engines and one plain service.
func newSite(t *testing.T, n int) *site {
	t.Helper()
	s := &site{
		t: t, state: ctrl.New(), client: engine.New(nil), engines: map[string]*engsv.Server{}, services: map[string]*servsv.Server{},
		facts: member.New(time.Now(), member.Fact{Name: "d/1", Domain: "a"}, member.Settings{}),
	}
	d := &declare.Deployment{
		Name: "test", FailureDomains: []string{"a"},
		Services: []declare.Service{
			{Name: "chat", Kind: declare.ModelService},
			{Name: "desk", Kind: declare.PlainService, Calls: []declare.Call{
				{Method: "POST", PathPrefix: "/bookings", NonIdempotent: true}, {Method: "GET", PathPrefix: "/availability"},
			}},
		},
		Models: []declare.Model{{Name: "m", Services: []string{"chat"}, Version: "v1", Versions: []declare.Version{{Name: "v1", WeightBytes: 1}}, Replicas: n}},
	}
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		e, err := engsv.Start("", engsv.Config{Name: name, TokensPerSecond: 4000, RemoteLoad: time.Millisecond})
		must.NoError(t, err)
		t.Cleanup(e.Kill)
		s.engines[name] = e
		d.Upstreams = append(d.Upstreams, declare.Upstream{Name: name, Service: "chat", FailureDomain: "a", Address: e.Address(), MemoryBytes: 1 << 30, Accelerators: 1})
	}
	v, err := servsv.Start("", servsv.Config{Name: "desk"})
	must.NoError(t, err)
	t.Cleanup(v.Kill)
	s.services["desk-1"] = v
	d.Upstreams = append(d.Upstreams, declare.Upstream{Name: "desk-1", Service: "desk", FailureDomain: "a", Address: v.Address()})
	must.NoError(t, d.Validate())
	var b bytes.Buffer
	must.NoError(t, d.Encode(&b))
	s.state.Apply(1, record.Publish{Config: b.Bytes()})
	s.router = New(Settings{FailureDomain: "a", ReportLag: time.Millisecond}, s, s, s, s.client, &s.claims, nil, rand.New(rand.NewPCG(1, 1)), nopObserver{})
	s.router.Refresh(time.Now())
	go func() { _ = s.router.Run(t.Context()) }()
	return s
}

// chat returns a request for n tokens.
func chat(id, prompt string, n int) calls.Request {
	body, _ := json.Marshal(map[string]any{
		"model": "m", "max_tokens": n, "ignore_eos": true, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return calls.Request{
		ID: id, Model: "m", Version: "v1", Class: declare.Urgent, Deadline: time.Now().Add(20 * time.Second),
		Body: body, Fingerprint: rand.Uint64(),
	}
}
