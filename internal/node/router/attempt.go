package router

import (
	"context"
	"errors"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/blame"
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
		"account", r.Account, "class", string(r.Class), "reason", string(choice.Reason), "wait", choice.Wait.String(), "free", choice.Free,
		"crosses", choice.CrossDomain, "prefix", choice.PrefixHint, "from-token", c.nextIndex)
	rt.observer.Decided(time.Now(), r.ID, r.Model, "routed", choice.Upstream, string(choice.Reason))
	if choice.AdapterLoad && r.Adapter != "" || c.suspect {
		err := rt.waker.Ensure(ctx, c.ensureRequest(choice.Upstream))
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

// send opens the stream on an upstream. While that is silent, another one may take its
// place.
func (c *completion) send(ctx context.Context, upstream string) error {
	rt := c.router
	c.req.DeliveredTokens = c.nextIndex
	c.req.DeliveredText = c.text.String()
	k, err := c.start(time.Now(), upstream, &c.req)
	if err != nil {
		return err
	}
	c.run = k
	c.known, c.answeredAt, c.cleared = nil, time.Time{}, false
	if c.markSent != nil {
		c.markSent()
	}
	openCtx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	silent := time.AfterFunc(rt.settings.SilenceTimeout, func() { c.watchSilence(k, k.sentAt, giveUp) })
	c.beginWait(ctx)
	s, err := rt.engines.Open(openCtx, upstream, k.address, c.req)
	silent.Stop()
	if next := c.endWait(ctx, err); next != nil {
		if err == nil {
			c.stream = s
		}
		c.adopt(next)
		return nil
	}
	if err != nil {
		c.requestEnded(k, false)
		c.mayHaveRun = c.mayHaveRun || mayHaveRun(err)
		return c.openFailed(ctx, k, err)
	}
	k.stream = s
	c.receive(k)
	return nil
}

// start counts a request as sent to an upstream, and returns its run.
func (c *completion) start(now time.Time, upstream string, r *calls.Request) (run, error) {
	rt := c.router
	d := rt.Config().Upstream(upstream)
	if d == nil {
		return run{}, fault.New(fault.UpstreamUnavailable, "%s is not declared any more", upstream)
	}
	k := run{upstream: upstream, address: d.Address, incarnation: rt.incarnation(upstream), sentAt: now}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	// Another suspect may have been sent there since the upstream was chosen,
	// also by a wake, so this is checked again.
	if c.suspect && rt.suspectsRunning[upstream] > 0 {
		return run{}, fault.New(fault.NoCapacity, "another crash suspect runs on %s", upstream)
	}
	rt.models.RequestSent(now, upstream, r.PromptPrefixHash)
	rt.parts.Sent(now, blame.Parts(r.Parts))
	if c.suspect {
		rt.suspectsRunning[upstream]++
	}
	return k, nil
}

// openFailed records why a stream could not be opened and returns the fault.
func (c *completion) openFailed(ctx context.Context, k run, err error) error {
	var e *engine.Error
	if !errors.As(err, &e) {
		return err
	}
	rt, now, upstream := c.router, time.Now(), k.upstream
	switch e.Kind {
	case engine.NotLoaded:
		rt.mu.Lock()
		rt.models.MarkUnloaded(now, upstream, c.req.Model, c.req.Version)
		rt.mu.Unlock()
	case engine.Leaving:
		rt.reportLeaving(now, upstream)
	case engine.BadRequest:
		return fault.Wrap(e, fault.BadRequest, "%s refused the request", upstream)
	case engine.InUse:
		return fault.Wrap(e, fault.Internal, "%s knows the request already", upstream).WithRun(fault.RunUnknown)
	default:
		if e.MayHaveRun() && ctx.Err() == nil {
			c.checkCrash(ctx, k, false, time.Time{})
		}
		rt.mu.Lock()
		if ctx.Err() == nil {
			rt.models.MarkFailed(now, upstream)
		} else {
			// The caller has left, or the deadline has passed.
			rt.models.Silent(now, upstream, k.sentAt)
		}
		rt.mu.Unlock()
	}
	return fault.Wrap(e, fault.UpstreamUnavailable, "%s did not take the request", upstream)
}

// mayHaveRun reports whether an engine that failed to open a stream may have started to
// run the request.
func mayHaveRun(err error) bool {
	var e *engine.Error
	return errors.As(err, &e) && e.MayHaveRun()
}

// requestEnded records that the request no longer runs on an upstream.
func (c *completion) requestEnded(k run, finished bool) {
	rt, now := c.router, time.Now()
	var latency, service time.Duration
	if finished {
		latency, service = c.firstAt.Sub(k.sentAt), now.Sub(k.sentAt)
	}
	defer func() { rt.gate.Done(now, c.queueKey(), service) }()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	upstream := k.upstream
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
