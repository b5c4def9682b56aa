package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/trial"
)

// unframedAnswer is a response to a suspect that ended with its connection.
type unframedAnswer struct {
	at   time.Time
	up   fleet.Upstream
	keys []string
}

const (
	// suspectReason is the reason for which a request waits or is refused while a
	// repetition of it runs, since upstreams have crashed under it.
	suspectReason = "crash-suspect"
	// unframedTime is the time after the end of an unframed response at which its
	// upstream counts as having survived, if it is still registered and no crash was
	// seen: the register tells of a new start within 1 s.
	unframedTime = time.Second
	// maxUnframed bounds the unframed responses that are kept for that time.
	maxUnframed = 256
)

// reviewAllTrials is reviewTrials for all waiting requests, if any may have become a suspect
// since the last call. r.mu must be held.
func (r *Relay) reviewAllTrials(now time.Time) {
	rev, listings := r.suspects.Rev(), r.trials.Listings()
	changed := rev != r.reviewedRev || listings != r.reviewedListings
	r.reviewedRev, r.reviewedListings = rev, listings
	r.reviewTrials(now, changed)
}

// reviewTrials decides anew which of the waiting suspects, or of all waiting requests, are
// held back. Those that are don't stand in the queue: a request that an upstream is chosen
// for and that may not be sent would keep others of its model from it. r.mu must be held.
func (r *Relay) reviewTrials(now time.Time, all bool) {
	if !all && !r.trials.HasSuspects() {
		return
	}
	var waiters []*waiter
	for _, w := range r.waiters {
		if w.copy != nil && !w.refused && (all || w.held || w.copy.Suspected()) {
			waiters = append(waiters, w)
		}
	}
	slices.SortFunc(waiters, func(a, b *waiter) int { return int(int64(a.item.ID) - int64(b.item.ID)) })
	for _, w := range waiters {
		held := r.trials.Admit(now, w.copy) == trial.Held
		if asks := held && w.copy.Wants(); asks != w.asks {
			if w.asks = asks; asks {
				r.requestReport()
			}
		}
		if held == w.held {
			continue
		}
		if w.held = held; held {
			r.queue.Remove(w.item.ID)
		} else {
			r.queue.Add(w.item)
		}
	}
}

// startTrial records that the request is sent to an upstream. The caller holds relay.mu.
func (x *exchange) startTrial(now time.Time) {
	r := x.relay
	disputed, assigned := r.trials.Start(now, &x.copy)
	if x.onTrial = disputed; disputed {
		event.TrialBegun.Log("request", x.req.ID, "attributes", strings.Join(x.copy.Keys, ","), "assigned", assigned, "contact", r.trials.InContact(now), "waited", now.Sub(x.arrived))
	}
}

// endTrial records that the request no longer runs and doesn't wait, so that a repetition
// of it may. o is the outcome of its attempt at an upstream, nil if it wasn't sent.
func (x *exchange) endTrial(o *outcome, up fleet.Upstream) {
	if !x.copy.Suspected() {
		return
	}
	r, now := x.relay, x.relay.now()
	r.mu.Lock()
	if o != nil && o.unframed && len(r.unframed) < maxUnframed {
		r.unframed = append(r.unframed, unframedAnswer{now, up, x.copy.Keys})
	}
	took := r.trials.End(now, &x.copy)
	r.reviewTrials(now, false)
	r.dispatch(now)
	held, _ := r.trials.Held()
	r.mu.Unlock()
	if !x.onTrial && (o != nil || !x.wasHeld) {
		return
	}
	r.requestReport()
	if !x.onTrial {
		return
	}
	x.onTrial = false
	end := metric.TrialOther
	switch {
	case o != nil && o.crashed:
		end = metric.TrialCrashed
	case o != nil && o.answered():
		end = metric.TrialAnswered
	}
	r.metrics.Trials.WithLabelValues(end).Inc()
	event.TrialEnded.Log("request", x.req.ID, "end", end, "took", took, "held", held)
}

// settleUnframed records the unframed responses that were answers, as far as can be known
// after unframedTime. Without them, suspects of a service whose responses have neither a
// length nor chunks would run one at a time until their histories expire. r.mu must be held.
func (r *Relay) settleUnframed(now time.Time) {
	for len(r.unframed) > 0 && now.Sub(r.unframed[0].at) >= unframedTime {
		a := r.unframed[0]
		r.unframed = r.unframed[1:]
		crashed := !r.table.Usable(a.up)
		for _, k := range a.keys {
			_, last := r.blame.Uncleared(now, k)
			crashed = crashed || last.After(a.at.Add(-endingWindow))
		}
		if !crashed {
			r.trials.Answered(now, a.keys)
			r.requestReport()
		}
	}
}

// answered reports whether the upstream has answered the request completely and survived
// it. Responses other than 2xx don't clear crash histories, but end the trial.
func (o *outcome) answered() bool { return o.survived || o.done && !o.unframed }
