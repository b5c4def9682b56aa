package router

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/link/rest"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/internal/rule/retry"
	"github.com/azurespan/azurespan/internal/rule/route"
)

// Invoke calls a plain service and returns its answer.
func (b *Router) Invoke(ctx context.Context, c calls.ServiceCall) (calls.ServiceResponse, error) {
	now := time.Now()
	if !now.Before(c.Deadline) {
		return calls.ServiceResponse{}, passed("the call was received", fault.RunNo)
	}
	x := b.Config()
	if x == nil {
		return calls.ServiceResponse{}, fault.New(fault.NotReady, "there is no configuration yet").WithRetry(b.jitter(time.Second))
	}
	rule, err := matchCall(x, &c)
	if err != nil {
		return calls.ServiceResponse{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	b.mu.Lock()
	b.budget.AddRequest()
	b.mu.Unlock()
	if !rule.NonIdempotent {
		a, err := b.call(ctx, x, &c, true)
		return a, b.refuseCall(&c, err)
	}
	if c.Key == "" {
		return calls.ServiceResponse{}, b.refuseCall(&c, fault.New(fault.KeyRequired, "%s %s is not idempotent and needs an Idempotency-Key", c.Method, c.Path))
	}
	a, err := b.once(ctx, x, &c)
	return a, b.refuseCall(&c, err)
}

// once runs a non-idempotent call under a claim of its key.
func (b *Router) once(ctx context.Context, x *declare.Index, c *calls.ServiceCall) (calls.ServiceResponse, error) {
	stored, err := b.claims.Claim(ctx, *c)
	if err != nil {
		return calls.ServiceResponse{}, err
	}
	if stored != nil {
		stored.Replayed = true
		return *stored, nil
	}
	// A claim is withdrawn only for a call that no upstream can have seen.
	a, err := b.call(ctx, x, c, false)
	if err == nil {
		b.claims.Done(*c, a)
		return a, nil
	}
	if f := fault.Of(err); f.Run == fault.RunNo {
		b.claims.Withdraw(*c)
	} else {
		event.OutcomeUnknown.Log("request", c.ID, "service", c.Service, "key", c.Key, "err", err)
	}
	return calls.ServiceResponse{}, err
}

// matchCall returns the declared call with the longest matching path prefix.
func matchCall(x *declare.Index, c *calls.ServiceCall) (*declare.Call, error) {
	s := x.Service(c.Service)
	if s == nil || s.Kind != declare.PlainService {
		return nil, fault.New(fault.UnknownService, "service %s is not declared", c.Service)
	}
	var best *declare.Call
	for i := range s.Calls {
		d := &s.Calls[i]
		if d.Method == c.Method && strings.HasPrefix(c.Path, d.PathPrefix) && (best == nil || len(d.PathPrefix) > len(best.PathPrefix)) {
			best = d
		}
	}
	if best == nil {
		return nil, fault.New(fault.UnknownService, "service %s declares no call %s %s", c.Service, c.Method, c.Path)
	}
	return best, nil
}

// call sends c to upstreams until one answers. A non-idempotent call is sent
// again only if no upstream can have seen it.
func (b *Router) call(ctx context.Context, x *declare.Index, c *calls.ServiceCall, idempotent bool) (calls.ServiceResponse, error) {
	at := retry.Attempt{Idempotent: idempotent, Class: c.Class, Deadline: c.Deadline}
	var excluded []string
	for {
		now := time.Now()
		b.mu.Lock()
		choice := b.services.Pick(now, b.rng, &route.Query{Model: c.Service, Exclude: excluded})
		if choice.Upstream == "" {
			choice = b.services.Pick(now, b.rng, &route.Query{Model: c.Service})
		}
		b.mu.Unlock()
		d := x.Upstream(choice.Upstream)
		if d == nil {
			return calls.ServiceResponse{}, fault.New(fault.UpstreamUnavailable, "no upstream of service %s is available", c.Service).WithRun(runOf(&at))
		}
		event.CallRouted.Log("request", c.ID, "service", c.Service, "method", c.Method, "path", c.Path, "upstream", d.Name,
			"reason", string(choice.Reason), "idempotent", idempotent, "tries", at.Attempts+1)
		a, err := b.sendCall(ctx, d, c)
		if err == nil {
			b.obs.Decided(now, c.ID, c.Service, "called", d.Name, string(choice.Reason))
			return a, nil
		}
		at.Attempts++
		var re *rest.Error
		if !errors.As(err, &re) || re.Reached {
			at.Reached = retry.MayHaveReached
		}
		excluded = append(excluded, d.Name)
		at.OtherUpstream = len(excluded) < len(x.UpstreamsOf(c.Service))
		b.mu.Lock()
		verdict := b.policy.Decide(time.Now(), &at, b.budget, b.rng)
		b.mu.Unlock()
		switch v := verdict.(type) {
		case retry.Stop:
			if ctx.Err() != nil {
				return calls.ServiceResponse{}, passed("the service was called", runOf(&at))
			}
			kind := fault.UpstreamUnavailable
			if at.Reached != retry.NotReached && !idempotent {
				kind = fault.OutcomeUnknown
			}
			return calls.ServiceResponse{}, fault.Wrap(err, kind, "%s did not answer (%s)", d.Name, v.Reason).WithRun(runOf(&at))
		case retry.Again:
			pause.For(ctx, v.After)
		}
	}
}

func runOf(a *retry.Attempt) fault.Run {
	if a.Reached == retry.NotReached {
		return fault.RunNo
	}
	return fault.RunUnknown
}

// sendCall makes one attempt at an upstream.
func (b *Router) sendCall(ctx context.Context, d *declare.Upstream, c *calls.ServiceCall) (calls.ServiceResponse, error) {
	url := "http://" + d.Address + c.Path
	if c.RawQuery != "" {
		url += "?" + c.RawQuery
	}
	h := http.Header{"X-Request-Id": {c.ID}, "X-Priority": {string(c.Class)}}
	if c.ContentType != "" {
		h.Set("Content-Type", c.ContentType)
	}
	if c.Key != "" {
		h.Set("Idempotency-Key", c.Key)
	}
	rc := rest.Call{Method: c.Method, URL: url, Header: h, Limit: b.set.MaxResponseBytes}
	if len(c.Body) > 0 {
		rc.Body = c.Body
	}
	began := time.Now()
	b.mu.Lock()
	b.services.RequestSent(began, d.Name, 0)
	b.mu.Unlock()
	reply, err := rc.Do(ctx, b.http)
	now := time.Now()
	if err == nil && leaving(&reply) {
		b.mu.Lock()
		b.services.RequestDone(now, d.Name, c.Service, "", 0, 0)
		b.mu.Unlock()
		b.serviceLeaving(now, d)
		return calls.ServiceResponse{}, &rest.Error{Err: errLeaving}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.services.RequestDone(now, d.Name, c.Service, "", 0, 0)
		b.services.MarkFailed(d.Name)
		return calls.ServiceResponse{}, err
	}
	b.services.RequestDone(now, d.Name, c.Service, "", now.Sub(began), now.Sub(began))
	b.services.MarkResponded(d.Name)
	return calls.ServiceResponse{Status: reply.Status, ContentType: reply.Header.Get("Content-Type"), Body: reply.Body}, nil
}

// refuseCall completes and logs a refusal; it returns nil for a nil error.
func (b *Router) refuseCall(c *calls.ServiceCall, err error) error {
	if err == nil {
		return nil
	}
	f := fault.Of(err)
	if f.RetryAfter == 0 {
		switch f.Kind {
		case fault.LogUnavailable:
			f = f.WithRetry(b.jitter(logRetry))
		case fault.UpstreamUnavailable, fault.DeadlinePassed, fault.NotOwner, fault.KeyInProgress:
			f = f.WithRetry(b.jitter(2 * time.Second))
		}
	}
	event.CallRefused.Log("request", c.ID, "service", c.Service, "reason", string(f.Kind), "run", string(f.Run),
		"retry-after", f.RetryAfter.String(), "detail", f.Detail)
	b.obs.Decided(time.Now(), c.ID, c.Service, "refused", "", string(f.Kind)+": "+f.Detail)
	return f
}
