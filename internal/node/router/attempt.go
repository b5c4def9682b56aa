package router

import (
	"context"
	"errors"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/internal/node/gate"
	"github.com/azurespan/azurespan/internal/node/owner"
	"github.com/azurespan/azurespan/internal/node/waker"
	"github.com/azurespan/azurespan/internal/rule/place"
	"github.com/azurespan/azurespan/internal/rule/route"
)

// attempt routes the request once, loading a replica or the adapter if necessary,
// and opens the stream. It adds an upstream that failed to excluded.
func (c *completion) attempt(ctx context.Context, excluded *[]string) error {
	rt, r := c.router, &c.req
	q := route.Query{Model: r.Model, Version: r.Version, Adapter: r.Adapter, PrefixHash: r.PromptPrefixHash, Exclude: *excluded}
	if c.suspect {
		q.Exclude = append(append([]string(nil), *excluded...), rt.upstreamsWithSuspects()...)
	}
	now := time.Now()
	rt.mu.Lock()
	choice := rt.models.Pick(now, rt.rng, &q)
	rt.mu.Unlock()
	if choice.Upstream == "" {
		up, err := rt.waker.Wake(ctx, waker.Request{Model: r.Model, Version: r.Version, Class: r.Class, Deadline: r.Deadline})
		if err != nil {
			return err
		}
		if d := rt.Config().Upstream(up); d != nil {
			rt.mu.Lock()
			rt.models.MarkLoaded(time.Now(), up, d.FailureDomain, r.Model, r.Version)
			rt.mu.Unlock()
		}
		rt.observer.ColdStart(r.Class, time.Since(now))
		rt.observer.Decided(time.Now(), r.ID, r.Model, "woken", up, string(choice.Reason))
		choice = route.Choice{Upstream: up, Reason: "woken", AdapterLoad: r.Adapter != ""}
	}
	event.Routed.Log("request", r.ID, "model", r.Model, "version", r.Version, "adapter", r.Adapter, "upstream", choice.Upstream,
		"class", string(r.Class), "reason", string(choice.Reason), "wait", choice.Wait.String(), "free", choice.Free,
		"crosses", choice.CrossDomain, "prefix", choice.PrefixHint, "from-token", c.nextIndex)
	rt.observer.Decided(time.Now(), r.ID, r.Model, "routed", choice.Upstream, string(choice.Reason))
	if choice.AdapterLoad && r.Adapter != "" || c.suspect {
		q := owner.Request{
			Upstream: choice.Upstream, Model: r.Model, Version: r.Version, Adapter: r.Adapter, Class: r.Class, Deadline: r.Deadline,
		}
		if c.suspect {
			q.Suspect = fingerprint(r)
		}
		err := rt.waker.Ensure(ctx, q)
		if err != nil {
			*excluded = append(*excluded, choice.Upstream)
			return err
		}
	}
	err := c.send(ctx, choice.Upstream)
	if err != nil {
		*excluded = append(*excluded, choice.Upstream)
	}
	return err
}

// send opens the stream on an upstream.
func (c *completion) send(ctx context.Context, upstream string) error {
	rt := c.router
	d := rt.Config().Upstream(upstream)
	if d == nil {
		return fault.New(fault.UpstreamUnavailable, "%s is not declared any more", upstream)
	}
	c.req.DeliveredTokens = c.nextIndex
	c.req.DeliveredText = c.text.String()
	c.incarnation = rt.incarnation(upstream)
	now := time.Now()
	rt.mu.Lock()
	// Another suspect may have been sent there since the upstream was chosen,
	// also by a wake, so this is checked again.
	if c.suspect && rt.suspectsRunning[upstream] > 0 {
		rt.mu.Unlock()
		return fault.New(fault.NoCapacity, "another crash suspect runs on %s", upstream)
	}
	rt.models.RequestSent(now, upstream, c.req.PromptPrefixHash)
	rt.parts.Sent(now, c.req.Parts)
	c.known, c.answeredAt, c.cleared = nil, time.Time{}, false
	if c.suspect {
		rt.suspectsRunning[upstream]++
	}
	rt.mu.Unlock()
	if c.markSent != nil {
		c.markSent()
	}
	s, err := rt.engines.Open(ctx, upstream, d.Address, c.req)
	if err != nil {
		c.requestEnded(upstream, false)
		return c.openFailed(ctx, upstream, d, err)
	}
	c.stream, c.upstream, c.address, c.sentAt = s, upstream, d.Address, now
	return nil
}

// openFailed records why a stream could not be opened and returns the fault.
func (c *completion) openFailed(ctx context.Context, upstream string, d *declare.Upstream, err error) error {
	var e *engine.Error
	if !errors.As(err, &e) {
		return err
	}
	rt, now := c.router, time.Now()
	switch e.Kind {
	case engine.NotLoaded:
		rt.mu.Lock()
		rt.models.MarkUnloaded(now, upstream, c.req.Model, c.req.Version)
		rt.mu.Unlock()
	case engine.Leaving:
		rt.reportLeaving(now, upstream, d)
	case engine.BadRequest:
		return fault.Wrap(e, fault.BadRequest, "%s refused the request", upstream)
	case engine.InUse:
		return fault.Wrap(e, fault.Internal, "%s knows the request already", upstream).WithRun(fault.RunUnknown)
	default:
		c.mayHaveRun = c.mayHaveRun || e.MayHaveRun()
		if e.MayHaveRun() && ctx.Err() == nil {
			c.checkCrash(ctx, upstream, d.Address)
		}
		rt.mu.Lock()
		rt.models.MarkFailed(upstream)
		rt.mu.Unlock()
	}
	return fault.Wrap(e, fault.UpstreamUnavailable, "%s did not take the request", upstream)
}

// requestEnded records that the request no longer runs on an upstream.
func (c *completion) requestEnded(upstream string, finished bool) {
	rt, now := c.router, time.Now()
	var latency, service time.Duration
	if finished {
		latency, service = c.firstAt.Sub(c.sentAt), now.Sub(c.sentAt)
	}
	defer func() { rt.gate.Done(now, c.queueKey(), service) }()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.models.RequestDone(now, upstream, c.req.Model, c.req.Version, latency, service)
	if c.suspect {
		if rt.suspectsRunning[upstream]--; rt.suspectsRunning[upstream] <= 0 {
			delete(rt.suspectsRunning, upstream)
		}
		go rt.reportSuspectEnded(owner.Request{Upstream: upstream, Model: c.req.Model, Version: c.req.Version, Suspect: fingerprint(&c.req), Ended: true})
	}
}

// reportSuspectEnded allows other suspects to run on an upstream. If its owner
// can't be reached, the owner allows them by itself after a time-out.
func (rt *Router) reportSuspectEnded(q owner.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectEndedTimeout)
	defer cancel()
	_ = rt.waker.Ensure(ctx, q)
}

// scaleUp requests another replica in the background if the queued requests
// justify one.
func (rt *Router) scaleUp(r *calls.Request, capacity gate.Capacity) {
	x := rt.Config()
	m := x.Model(r.Model)
	if m == nil {
		return
	}
	granted := 0
	rt.control.View(func(l *ctrl.State) { granted = l.Replicas(r.Model) })
	justified := place.JustifiedReplicas(place.Backlog{
		Waiting: rt.gate.Waiting(r.Model+"@"+r.Version) + capacity.Sequences + 1, ServiceTime: assumedServiceTime, Sequences: max(capacity.Sequences/max(granted, 1), 1),
		LoadTime: assumedLoadTime, Limit: m.Replicas, ColdStartWeight: x.Deployment.ColdStartWeight,
	})
	if justified <= granted {
		return
	}
	rt.mu.Lock()
	inProgress := rt.scalingUp[r.Model]
	rt.scalingUp[r.Model] = true
	rt.mu.Unlock()
	if inProgress {
		return
	}
	q := waker.Request{Model: r.Model, Version: r.Version, Class: r.Class, Deadline: r.Deadline, Extra: true}
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), q.Deadline)
		defer cancel()
		// After a refusal, the loaded replicas serve the queue.
		_, _ = rt.waker.Wake(ctx, q)
		rt.mu.Lock()
		delete(rt.scalingUp, q.Model)
		rt.mu.Unlock()
	}()
}
