package router

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/blame"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/internal/node/gate"
	"github.com/azurespan/azurespan/internal/rule/route"
)

const (
	// minRetryDelay is the delay before the first retry of an attempt; it
	// doubles up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// assumedServiceTime and assumedLoadTime are used to decide whether another
	// replica is worthwhile.
	assumedServiceTime = 4 * time.Second
	assumedLoadTime    = 3 * time.Second
	// suspectEndedTimeout bounds the call that reports the end of a crash
	// suspect.
	suspectEndedTimeout = time.Second
	// logRetryAfter is the Retry-After while the log is down.
	logRetryAfter = 10 * time.Second
	// otherDomainRetryAfter is the Retry-After if the replica is in a failure
	// domain that can't be reached.
	otherDomainRetryAfter = 15 * time.Second
	// notReadyRetryAfter is the Retry-After while there is no configuration.
	notReadyRetryAfter = time.Second
	// capacityRetryAfter is the Retry-After if no replica becomes available in
	// time.
	capacityRetryAfter = 5 * time.Second
	// attemptsPerExclusion is the number of attempts after which excluded
	// upstreams are tried again.
	attemptsPerExclusion = 3
)

// Complete starts a chat completion and returns its stream once an engine has
// accepted it.
func (rt *Router) Complete(ctx context.Context, r calls.Request) (calls.Stream, error) {
	now := time.Now()
	if !now.Before(r.Deadline) {
		return nil, deadlinePassed("the request was received", fault.RunNo)
	}
	x := rt.Config()
	if x == nil {
		return nil, fault.New(fault.NotReady, "there is no configuration yet").WithRetry(rt.jitter(notReadyRetryAfter))
	}
	if x.Model(r.Model) == nil {
		return nil, fault.New(fault.UnknownModel, "model %s is not declared", r.Model)
	}
	rt.mu.Lock()
	rt.budget.AddRequest()
	rt.mu.Unlock()
	c := &completion{router: rt, req: r, startedAt: now}
	if err := c.awaitCapacity(ctx); err != nil {
		return nil, c.refuse(err)
	}
	defer c.markSent()
	if err := c.open(ctx); err != nil {
		return nil, err
	}
	return c, nil
}

// awaitCapacity waits for a free sequence if all replicas are busy, and requests
// another replica if that is worthwhile.
func (c *completion) awaitCapacity(ctx context.Context) error {
	rt, now := c.router, time.Now()
	ctx, cancel := context.WithDeadline(ctx, c.req.Deadline)
	defer cancel()
	if capacity := rt.capacity(now, c.queueKey()); capacity.Loaded && capacity.Free <= 0 {
		rt.scaleUp(&c.req, capacity)
	}
	sent, err := rt.gate.Enter(ctx, now, gate.Request{Model: c.queueKey(), Class: c.req.Class, Priority: c.req.Priority, Deadline: c.req.Deadline})
	if err != nil {
		return err
	}
	c.markSent = sent
	rt.observer.Queued(c.req.Class, time.Since(now))
	return nil
}

// queueKey identifies the queue in which the request waits.
func (c *completion) queueKey() string { return c.req.Model + "@" + c.req.Version }

// open opens a stream on a replica for the rest of the completion. It retries
// until the deadline.
func (c *completion) open(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, c.req.Deadline)
	defer cancel()
	delay := minRetryDelay
	var excluded []string
	for tries := 0; ; tries++ {
		if err := c.checkQuarantine(time.Now()); err != nil {
			return err
		}
		err := c.attempt(ctx, &excluded)
		if err == nil {
			return nil
		}
		var f *fault.Fault
		if !errors.As(err, &f) || !isTransient(f) {
			return c.refuse(err)
		}
		if ctx.Err() != nil {
			return c.refuse(c.deadlineFault(f))
		}
		wait := c.router.jitter(delay)
		if left := time.Until(c.req.Deadline); wait >= left {
			return c.refuse(c.deadlineFault(f))
		}
		delay = min(2*delay, maxRetryDelay)
		pause.For(ctx, wait)
		// Upstreams that failed earlier may have recovered.
		if tries%attemptsPerExclusion == attemptsPerExclusion-1 {
			excluded = excluded[:0]
		}
	}
}

// isTransient reports whether a retry may succeed: an upstream changes its owner,
// a busy replica becomes idle, a load fails.
func isTransient(f *fault.Fault) bool {
	switch f.Kind {
	case fault.NotOwner, fault.UpstreamUnavailable, fault.NoCapacity, fault.Draining:
		return true
	default:
		return false
	}
}

// deadlineFault returns the fault of a request whose attempts failed with f until
// its deadline.
func (c *completion) deadlineFault(f *fault.Fault) *fault.Fault {
	passed := deadlinePassed("waiting: "+f.Detail, c.runState())
	return passed.WithRetry(c.router.jitter(capacityRetryAfter))
}

// runState returns whether an engine has run the request.
func (c *completion) runState() fault.Run {
	switch {
	case c.nextIndex > 0:
		return fault.RunYes
	case c.mayHaveRun:
		return fault.RunUnknown
	default:
		return fault.RunNo
	}
}

// refuse converts err to a fault with run state and Retry-After, and logs it.
func (c *completion) refuse(err error) error {
	f := fault.Of(err)
	if f.Run == "" || f.Run == fault.RunNo {
		f = f.WithRun(c.runState())
	}
	if f.Kind == fault.NotOwner {
		f = fault.New(fault.UpstreamUnavailable, "%s", f.Detail).WithRun(f.Run)
	}
	if f.RetryAfter == 0 {
		switch f.Kind {
		case fault.LogUnavailable:
			f = f.WithRetry(c.router.jitter(logRetryAfter))
		case fault.ReplicaElsewhere:
			f = f.WithRetry(c.router.jitter(otherDomainRetryAfter))
		case fault.DeadlineUnreachable, fault.NoCapacity, fault.UpstreamUnavailable:
			f = f.WithRetry(c.router.jitter(capacityRetryAfter))
		}
	}
	event.RequestRefused.Log("request", c.req.ID, "model", c.req.Model, "account", c.req.Account, "class", string(c.req.Class), "reason", string(f.Kind),
		"run", string(f.Run), "retry-after", f.RetryAfter.String(), "detail", f.Detail)
	c.router.observer.Decided(time.Now(), c.req.ID, c.req.Model, "refused", "", string(f.Kind)+": "+f.Detail)
	return f
}

// incarnation returns the incarnation of an upstream's process as known by gossip.
func (rt *Router) incarnation(upstream string) string {
	var s string
	rt.facts.Do(func(m *member.Set) {
		f, _ := m.Get(member.Key{Kind: member.Upstream, Name: upstream})
		s = f.Incarnation
	})
	return s
}

// reportLeaving reports to the peers that an upstream has refused work because it
// is leaving.
func (rt *Router) reportLeaving(now time.Time, upstream string) {
	d := rt.Config().Upstream(upstream)
	if d == nil {
		return
	}
	var f member.Fact
	rt.facts.Do(func(m *member.Set) { f, _ = m.Get(member.Key{Kind: member.Upstream, Name: upstream}) })
	f.Kind, f.Name, f.Domain, f.Status = member.Upstream, upstream, d.FailureDomain, member.Leaving
	rt.facts.Report(now, f)
	rt.mu.Lock()
	rt.models.SetHealth(upstream, route.Leaving)
	rt.mu.Unlock()
}

// upstreamsWithSuspects returns the upstreams on which crash suspects run.
func (rt *Router) upstreamsWithSuspects() []string {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	var out []string
	for u := range rt.suspectsRunning {
		out = append(out, u)
	}
	return out
}

// fingerprint returns the name under which the peers know a request.
func fingerprint(r *calls.Request) string { return strconv.FormatUint(r.Fingerprint, 16) }

// checkQuarantine refuses a quarantined request, and records whether the request
// is a crash suspect.
func (c *completion) checkQuarantine(now time.Time) error {
	rt := c.router
	rt.mu.Lock()
	verdict, left := rt.suspects.Judge(now, fingerprint(&c.req))
	rt.mu.Unlock()
	c.suspect = verdict == poison.Suspect
	if verdict != poison.Quarantined {
		var part string
		if part, left = rt.parts.Judge(now, blame.Parts(c.req.Parts)); part == "" {
			return nil
		}
		event.RequestQuarantined.Log("request", c.req.ID, "fingerprint", part, "crashes", len(rt.suspects.Entry(part).Crashes))
	}
	return c.refuse(fault.New(fault.RequestQuarantined, "this request has crashed several upstreams").WithRun(fault.RunYes).WithRetry(left))
}
