package relay

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/pick"
	"github.com/azurespan/azurespan/internal/rule/queue"
	"github.com/azurespan/azurespan/internal/rule/trial"
)

// waiter is a request that waits for an upstream.
type waiter struct {
	item  *queue.Item
	query *pick.Query
	ready chan pick.Choice
	// quarantined is closed when the request is found to crash upstreams, and hopeless
	// gets the time in which it could be served if the holder finds that it can't be.
	// refused is set then.
	quarantined chan struct{}
	hopeless    chan time.Duration
	refused     bool
	// attributes are the keys of the crash histories that concern the request.
	attributes []string
	// copy is the request as a possible repetition of others. held is set while it
	// isn't in the queue because it is held back, and asks while it waits for the
	// holder to assign it its trial.
	copy       *trial.Copy
	held, asks bool
	// account is the name of the request's account.
	account string
	// target is when the request is to be answered to be on time.
	arrived, target time.Time
	// begun is set for the rest of a stream.
	begun bool
	// since is when the wait began.
	since time.Time
}

// confirm reports whether the request may be sent to the acquired upstream. If
// not, it releases the upstream; again is set if the request is to wait, since another
// repetition of it runs.
func (x *exchange) confirm(c pick.Choice) (resp refusal, ok, again bool) {
	r, now := x.relay, x.relay.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	resp, ok = x.checkQuarantine(now)
	again = ok && r.trials.Admit(now, &x.copy) == trial.Held
	if !ok || again {
		r.table.Finish(now, c.Upstream, x.query.Key, pick.Inconclusive, 0)
		r.dispatchFreed(now, c.Upstream)
		return resp, false, again
	}
	x.startTrial(now)
	return resp, true, false
}

// acquire chooses an upstream for the next attempt and counts the request there.
// If there is none, or the request is held back as a suspect, it queues the request as
// long as waitLimit allows and the request isn't quarantined.
func (x *exchange) acquire(ctx context.Context) (pick.Choice, refusal, bool) {
	r := x.relay
	now := r.now()
	r.mu.Lock()
	if resp, ok := x.checkQuarantine(now); !ok {
		r.mu.Unlock()
		return pick.Choice{}, resp, false
	}
	// An upstream may have become usable since the last dispatch.
	r.dispatchKey(now, x.query.Key)
	c, reason := pick.Choice{}, pick.Found
	held := r.trials.Admit(now, &x.copy) == trial.Held
	if !held {
		c, reason = r.table.Choose(now, &x.query)
	}
	if !held && reason == pick.Found {
		r.table.Start(now, c.Upstream.ID, x.query.Key)
		r.mu.Unlock()
		return c, refusal{}, true
	}
	until, resp, wait := r.waitLimit(now, x, reason)
	cause := reason.String()
	if held {
		cause, x.wasHeld = suspectReason, true
		if x.possibleRuns == 0 && resp.reason == reason.String() {
			resp.reason = suspectReason
		}
	}
	if !wait {
		r.mu.Unlock()
		return pick.Choice{}, resp, false
	}
	again := r.awaitsPlan(x, reason)
	if again {
		until = minTime(until, now.Add(planTime))
	}
	r.nextID++
	w := &waiter{
		item:  x.queueItem(r.nextID, until),
		query: &x.query, attributes: x.attributes, account: x.req.Account, since: now, ready: make(chan pick.Choice, 1), quarantined: make(chan struct{}),
		arrived: x.arrived, target: x.targetStart().Add(minServiceTime), begun: x.headerSent, hopeless: make(chan time.Duration, 1),
		copy: &x.copy, held: held, asks: held && x.copy.Wants(),
	}
	r.waiters[w.item.ID] = w
	if !held {
		r.queue.Add(w.item)
	}
	waiting, limited := len(r.waiters), x.query.Limited
	r.mu.Unlock()
	r.requestReport()
	event.RequestQueued.Log("request", x.req.ID, "reason", cause, "service", x.query.Key.Service,
		"model", fleet.ModelName(x.req.Model, x.req.Adapter), "until", until.Sub(now), "waiting", waiting, "limited", limited)

	t := time.NewTimer(until.Sub(now))
	defer t.Stop()
	stopped := r.stopped
	if x.headerSent {
		// The wait is short, and a stream that has begun can't be refused.
		stopped = nil
	}
	timedOut := false
	select {
	case c := <-w.ready:
		return c, refusal{}, true
	case <-ctx.Done():
	case <-t.C:
		timedOut = true
	case <-w.quarantined:
	case in := <-w.hopeless:
		x.refuseHopeless(&resp, in)
	case <-stopped:
		if x.possibleRuns == 0 {
			resp.reason, resp.retryAfter = stoppingReason, stoppingRetryAfter
		}
	}
	r.mu.Lock()
	if !w.held && !r.queue.Remove(w.item.ID) {
		// An upstream was assigned at the same moment.
		r.mu.Unlock()
		return <-w.ready, refusal{}, true
	}
	delete(r.waiters, w.item.ID)
	x.wasHeld = x.wasHeld || w.held
	if refused, ok := x.checkQuarantine(r.now()); !ok {
		resp, again = refused, false
	}
	r.mu.Unlock()
	if again && timedOut {
		return x.acquire(ctx)
	}
	return pick.Choice{}, resp, false
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// HasWaiting reports whether a request is queued.
func (r *Relay) HasWaiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiters) > 0
}
