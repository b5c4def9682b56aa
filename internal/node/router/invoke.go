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

// callRetryAfter is the Retry-After of a refused call of a plain service.
const callRetryAfter = 2 * time.Second

// Invoke calls a plain service and returns its response.
func (rt *Router) Invoke(ctx context.Context, c calls.ServiceCall) (calls.ServiceResponse, error) {
	now := time.Now()
	if !now.Before(c.Deadline) {
		return calls.ServiceResponse{}, deadlinePassed("the call was received", fault.RunNo)
	}
	x := rt.Config()
	if x == nil {
		return calls.ServiceResponse{}, fault.New(fault.NotReady, "there is no configuration yet").WithRetry(rt.jitter(notReadyRetryAfter))
	}
	rule, err := matchCall(x, &c)
	if err != nil {
		return calls.ServiceResponse{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	rt.mu.Lock()
	rt.budget.AddRequest()
	rt.mu.Unlock()
	if !rule.NonIdempotent {
		response, err := rt.sendWithRetries(ctx, x, &c, true)
		return response, rt.refuseCall(&c, err)
	}
	if c.Key == "" {
		return calls.ServiceResponse{}, rt.refuseCall(&c, fault.New(fault.KeyRequired, "%s %s is not idempotent and needs an Idempotency-Key", c.Method, c.Path))
	}
	response, err := rt.callOnce(ctx, x, &c)
	return response, rt.refuseCall(&c, err)
}

// callOnce runs a non-idempotent call after claiming its key.
func (rt *Router) callOnce(ctx context.Context, x *declare.Index, c *calls.ServiceCall) (calls.ServiceResponse, error) {
	stored, err := rt.claims.Claim(ctx, *c)
	if err != nil {
		return calls.ServiceResponse{}, err
	}
	if stored != nil {
		stored.Replayed = true
		return *stored, nil
	}
	// A claim is withdrawn only if the call cannot have reached an upstream.
	response, err := rt.sendWithRetries(ctx, x, c, false)
	if err == nil {
		rt.claims.Done(*c, response)
		return response, nil
	}
	if f := fault.Of(err); f.Run == fault.RunNo {
		rt.claims.Withdraw(*c)
	} else {
		rt.claims.Forget(*c)
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

// sendWithRetries sends c to upstreams until one responds. A non-idempotent call
// is retried only if it cannot have reached an upstream.
func (rt *Router) sendWithRetries(ctx context.Context, x *declare.Index, c *calls.ServiceCall, idempotent bool) (calls.ServiceResponse, error) {
	attempt := retry.Attempt{Idempotent: idempotent, Class: c.Class, Deadline: c.Deadline}
	var excluded []string
	for {
		now := time.Now()
		rt.mu.Lock()
		choice := rt.services.Pick(now, rt.rng, &route.Query{Model: c.Service, Exclude: excluded})
		if choice.Upstream == "" {
			choice = rt.services.Pick(now, rt.rng, &route.Query{Model: c.Service})
		}
		rt.mu.Unlock()
		d := x.Upstream(choice.Upstream)
		if d == nil {
			return calls.ServiceResponse{}, fault.New(fault.UpstreamUnavailable, "no upstream of service %s is available", c.Service).WithRun(runState(&attempt))
		}
		event.CallRouted.Log("request", c.ID, "service", c.Service, "account", c.Account, "method", c.Method, "path", c.Path, "upstream", d.Name,
			"reason", string(choice.Reason), "idempotent", idempotent, "tries", attempt.Attempts+1)
		response, err := rt.sendCall(ctx, d, c)
		if err == nil {
			rt.observer.Decided(now, c.ID, c.Service, "called", d.Name, string(choice.Reason))
			return response, nil
		}
		attempt.Attempts++
		var re *rest.Error
		if !errors.As(err, &re) || re.Reached {
			attempt.Reached = retry.MayHaveReached
		}
		excluded = append(excluded, d.Name)
		attempt.OtherUpstream = len(excluded) < len(x.UpstreamsOf(c.Service))
		rt.mu.Lock()
		verdict := rt.retryPolicy.Decide(time.Now(), &attempt, rt.budget, rt.rng)
		rt.mu.Unlock()
		switch v := verdict.(type) {
		case retry.Stop:
			if ctx.Err() != nil {
				return calls.ServiceResponse{}, deadlinePassed("the service was called", runState(&attempt))
			}
			kind := fault.UpstreamUnavailable
			if attempt.Reached != retry.NotReached && !idempotent {
				kind = fault.OutcomeUnknown
			}
			return calls.ServiceResponse{}, fault.Wrap(err, kind, "%s did not answer (%s)", d.Name, v.Reason).WithRun(runState(&attempt))
		case retry.Again:
			pause.For(ctx, v.After)
		}
	}
}

// runState returns whether an upstream has run a call.
func runState(attempt *retry.Attempt) fault.Run {
	if attempt.Reached == retry.NotReached {
		return fault.RunNo
	}
	return fault.RunUnknown
}

// sendCall sends c to an upstream once.
func (rt *Router) sendCall(ctx context.Context, d *declare.Upstream, c *calls.ServiceCall) (calls.ServiceResponse, error) {
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
	rc := rest.Call{Method: c.Method, URL: url, Header: h, Limit: rt.settings.MaxResponseBytes}
	if len(c.Body) > 0 {
		rc.Body = c.Body
	}
	began := time.Now()
	rt.mu.Lock()
	rt.services.RequestSent(began, d.Name, 0)
	rt.mu.Unlock()
	reply, err := rc.Do(ctx, rt.http)
	now := time.Now()
	if err == nil && isLeaving(&reply) {
		rt.mu.Lock()
		rt.services.RequestDone(now, d.Name, c.Service, "", 0, 0)
		rt.mu.Unlock()
		rt.serviceLeaving(now, d)
		return calls.ServiceResponse{}, &rest.Error{Err: errLeaving}
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if err != nil {
		rt.services.RequestDone(now, d.Name, c.Service, "", 0, 0)
		if ctx.Err() == nil {
			rt.services.MarkFailed(now, d.Name)
		} else {
			// The caller has left, or the deadline has passed.
			rt.services.Silent(now, d.Name, began)
		}
		return calls.ServiceResponse{}, err
	}
	rt.services.RequestDone(now, d.Name, c.Service, "", now.Sub(began), now.Sub(began))
	rt.services.MarkResponded(d.Name)
	return calls.ServiceResponse{Status: reply.Status, ContentType: reply.Header.Get("Content-Type"), Body: reply.Body}, nil
}

// refuseCall converts err to a fault with Retry-After, and logs it. It returns nil
// for a nil error.
func (rt *Router) refuseCall(c *calls.ServiceCall, err error) error {
	if err == nil {
		return nil
	}
	f := fault.Of(err)
	if f.RetryAfter == 0 {
		switch f.Kind {
		case fault.LogUnavailable:
			f = f.WithRetry(rt.jitter(logRetryAfter))
		case fault.UpstreamUnavailable, fault.DeadlinePassed, fault.NotOwner, fault.KeyInProgress:
			f = f.WithRetry(rt.jitter(callRetryAfter))
		}
	}
	event.CallRefused.Log("request", c.ID, "service", c.Service, "account", c.Account, "reason", string(f.Kind), "run", string(f.Run),
		"retry-after", f.RetryAfter.String(), "detail", f.Detail)
	rt.observer.Decided(time.Now(), c.ID, c.Service, "refused", "", string(f.Kind)+": "+f.Detail)
	return f
}
