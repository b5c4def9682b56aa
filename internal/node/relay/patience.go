package relay

import (
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

const (
	// unconfiguredRetry is when a caller of a daemon that has no configuration
	// yet should come back; reading it takes some hundred ms.
	unconfiguredRetry = 500 * time.Millisecond
	// stoppingRetry is when a caller of a daemon that stops should come back;
	// another daemon takes it at once.
	stoppingRetry = 50 * time.Millisecond
	// lostRetry is when a caller should come back whose request needs an
	// upstream that isn't there; a crashed one takes some seconds.
	lostRetry = time.Second
	// waitShare is the share of the caller's patience that a request waits
	// for a place, or for a model that nobody loads yet. The rest is left for
	// the caller to come back.
	waitShare = 0.5
	// A caller of a stream leaves after a gap, also before the first event:
	// of leaveAfter, or leaveTargets times the target, or leaveGaps times the
	// longest pause of a punctual stream, whichever is longest (the platform's
	// description of its callers). leaveMargin is kept for the way.
	leaveAfter   = 2 * time.Second
	leaveTargets = 4
	leaveGaps    = 8
	leaveMargin  = 200 * time.Millisecond
	// resumeWait bounds the pause of a stream that looks for another
	// upstream; callers leave after 2 s.
	resumeWait = 1500 * time.Millisecond
	// leastService is the time that an answer needs at least.
	leastService = 20 * time.Millisecond
	// comingSlack is added to the expected end of a load.
	comingSlack = 500 * time.Millisecond
)

// patience says how long a request without an upstream waits, or that it
// doesn't, and the answer that it gets in the end; r.mu is held.
func (r *Relay) patience(now time.Time, x *exchange, why pick.Reason) (until time.Time, st status, wait bool) {
	last := x.lastStart()
	until = x.arrived.Add(time.Duration(waitShare * float64(last.Sub(x.arrived))))
	st = status{http.StatusServiceUnavailable, why.String(), r.spread(x, lostRetry)}
	if x.runs > 0 {
		st = status{code: http.StatusBadGateway, reason: "upstream-failed"}
	}
	if x.started {
		return now.Add(resumeWait), st, true
	}
	switch why {
	case pick.NotLoaded:
		if !r.declared(x.query.Key) {
			st.reason = "unknown-model"
			return until, st, false
		}
		eta, ok := r.coming[fleet.Key{Service: x.query.Key.Service, Model: x.query.Key.Model}]
		if !ok {
			break
		}
		if eta.Add(leastService).After(last) {
			st.reason, st.retryAfter = "model-too-late", r.spread(x, eta.Sub(now))
			return until, st, false
		}
		if later := eta.Add(comingSlack); later.After(until) {
			until = later
		}
	case pick.NoUpstream:
		if len(x.query.Tried) > 0 {
			return until, st, false
		}
	case pick.Found, pick.Full:
	}
	if until.After(last) {
		until = last
	}
	return until, st, until.After(now)
}

// lastStart returns when the request must be sent at the latest: before its
// end, and a stream before its caller leaves.
func (x *exchange) lastStart() time.Time {
	last := x.end.Add(-leastService)
	if x.route.Kind != fleet.Stream {
		return last
	}
	gap := max(leaveAfter, leaveTargets*x.route.LatencyTarget, leaveGaps*x.route.MaxEventGap) - leaveMargin
	if leaves := x.arrived.Add(gap); leaves.Before(last) {
		return leaves
	}
	return last
}

// declared reports whether the configuration has the model and adapter.
func (r *Relay) declared(k fleet.Key) bool {
	s, ok := r.Config().Services[k.Service]
	if !ok || s.Engine == nil {
		return false
	}
	_, ok = s.Engine.Models[k.Model]
	return ok
}

// spread returns a time to come back around d, so that callers that were
// refused together don't return together. Callers honour at most a third of
// the time that they have left.
func (r *Relay) spread(x *exchange, d time.Duration) time.Duration {
	if left := x.end.Sub(r.now()); left > 0 {
		d = min(d, left/3)
	}
	return d*3/4 + time.Duration(r.rng.Int64N(int64(max(d, 2)/2)))
}
