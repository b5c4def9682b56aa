package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/meter"
)

// meteredRequest is a request that waits for its account's allowance.
type meteredRequest struct {
	size float64
	// since is when the wait began.
	since time.Time
	// charge is set before the verdict Taken.
	charge *meter.Charge
	// verdict gets any but Ask.
	verdict chan meter.Verdict
}

const (
	// allowanceWait bounds how long a request waits for the holder's answer to a
	// question, which takes some ms in contact and up to 0.15 s with 300 daemons,
	// and allowanceWaitShare does as a share of the time that it has.
	allowanceWait      = 400 * time.Millisecond
	allowanceWaitShare = 0.25
	// deniedRetryAfter is the least Retry-After of a request beyond an allowance.
	// Many have to come back to an account that needs it.
	deniedRetryAfter = 500 * time.Millisecond
	// holderAbsence is the time from a holder's last answer until its successor
	// answers: tenure 2.5 s, margin 0.25 s, up to 0.3 s of stagger, and a report.
	holderAbsence = 3600 * time.Millisecond
	// deniedReason and unmeteredReason are the refusal reasons of a request beyond
	// its account's allowance, and of one for which that can't be known.
	deniedReason    = "allowance"
	unmeteredReason = "allowance-unknown"
	// aboveAllowanceReason is the refusal reason of a request that is larger than
	// what its account may use in a whole window, and aboveBucketReason of one that
	// is larger than what is saved for the account at one time. Neither can ever be
	// served.
	aboveAllowanceReason = "larger-than-allowance"
	aboveBucketReason    = "larger-than-bucket"
)

// boot returns the time of a clock that counts suspensions.
func (r *Relay) boot() time.Time {
	if r.settings.BootClock == nil {
		return r.now()
	}
	return r.settings.BootClock()
}

// takeAllowance counts the request against its account's allowance. If what this daemon
// has is not enough, it asks the holder and waits for the answer.
func (x *exchange) takeAllowance(ctx context.Context) (refusal, bool) {
	if x.account == nil || !x.account.Allowance.Limited() {
		return refusal{}, true
	}
	r, name := x.relay, x.account.Name
	w := &meteredRequest{size: x.account.Allowance.Size(x.req), since: r.now(), verdict: make(chan meter.Verdict, 1)}
	r.mu.Lock()
	verdict := meter.Ask
	if len(r.metered[name]) == 0 { // requests that wait go first
		x.charge, verdict = r.meter.Charge(r.boot(), name, w.size)
	}
	switch {
	case verdict == meter.Taken:
		r.mu.Unlock()
		return refusal{}, true
	case verdict == meter.Denied, verdict == meter.TooLarge:
		defer r.mu.Unlock()
		return x.denied(verdict, w.size), false
	case !r.meter.Reached(r.boot()) && !r.mayBorrow():
		defer r.mu.Unlock()
		return x.unmetered(w.size), false
	}
	r.metered[name] = append(r.metered[name], w)
	r.mu.Unlock()
	r.requestReport()
	select {
	case r.Unmetered <- struct{}{}:
	default:
	}

	limit := min(allowanceWait, time.Duration(allowanceWaitShare*float64(x.deadline.Sub(x.arrived))))
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case verdict = <-w.verdict:
	case <-ctx.Done():
	case <-t.C:
	case <-r.stopped:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if verdict == meter.Ask && !r.forget(name, w) {
		verdict = <-w.verdict
	}
	switch verdict {
	case meter.Taken:
		x.charge = w.charge
		return refusal{}, true
	case meter.Denied, meter.TooLarge:
		return x.denied(verdict, w.size), false
	case meter.Ask:
	}
	event.AllowanceUnknown.Log("request", x.req.ID, "account", name, "size", w.size, "waited", limit)
	return x.unmetered(w.size), false
}

// settleAllowance ends the charge of the request: what one that was never sent took of
// its account's allowance returns, for others that wait for it.
func (x *exchange) settleAllowance() {
	r := x.relay
	if x.charge == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.attempts > 0 {
		r.meter.Sent(x.charge)
	} else {
		r.meter.Return(r.boot(), x.charge)
		r.serveMetered()
	}
	x.charge = nil
}

// denied is the refusal of a request beyond its account's allowance. r.mu must be held.
func (x *exchange) denied(verdict meter.Verdict, size float64) refusal {
	if verdict == meter.TooLarge {
		return x.tooLarge(size)
	}
	return refusal{http.StatusTooManyRequests, deniedReason, x.returnAfter(size, deniedRetryAfter)}
}

// tooLarge is the refusal of a request that can't ever be served, without a time to come
// back. That its account may not send it at all (413) is said only if no newer
// configuration may allow it; a request that the configuration allows, but that is more
// than is saved at one time, gets 429, which promises no more than that it doesn't run.
// r.mu must be held.
func (x *exchange) tooLarge(size float64) refusal {
	r := x.relay
	if size <= r.settings.Allowances.Most(x.account.Allowance) {
		return refusal{code: http.StatusTooManyRequests, reason: aboveBucketReason}
	}
	if r.outdated(x.fresh) {
		return refusal{http.StatusServiceUnavailable, staleReason, r.jitterRetryAfter(x, staleConfigRetryAfter)}
	}
	return refusal{code: http.StatusRequestEntityTooLarge, reason: aboveAllowanceReason}
}

// returnAfter returns a Retry-After of at least least that spreads the callers of the
// account by its rate. r.mu must be held.
func (x *exchange) returnAfter(size float64, least time.Duration) time.Duration {
	r := x.relay
	most := max(x.deadline.Sub(r.now())/maxRetryDivisor, time.Millisecond)
	return r.meter.ReturnAfter(r.boot(), x.account.Name, meter.Return{Size: size, Daemons: r.daemons, Least: least, Most: most}, r.rng.Float64())
}

// unmetered is the refusal of a request for which the holder can't be asked. If this
// daemon is in contact with the log, there is probably no holder, and the caller would be
// refused by other daemons too until there is one. Else they mostly can serve it. r.mu
// must be held.
func (x *exchange) unmetered(size float64) refusal {
	r := x.relay
	resp := refusal{http.StatusServiceUnavailable, unmeteredReason, 0}
	silent := r.meter.SilentFor(r.boot())
	if r.meter.Reached(r.boot()) || silent > holderAbsence || r.outdated(x.fresh) {
		resp.retryAfter = r.jitterRetryAfter(x, staleConfigRetryAfter)
		return resp
	}
	resp.retryAfter = x.returnAfter(size, max(holderAbsence-silent, staleConfigRetryAfter))
	return resp
}

// forget removes a request that waits, and reports whether it did. r.mu must be held.
func (r *Relay) forget(name string, w *meteredRequest) bool {
	for i, o := range r.metered[name] {
		if o == w {
			if r.metered[name] = append(r.metered[name][:i], r.metered[name][i+1:]...); len(r.metered[name]) == 0 {
				delete(r.metered, name)
			}
			return true
		}
	}
	return false
}

// serveMetered ends the wait of requests for which their accounts' allowances have room
// now, or are known to have none. r.mu must be held.
func (r *Relay) serveMetered() {
	for name, waiting := range r.metered {
		for len(waiting) > 0 {
			charge, verdict := r.meter.Charge(r.boot(), name, waiting[0].size)
			if verdict == meter.Ask {
				break
			}
			waiting[0].charge = charge
			waiting[0].verdict <- verdict
			waiting = waiting[1:]
		}
		if len(waiting) == 0 {
			delete(r.metered, name)
		} else {
			r.metered[name] = waiting
		}
	}
}

// allowanceQuestion returns the question to the holder for what requests and reserves
// lack. r.mu must be held.
func (r *Relay) allowanceQuestion() fleet.AllowanceAsk {
	return r.meter.Question(r.boot(), r.waitingSince(r.now()))
}

// waitingSince returns what the requests count for that wait for an allowance since a time
// or for longer, by account. r.mu must be held.
func (r *Relay) waitingSince(since time.Time) (waiting map[string]meter.Waiting) {
	for name, requests := range r.metered {
		var n meter.Waiting
		for _, w := range requests {
			if w.since.After(since) {
				continue
			}
			if n.Sum += w.size; n.Least == 0 || w.size < n.Least {
				n.Least = w.size
			}
		}
		if n.Sum == 0 {
			continue
		}
		if waiting == nil {
			waiting = map[string]meter.Waiting{}
		}
		waiting[name] = n
	}
	return waiting
}
