package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

const (
	// unconfiguredRetryAfter is the Retry-After of a daemon that has no
	// configuration yet; reading it takes some hundred ms.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a daemon that is shutting down;
	// another daemon takes the request at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// upstreamRetryAfter is the Retry-After of a request that found no usable
	// upstream; a crashed one needs some seconds to restart.
	upstreamRetryAfter = time.Second
	// waitFraction is the fraction of the time until a request's latest start
	// for which it is queued if all upstreams are full or no load of its model
	// is in progress. The rest is left for a retry by the caller.
	waitFraction = 0.5
	// A caller of a stream disconnects after a gap without events, also before
	// the first one: minCallerGap, callerGapTargets times the route's latency
	// target or callerGapFactor times its maximum event gap, whichever is
	// longest (the platform's description of its callers). callerGapMargin is
	// the allowance for network latency.
	minCallerGap     = 2 * time.Second
	callerGapTargets = 4
	callerGapFactor  = 8
	callerGapMargin  = 200 * time.Millisecond
	// maxResumePause bounds how long an interrupted stream waits for another
	// upstream; callers disconnect after 2 s.
	maxResumePause = 1500 * time.Millisecond
	// minServiceTime is the shortest time in which a request can be served.
	minServiceTime = 20 * time.Millisecond
	// planTime is how long a stream that no upstream of its version can go on with
	// waits before it goes by what the holder has ordered to be loaded there: a report, a
	// decision and a reply take some 0.1 s, and 0.3 s at 320 daemons.
	planTime = 400 * time.Millisecond
	// loadSlack is added to the expected end of a load.
	loadSlack = 500 * time.Millisecond
	// maxRetryDivisor limits Retry-After to a third of the time left until the
	// deadline; callers honour no more.
	maxRetryDivisor = 3
	// maxWaiting bounds the requests that wait on a daemon, far above the some 2,000
	// that a burst of ten times the largest deployment's rate leaves waiting for 30 s.
	maxWaiting = 8192
	// notAtHandReason is the refusal reason of a request for a model that isn't being
	// loaded, of which no engine has the weights, and whose load from the weight store
	// takes longer than the caller waits.
	notAtHandReason = "not-at-hand"
	// queueFullReason is the refusal reason of a request beyond maxWaiting.
	queueFullReason = "queue-full"
)

// waitLimit decides whether a request for which no upstream was chosen is queued
// and until when. resp is its refusal if it isn't queued or the wait ends without
// an upstream. r.mu must be held.
func (r *Relay) waitLimit(now time.Time, x *exchange, reason pick.Reason) (until time.Time, resp refusal, wait bool) {
	last := x.latestStart()
	until = x.arrived.Add(time.Duration(waitFraction * float64(last.Sub(x.arrived))))
	resp = refusal{http.StatusServiceUnavailable, reason.String(), r.jitterRetryAfter(x, upstreamRetryAfter)}
	if x.possibleRuns > 0 {
		resp = refusal{code: http.StatusBadGateway, reason: "upstream-failed"}
	}
	if x.headerSent {
		return now.Add(maxResumePause), resp, true
	}
	if len(r.waiters) >= maxWaiting {
		if x.possibleRuns == 0 {
			resp.reason = queueFullReason
		}
		return until, resp, false
	}
	switch reason {
	case pick.NotLoaded:
		if !r.declared(x.query.Key) {
			resp.reason = "unknown-model"
			return until, resp, false
		}
		eta, ok := r.pendingLoad(x)
		if !ok {
			if load := r.storeLoadTime(x.query.Key); now.Add(load+minServiceTime).After(last) && !r.table.AtHand(now, x.query.Key.Service, x.query.Key.Model) {
				resp.reason, resp.retryAfter = notAtHandReason, r.jitterRetryAfter(x, load)
				return until, resp, false
			}
			break
		}
		if eta.Add(minServiceTime).After(last) {
			resp.reason, resp.retryAfter = "model-too-late", r.jitterRetryAfter(x, eta.Sub(now))
			if x.query.Version != nil {
				resp.retryAfter = r.spread(eta.Sub(now))
			}
			return until, resp, false
		}
		if later := eta.Add(loadSlack); later.After(until) {
			until = later
		}
	case pick.NoUpstream:
		if len(x.query.Tried) > 0 {
			return until, resp, false
		}
	case pick.OtherVersion:
		if eta, ok := r.returns(x); ok && x.possibleRuns == 0 {
			resp.retryAfter = r.spread(max(eta.Sub(now), 0))
		}
		return until, resp, false
	case pick.Full:
		if end := x.query.PausedUntil; end.After(last) {
			if resp.retryAfter > 0 {
				resp.retryAfter = r.spread(end.Sub(now))
			}
			return until, resp, false
		} else if end.After(until) {
			until = end.Add(minServiceTime)
		}
	case pick.Found:
	}
	if until.After(last) {
		until = last
	}
	return until, resp, until.After(now)
}

// storeLoadTime returns the time of a load of a key's model from the weight store.
func (r *Relay) storeLoadTime(k fleet.Key) time.Duration {
	return r.Config().Services[k.Service].Engine.Models[k.Model].StoreLoadTime
}

// awaitsPlan reports whether the request waits for the holder to order a load at its
// software version. It does so once. r.mu must be held.
func (r *Relay) awaitsPlan(x *exchange, reason pick.Reason) bool {
	if x.query.Version == nil || reason != pick.NotLoaded || x.headerSent || x.asked {
		return false
	}
	_, pending := r.pendingLoad(x)
	x.asked = !pending
	return x.asked
}

// pendingLoad returns the expected end of the first load that lets the request run: one in
// progress or, for a stream for which the holder has ordered none, that on the first crashed
// upstream of its version that is back. r.mu must be held.
func (r *Relay) pendingLoad(x *exchange) (eta time.Time, ok bool) {
	k := fleet.Key{Service: x.query.Key.Service, Model: x.query.Key.Model}
	if x.query.Version == nil {
		eta, ok = r.pendingLoads[k]
		return eta, ok
	}
	if eta, ok = r.boundLoads[fleet.VersionKey{Key: k, Version: *x.query.Version}]; ok || !x.asked {
		return eta, ok
	}
	return r.returns(x)
}

// returns returns when a crashed upstream of the stream's version is expected to be back and
// to have loaded its model, false if there is none. r.mu must be held.
func (r *Relay) returns(x *exchange) (eta time.Time, ok bool) {
	if x.query.Version == nil {
		return eta, false
	}
	eta, ok = r.table.Returns(x.query.Key.Service, *x.query.Version)
	if e := r.Config().Services[x.query.Key.Service].Engine; e != nil {
		eta = eta.Add(e.Models[x.query.Key.Model].DiskLoadTime)
	}
	return eta, ok
}

// latestStart returns the latest time at which the request may be sent: before
// its deadline and, for a stream, before the caller disconnects.
func (x *exchange) latestStart() time.Time {
	last := x.deadline.Add(-minServiceTime)
	if x.route.Kind != fleet.Stream {
		return last
	}
	gap := max(minCallerGap, callerGapTargets*x.route.LatencyTarget, callerGapFactor*x.route.MaxEventGap) - callerGapMargin
	if disconnect := x.arrived.Add(gap); disconnect.Before(last) {
		return disconnect
	}
	return last
}

// demandKey returns what a request for k counts as in the demand: without names that
// the configuration doesn't declare, which callers choose.
func (r *Relay) demandKey(k fleet.Key) fleet.Key {
	if !r.declared(k) {
		return fleet.Key{Service: k.Service}
	}
	if !slices.Contains(r.Config().Services[k.Service].Engine.Models[k.Model].Adapters, k.Adapter) {
		k.Adapter = ""
	}
	return k
}

// declared reports whether the configuration declares the model.
func (r *Relay) declared(k fleet.Key) bool {
	s, ok := r.Config().Services[k.Service]
	if !ok || s.Engine == nil {
		return false
	}
	_, ok = s.Engine.Models[k.Model]
	return ok
}

// jitterRetryAfter returns a random delay in [3d/4, 5d/4), so that callers that
// were refused at the same time do not retry at the same time. d is limited to
// what callers honour.
func (r *Relay) jitterRetryAfter(x *exchange, d time.Duration) time.Duration {
	if left := x.deadline.Sub(r.now()); left > 0 {
		d = min(d, left/maxRetryDivisor)
	}
	return d*3/4 + time.Duration(r.rng.Int64N(int64(max(d, 2)/2)))
}

// spread returns a random delay in [d, 5d/4), for callers that can't be served before d.
func (r *Relay) spread(d time.Duration) time.Duration {
	return d + time.Duration(r.rng.Int64N(int64(max(d, 4)/4)))
}
