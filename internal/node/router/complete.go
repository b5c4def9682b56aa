package router

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/internal/node/gate"
	"github.com/azurespan/azurespan/internal/rule/route"
)

const (
	// waitBase is the first delay before a wake is tried again; it doubles
	// up to waitMax.
	waitBase = 100 * time.Millisecond
	waitMax  = 2 * time.Second
	// growService and growLoad are the service and load times assumed for the
	// question whether another replica is worthwhile.
	growService = 4 * time.Second
	growLoad    = 3 * time.Second
	// endSuspectTimeout bounds the notice that a crash suspect has ended.
	endSuspectTimeout = time.Second
	// logRetry is the retry delay given while the log is down.
	logRetry = 10 * time.Second
	// elsewhereRetry is the retry delay for a replica in a failure domain
	// that can't be reached.
	elsewhereRetry = 15 * time.Second
)

// Complete starts a chat completion and returns its stream once an engine has
// accepted it.
func (b *Router) Complete(ctx context.Context, r calls.Request) (calls.Stream, error) {
	now := time.Now()
	if !now.Before(r.Deadline) {
		return nil, passed("the request was received", fault.RunNo)
	}
	x := b.Config()
	if x == nil {
		return nil, fault.New(fault.NotReady, "there is no configuration yet").WithRetry(b.jitter(time.Second))
	}
	if x.Model(r.Model) == nil {
		return nil, fault.New(fault.UnknownModel, "model %s is not declared", r.Model)
	}
	b.mu.Lock()
	b.budget.AddRequest()
	b.mu.Unlock()
	a := &answer{b: b, r: r, began: now}
	if err := a.enter(ctx); err != nil {
		return nil, a.refuse(err)
	}
	defer a.entered()
	if err := a.open(ctx); err != nil {
		return nil, err
	}
	return a, nil
}

// enter waits for a free sequence if all replicas are busy, and asks for
// another replica if that is worthwhile.
func (a *answer) enter(ctx context.Context) error {
	b, now := a.b, time.Now()
	ctx, cancel := context.WithDeadline(ctx, a.r.Deadline)
	defer cancel()
	if c := b.capacity(now, a.lane()); c.Loaded && c.Free <= 0 {
		b.grow(&a.r, c)
	}
	sent, err := b.gate.Enter(ctx, now, gate.Request{Model: a.lane(), Class: a.r.Class, Deadline: a.r.Deadline})
	if err != nil {
		return err
	}
	a.entered = sent
	b.obs.Queued(a.r.Class, time.Since(now))
	return nil
}

// lane is the queue in which the request waits.
func (a *answer) lane() string { return a.r.Model + "@" + a.r.Version }

// open finds a replica for the rest of the answer and opens the stream there.
func (a *answer) open(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, a.r.Deadline)
	defer cancel()
	delay := waitBase
	var excluded []string
	for tries := 0; ; tries++ {
		if err := a.quarantined(time.Now()); err != nil {
			return err
		}
		err := a.attempt(ctx, &excluded)
		if err == nil {
			return nil
		}
		var f *fault.Fault
		if !errors.As(err, &f) || !transient(f) {
			return a.refuse(err)
		}
		if ctx.Err() != nil {
			return a.refuse(a.expired(f))
		}
		wait := a.b.jitter(delay)
		if left := time.Until(a.r.Deadline); wait >= left {
			return a.refuse(a.expired(f))
		}
		delay = min(2*delay, waitMax)
		pause.For(ctx, wait)
		// What failed a while ago may work by now.
		if tries%3 == 2 {
			excluded = excluded[:0]
		}
	}
}

// transient reports whether a wait may remove the reason of a refusal: an
// upstream changes its owner, a busy replica becomes idle, a load fails.
func transient(f *fault.Fault) bool {
	switch f.Kind {
	case fault.NotOwner, fault.UpstreamUnavailable, fault.NoCapacity, fault.Draining:
		return true
	default:
		return false
	}
}

// expired is the refusal of a request that waited in vain until its deadline.
func (a *answer) expired(f *fault.Fault) *fault.Fault {
	p := passed("waiting: "+f.Detail, a.run())
	return p.WithRetry(a.b.jitter(5 * time.Second))
}

// run states whether an engine has begun the answer.
func (a *answer) run() fault.Run {
	switch {
	case a.next > 0:
		return fault.RunYes
	case a.reached:
		return fault.RunUnknown
	default:
		return fault.RunNo
	}
}

// refuse adds what the caller needs to a refusal and logs it.
func (a *answer) refuse(err error) error {
	f := fault.Of(err)
	if f.Run == "" || f.Run == fault.RunNo {
		f = f.WithRun(a.run())
	}
	if f.Kind == fault.NotOwner {
		f = fault.New(fault.UpstreamUnavailable, "%s", f.Detail).WithRun(f.Run)
	}
	if f.RetryAfter == 0 {
		switch f.Kind {
		case fault.LogUnavailable:
			f = f.WithRetry(a.b.jitter(logRetry))
		case fault.ReplicaElsewhere:
			f = f.WithRetry(a.b.jitter(elsewhereRetry))
		case fault.DeadlineUnreachable, fault.NoCapacity, fault.UpstreamUnavailable:
			f = f.WithRetry(a.b.jitter(5 * time.Second))
		}
	}
	event.RequestRefused.Log("request", a.r.ID, "model", a.r.Model, "class", string(a.r.Class), "reason", string(f.Kind),
		"run", string(f.Run), "retry-after", f.RetryAfter.String(), "detail", f.Detail)
	a.b.obs.Decided(time.Now(), a.r.ID, a.r.Model, "refused", "", string(f.Kind)+": "+f.Detail)
	return f
}

// incarnation returns the engine process that the peers know for an upstream.
func (b *Router) incarnation(upstream string) string {
	var s string
	b.facts.Do(func(m *member.Set) {
		f, _ := m.Get(member.Key{Kind: member.Upstream, Name: upstream})
		s = f.Incarnation
	})
	return s
}

// reportLeaving tells the peers that an upstream has refused work because it
// is leaving.
func (b *Router) reportLeaving(now time.Time, upstream string, d *declare.Upstream) {
	var f member.Fact
	b.facts.Do(func(m *member.Set) { f, _ = m.Get(member.Key{Kind: member.Upstream, Name: upstream}) })
	f.Kind, f.Name, f.Domain, f.Status = member.Upstream, upstream, d.FailureDomain, member.Leaving
	b.facts.Report(now, f)
	b.mu.Lock()
	b.models.SetHealth(upstream, route.Leaving)
	b.mu.Unlock()
}

// withSuspects returns the upstreams on which crash suspects run.
func (b *Router) withSuspects() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for u := range b.running {
		out = append(out, u)
	}
	return out
}

// fingerprint is the name under which the peers know a request.
func fingerprint(r *calls.Request) string { return strconv.FormatUint(r.Fingerprint, 16) }

// quarantined refuses a request that has crashed upstreams, and marks one
// that may have.
func (a *answer) quarantined(now time.Time) error {
	b := a.b
	b.mu.Lock()
	v, left := b.suspects.Judge(now, fingerprint(&a.r))
	b.mu.Unlock()
	a.suspect = v == poison.Suspect
	if v != poison.Quarantined {
		return nil
	}
	return a.refuse(fault.New(fault.RequestQuarantined, "this request has crashed several upstreams").WithRun(fault.RunYes).WithRetry(left))
}
