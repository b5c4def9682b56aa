package owner

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/engine"
)

type (
	// control is an in-memory control stream that several owners share.
	control struct {
		mu      sync.Mutex
		state   *ctrl.State
		down    bool
		changed chan struct{}
		// before is called before a record takes effect.
		before func(r record.Record)
	}

	// engines is one engine, which records its orders and what is loaded.
	engines struct {
		mu      sync.Mutex
		loaded  map[string]bool
		orders  []engine.Order
		streams map[string]int
		err     error
		// during is called before an order takes effect.
		during func(o engine.Order)
		// after is called after an order took effect, before its answer.
		after func(o engine.Order)
	}

	// facts is a set of facts without peers.
	facts struct {
		mu  sync.Mutex
		set *member.Set
	}

	// noop is a LoadLimiter without limits and an Observer that does nothing.
	noop struct{}
)

func (c *control) View(fn func(*ctrl.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.state)
}

func (c *control) Append(_ context.Context, r record.Record) (ctrl.Outcome, error) {
	if c.before != nil {
		c.before(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return ctrl.Outcome{}, fault.New(fault.LogUnavailable, "down")
	}
	out := c.state.Apply(c.state.Applied()+1, r)
	close(c.changed)
	c.changed = make(chan struct{})
	return out, nil
}

func (c *control) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *control) Status() (uint64, bool, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Applied(), true, !c.down
}

func (e *engines) Order(_ context.Context, address string, o engine.Order) error {
	if e.during != nil {
		e.during(o)
	}
	defer func() {
		if e.after != nil {
			e.after(o)
		}
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	k := o.Model + "@" + o.Version
	switch {
	case e.err != nil:
		return e.err
	case o.Kind == engine.Load:
		e.loaded[k] = true
	case o.Kind == engine.Unload && e.streams[k] > 0:
		return &engine.Error{Kind: engine.Busy, Address: address, Reached: true}
	case o.Kind == engine.Unload:
		delete(e.loaded, k)
	}
	return nil
}

func (e *engines) Report(context.Context, string) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err != nil {
		return engine.Report{}, e.err
	}
	return engine.Report{Incarnation: 1}, nil
}

func (f *facts) Report(now time.Time, fs ...member.Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range fs {
		f.set.Observe(now, x)
	}
}

func (f *facts) Do(fn func(*member.Set)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn(f.set)
}

func (noop) Acquire(context.Context, declare.Class, time.Time, int64) (func(bool), error) {
	return func(bool) {}, nil
}
func (noop) AcquireAdapter(context.Context) (func(), error)   { return func() {}, nil }
func (noop) Loaded(time.Time, ctrl.GrantKey, time.Duration)   {}
func (noop) Unloaded(time.Time, ctrl.GrantKey, time.Duration) {}
func (noop) Idle(time.Duration)                               {}
func (noop) Placed(time.Time, string, ctrl.GrantKey, string)  {}

// fixture returns a control stream with one engine u, which ignores fencing
// numbers and has memory for two replicas, and with models m, n and o of one
// replica each.
func fixture(t *testing.T) (*control, *engines) {
	t.Helper()
	d := &declare.Deployment{
		Name: "test", FailureDomains: []string{"a"},
		Services: []declare.Service{{Name: "s", Kind: declare.ModelService}},
		Upstreams: []declare.Upstream{{
			Name: "u", Service: "s", FailureDomain: "a", Address: "127.0.0.1:1", MemoryBytes: 200, Accelerators: 1, IgnoresFencing: true,
		}},
	}
	for _, m := range []string{"m", "n", "o"} {
		d.Models = append(d.Models, declare.Model{
			Name: m, Services: []string{"s"}, Version: "v1", Versions: []declare.Version{{Name: "v1", WeightBytes: 80}}, KVBytes: 20, Replicas: 1,
		})
	}
	must.NoError(t, d.Validate())
	var b bytes.Buffer
	must.NoError(t, d.Encode(&b))
	c := &control{state: ctrl.New(), changed: make(chan struct{})}
	c.state.Apply(1, record.Publish{Publication: "p", Config: b.Bytes()})
	return c, &engines{loaded: map[string]bool{}, streams: map[string]int{}}
}

// newOwner returns the Owner of the daemon name, which knows the given live
// daemons.
func newOwner(c *control, e *engines, name string, live ...string) *Owner {
	now := time.UnixMilli(1_000_000)
	set := member.New(now, member.Fact{Name: name, Domain: "a"}, member.Settings{})
	for _, daemon := range live {
		set.Merge(now, []member.Fact{{Kind: member.Daemon, Name: daemon, Domain: "a", Status: member.Alive, Counter: 1}})
	}
	return New(now, Settings{Self: name, FailureDomain: "a", ReportInterval: time.Millisecond}, c, e, &facts{set: set}, noop{}, noop{})
}

func request(model string) Request {
	return Request{Upstream: "u", Model: model, Version: "v1", Class: declare.Urgent}
}
