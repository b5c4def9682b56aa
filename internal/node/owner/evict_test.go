package owner

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/engine"
)

var keyM = ctrl.GrantKey{Upstream: "u", Model: "m", Version: "v1"}

// requireGranted fails the test if a replica is loaded without a grant.
func requireGranted(t *testing.T, c *control, e *engines) {
	t.Helper()
	granted := map[string]bool{}
	c.View(func(state *ctrl.State) {
		for _, k := range state.UpstreamGrants(nil, "u") {
			granted[k.Model+"@"+k.Version] = true
		}
	})
	for m := range e.loaded {
		must.True(t, granted[m], must.Sprintf("%s is loaded without a grant", m))
	}
}

// TestLoadDuringEviction guards against a load between the unload of a replica
// and the release of its grant, which leaves it loaded without a grant.
func TestLoadDuringEviction(t *testing.T) {
	c, e := fixture(t)
	o := newOwner(c, e, "h1/1")
	o.reconcile(t.Context(), time.Now())
	must.NoError(t, o.Load(t.Context(), request("m")))
	loaded := make(chan error, 1)
	e.after = func(od engine.Order) {
		if od.Kind == engine.Unload {
			e.after = nil
			// Simulates a report that no longer lists the replica.
			o.mu.Lock()
			o.upstreams["u"].replicas[keyM].loaded = false
			o.mu.Unlock()
			go func() { loaded <- o.Load(t.Context(), request("m")) }()
			time.Sleep(20 * time.Millisecond)
		}
	}
	must.NoError(t, o.evict(t.Context(), keyM, true))
	must.NoError(t, <-loaded)
	must.Eq(t, map[string]bool{"m@v1": true}, e.loaded)
	requireGranted(t, c, e)
}

// TestLateRelease guards against a load under a grant whose release was
// appended without an answer and takes effect after the load.
func TestLateRelease(t *testing.T) {
	c, e := fixture(t)
	o := newOwner(c, e, "h1/1")
	o.reconcile(t.Context(), time.Now())
	must.NoError(t, o.Load(t.Context(), request("m")))
	var late record.Record
	c.before = func(r record.Record) {
		if _, ok := r.(record.Release); ok && late == nil {
			late, c.down = r, true
		}
	}
	must.Eq(t, fault.LogUnavailable, kindOf(o.evict(t.Context(), keyM, true)))
	// The log is still down, so the grant must not be used.
	must.Eq(t, fault.LogUnavailable, kindOf(o.Load(t.Context(), request("m"))))
	c.down = false
	must.NoError(t, o.Load(t.Context(), request("m")))
	_, err := c.Append(t.Context(), late)
	must.NoError(t, err)
	must.Eq(t, map[string]bool{"m@v1": true}, e.loaded)
	requireGranted(t, c, e)
}

// TestUnansweredLoad guards against the release of a grant, or an
// acknowledgement of the loss of ownership, while an engine that ignores
// fencing numbers may still execute a load that was given up without an answer.
func TestUnansweredLoad(t *testing.T) {
	c, e := fixture(t)
	o := newOwner(c, e, "h1/1")
	o.reconcile(t.Context(), time.Now())
	o.recordPoll(time.Now(), c.state.Config().Upstream("u"), engine.Report{Incarnation: 1}, nil)
	e.err = &engine.Error{Kind: engine.Unreachable, Reached: true}
	o.settings.LoadTimeout = 20 * time.Millisecond
	must.Error(t, o.Load(t.Context(), request("m")))
	e.err = nil
	must.Eq(t, fault.NoCapacity, kindOf(o.evict(t.Context(), keyM, true)))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	o.ResignAll(ctx)
	must.False(t, o.ownsNothing())
	must.Eq(t, 1, grantCount(c))

	// The engine process that could execute the load has ended.
	o.leaving = false
	o.recordPoll(time.Now(), c.state.Config().Upstream("u"), engine.Report{Incarnation: 2}, nil)
	o.upstreams["u"].resigning = false
	must.NoError(t, o.evict(t.Context(), keyM, true))
	must.Eq(t, 0, grantCount(c))
}

// TestUnloadBeforeAcknowledgement guards against a release after an unload that
// was ordered before the former owner acknowledged its loss: the former owner
// may have loaded the model again in between.
func TestUnloadBeforeAcknowledgement(t *testing.T) {
	c, e := fixture(t)
	c.state.Apply(2, record.TakeOwnership{Upstream: "u", Daemon: "h1/1"})
	c.state.Apply(3, record.Grant{Upstream: "u", Epoch: 2, Model: "m", Version: "v1"})
	c.state.Apply(4, record.TakeOwnership{Upstream: "u", Daemon: "h2/1", Previous: 2})
	o := newOwner(c, e, "h2/1", "h1/1")
	e.during = func(od engine.Order) {
		if od.Kind == engine.Unload {
			e.during = nil
			// The engine has unloaded. Before its answer is read, the former
			// owner's last order arrives and the former owner acknowledges.
			defer func() { e.loaded["m@v1"] = true }()
			_, err := c.Append(t.Context(), record.AcknowledgeLoss{Upstream: "u", Daemon: "h1/1", Epoch: 2})
			must.NoError(t, err)
		}
	}
	err := o.evict(t.Context(), keyM, true)
	must.Eq(t, fault.NoCapacity, kindOf(err))
	e.loaded["m@v1"] = true
	requireGranted(t, c, e)
	must.NoError(t, o.evict(t.Context(), keyM, true))
	must.MapEmpty(t, e.loaded)
	must.Eq(t, 0, grantCount(c))
}

// TestGrantsExceedMemory guards against the load of a granted version whose
// declared size has been raised since the grant, so that the grants exceed the
// upstream's memory.
func TestGrantsExceedMemory(t *testing.T) {
	c, e := fixture(t)
	o := newOwner(c, e, "h1/1")
	o.reconcile(t.Context(), time.Now())
	must.NoError(t, o.Load(t.Context(), request("m")))
	must.NoError(t, o.evict(t.Context(), keyM, false))
	d := *c.state.Config().Deployment
	d.Models = append([]declare.Model(nil), d.Models...)
	d.Models[0].Versions = []declare.Version{{Name: "v1", WeightBytes: 120}}
	d.Upstreams = append([]declare.Upstream(nil), d.Upstreams...)
	must.NoError(t, o.Load(t.Context(), request("n")))
	var b bytes.Buffer
	must.NoError(t, d.Encode(&b))
	out, err := c.Append(t.Context(), record.Publish{Replaces: c.state.Version(), Config: b.Bytes()})
	must.NoError(t, err)
	must.Eq(t, ctrl.Accepted, out.Reason)
	must.Eq(t, fault.NoCapacity, kindOf(o.Load(t.Context(), request("m"))))
	must.Eq(t, map[string]bool{"n@v1": true}, e.loaded)
}
