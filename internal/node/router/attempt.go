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

// attempt routes the request once, waking the model or loading the adapter if
// need be, and opens the stream.
func (a *answer) attempt(ctx context.Context, excluded *[]string) error {
	b, r := a.b, &a.r
	q := route.Query{Model: r.Model, Version: r.Version, Adapter: r.Adapter, PrefixHash: r.PromptPrefixHash, Exclude: *excluded}
	if a.suspect {
		q.Exclude = append(append([]string(nil), *excluded...), b.withSuspects()...)
	}
	now := time.Now()
	b.mu.Lock()
	c := b.models.Pick(now, b.rng, &q)
	b.mu.Unlock()
	if c.Upstream == "" {
		up, err := b.waker.Wake(ctx, waker.Request{Model: r.Model, Version: r.Version, Class: r.Class, Deadline: r.Deadline})
		if err != nil {
			return err
		}
		if d := b.Config().Upstream(up); d != nil {
			b.mu.Lock()
			b.models.MarkLoaded(time.Now(), up, d.FailureDomain, r.Model, r.Version)
			b.mu.Unlock()
		}
		b.obs.ColdStart(r.Class, time.Since(now))
		b.obs.Decided(time.Now(), r.ID, r.Model, "woken", up, string(c.Reason))
		c = route.Choice{Upstream: up, Reason: "woken", AdapterLoad: r.Adapter != ""}
	}
	event.Routed.Log("request", r.ID, "model", r.Model, "version", r.Version, "adapter", r.Adapter, "upstream", c.Upstream,
		"class", string(r.Class), "reason", string(c.Reason), "wait", c.Wait.String(), "free", c.Free,
		"crosses", c.CrossDomain, "prefix", c.PrefixHint, "from-token", a.next)
	b.obs.Decided(time.Now(), r.ID, r.Model, "routed", c.Upstream, string(c.Reason))
	if c.AdapterLoad && r.Adapter != "" || a.suspect {
		q := owner.Request{
			Upstream: c.Upstream, Model: r.Model, Version: r.Version, Adapter: r.Adapter, Class: r.Class, Deadline: r.Deadline,
		}
		if a.suspect {
			q.Suspect = fingerprint(r)
		}
		err := b.waker.Ensure(ctx, q)
		if err != nil {
			*excluded = append(*excluded, c.Upstream)
			return err
		}
	}
	err := a.send(ctx, c.Upstream)
	if err != nil {
		*excluded = append(*excluded, c.Upstream)
	}
	return err
}

// send opens the stream on an upstream.
func (a *answer) send(ctx context.Context, upstream string) error {
	b := a.b
	d := b.Config().Upstream(upstream)
	if d == nil {
		return fault.New(fault.UpstreamUnavailable, "%s is not declared any more", upstream)
	}
	a.r.DeliveredTokens = a.next
	a.r.DeliveredText = a.text.String()
	a.incarnation = b.incarnation(upstream)
	now := time.Now()
	b.mu.Lock()
	// The choice of the upstream is some time ago, and a wake may have taken
	// it, so whether another suspect runs there is decided here.
	if a.suspect && b.running[upstream] > 0 {
		b.mu.Unlock()
		return fault.New(fault.NoCapacity, "another crash suspect runs on %s", upstream)
	}
	b.models.RequestSent(now, upstream, a.r.PromptPrefixHash)
	if a.suspect {
		b.running[upstream]++
	}
	b.mu.Unlock()
	if a.entered != nil {
		a.entered()
	}
	s, err := b.eng.Open(ctx, upstream, d.Address, a.r)
	if err != nil {
		a.left(upstream, false)
		return a.openFailed(ctx, upstream, d, err)
	}
	a.stream, a.upstream, a.address, a.sentAt = s, upstream, d.Address, now
	return nil
}

// openFailed classifies a refused or failed opening.
func (a *answer) openFailed(ctx context.Context, upstream string, d *declare.Upstream, err error) error {
	var e *engine.Error
	if !errors.As(err, &e) {
		return err
	}
	b, now := a.b, time.Now()
	switch e.Kind {
	case engine.NotLoaded:
		b.mu.Lock()
		b.models.MarkUnloaded(now, upstream, a.r.Model, a.r.Version)
		b.mu.Unlock()
	case engine.Leaving:
		b.reportLeaving(now, upstream, d)
	case engine.BadRequest:
		return fault.Wrap(e, fault.BadRequest, "%s refused the request", upstream)
	case engine.InUse:
		return fault.Wrap(e, fault.Internal, "%s knows the request already", upstream).WithRun(fault.RunUnknown)
	default:
		a.reached = a.reached || e.MayHaveRun()
		if e.MayHaveRun() && ctx.Err() == nil {
			a.checkCrash(ctx, upstream, d.Address)
		}
		b.mu.Lock()
		b.models.MarkFailed(upstream)
		b.mu.Unlock()
	}
	return fault.Wrap(e, fault.UpstreamUnavailable, "%s did not take the request", upstream)
}

// left records that the request no longer runs on an upstream.
func (a *answer) left(upstream string, finished bool) {
	b, now := a.b, time.Now()
	var latency, service time.Duration
	if finished {
		latency, service = a.firstAt.Sub(a.sentAt), now.Sub(a.sentAt)
	}
	defer func() { b.gate.Done(now, a.lane(), service) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.models.RequestDone(now, upstream, a.r.Model, a.r.Version, latency, service)
	if a.suspect {
		if b.running[upstream]--; b.running[upstream] <= 0 {
			delete(b.running, upstream)
		}
		go b.endSuspect(owner.Request{Upstream: upstream, Model: a.r.Model, Version: a.r.Version, Suspect: fingerprint(&a.r), Ended: true})
	}
}

// endSuspect lets other suspects begin on an upstream. If the owner can't be
// reached, it lets them after a while by itself.
func (b *Router) endSuspect(q owner.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), endSuspectTimeout)
	defer cancel()
	_ = b.waker.Ensure(ctx, q)
}

// grow asks for another replica in the background if the waiting requests
// justify one.
func (b *Router) grow(r *calls.Request, c gate.Capacity) {
	x := b.Config()
	m := x.Model(r.Model)
	if m == nil {
		return
	}
	granted := 0
	b.ctl.View(func(l *ctrl.State) { granted = l.Replicas(r.Model) })
	justified := place.JustifiedReplicas(place.Backlog{
		Waiting: b.gate.Waiting(r.Model+"@"+r.Version) + c.Sequences + 1, ServiceTime: growService, Sequences: max(c.Sequences/max(granted, 1), 1),
		LoadTime: growLoad, Limit: m.Replicas, ColdStartWeight: x.Deployment.ColdStartWeight,
	})
	if justified <= granted {
		return
	}
	b.mu.Lock()
	busy := b.growing[r.Model]
	b.growing[r.Model] = true
	b.mu.Unlock()
	if busy {
		return
	}
	q := waker.Request{Model: r.Model, Version: r.Version, Class: r.Class, Deadline: r.Deadline, Extra: true}
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), q.Deadline)
		defer cancel()
		// A refusal means that the loaded replicas have to do.
		_, _ = b.waker.Wake(ctx, q)
		b.mu.Lock()
		delete(b.growing, q.Model)
		b.mu.Unlock()
	}()
}
