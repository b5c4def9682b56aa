package relay

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/ration"
	"github.com/azurespan/azurespan/internal/core/blame"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/guard"
	"github.com/azurespan/azurespan/internal/link/sse"
	"github.com/azurespan/azurespan/internal/rule/meter"
	"github.com/azurespan/azurespan/internal/rule/pick"
	"github.com/azurespan/azurespan/internal/rule/trial"
)

type (
	// exchange is the state of one request.
	exchange struct {
		relay *Relay
		w     http.ResponseWriter
		rc    *http.ResponseController
		// hr is the caller's request as it came.
		hr    *http.Request
		req   *fleet.Request
		route *fleet.Route
		// account is nil for a request that needs no key.
		account *fleet.Account
		// charge is what the request took of the account's allowance until it is
		// sent, nil if nothing.
		charge *meter.Charge
		// holding is what was held of the account's allowance when the request was
		// refused for it, as attributes of the log.
		holding []any
		query   pick.Query
		// caller is the address of the caller's host.
		caller string
		// attributes are the keys of the crash histories that concern the request.
		// known are the crashes of those that others share as of answeredAt, the time
		// of the first byte of the present attempt's answer; cleared is set once they
		// have been cleared of them.
		attributes []string
		known      blame.Known
		answeredAt time.Time
		cleared    bool
		// copy is the request as a possible repetition of others, onTrial is set while it
		// runs as the only one of them, and wasHeld once it has been held back.
		copy             trial.Copy
		onTrial, wasHeld bool
		// configVersion is the version of the configuration that route is from, and
		// fresh how certain it was on arrival that it is the newest.
		configVersion int64
		fresh         fleet.Freshness
		// deadline is the earlier of the caller's and the route's timeout.
		arrived, deadline time.Time
		// arrivedBoot is when the request arrived on the clock that counts suspensions.
		arrivedBoot time.Time
		// attempts counts the requests sent to upstreams, possibleRuns those
		// that may have run.
		attempts, possibleRuns int
		// streamID identifies the stream, also over its caller's attempts; begun is
		// set once an event of it has been forwarded, and whole once all of it has.
		streamID     uint64
		begun, whole bool
		// asked is set once the request has waited for the holder to order a load at
		// its software version.
		asked bool
		// lastFailure is the cause of the last failed attempt.
		lastFailure string
		// headerSent is set once the header of a streamed response was written.
		headerSent bool
		// unproven are the ends of the stream after one event of which it isn't known
		// whether anything follows.
		unproven []unprovenEnd
		// proof ends the attempt that is to show that nothing follows, nil if there was
		// none.
		proof *time.Timer
		// resets is set while the end of the caller's connection resets it.
		resets bool
		// ended is what ended the response of the last attempt, as outcome.end.
		ended  string
		events *sse.Splitter
		// holds are the memory that buffered responses take until the request has ended.
		holds       []*ration.Hold
		firstByteAt time.Time
		// heardAt is when a part of a response was last recorded.
		heardAt time.Time
	}

	// refusal is a final response of azurespan itself.
	refusal struct {
		code       int
		reason     string
		retryAfter time.Duration
	}
)

const (
	// defaultMaxBodyBytes bounds a request body while there is no
	// configuration.
	defaultMaxBodyBytes = 4 << 20
	// quarantinedReason is the refusal reason of a request that crashes
	// upstreams.
	quarantinedReason = "quarantined"
	// stoppingReason is the refusal reason of a request that can't end before the
	// daemon does.
	stoppingReason = "stopping"
)

// errStopping is why a request in progress ends with its daemon.
var errStopping = errors.New("the daemon stops")

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	arrived := r.now()
	maxBodyBytes := defaultMaxBodyBytes
	if cfg := r.Config(); cfg != nil && cfg.Limits.BodyBytes > 0 {
		maxBodyBytes = cfg.Limits.BodyBytes
	}
	caller, _, err := net.SplitHostPort(hr.RemoteAddr)
	if err != nil {
		caller = hr.RemoteAddr
	}
	if r.refuseUnread(w, hr, maxBodyBytes) {
		return
	}
	if !guard.Guards(hr) {
		hold := r.requestBodies.Hold(caller)
		defer hold.Release()
		hr.Body = &rationedBody{ReadCloser: hr.Body, hold: hold}
	}
	req, err := r.codec.DecodeRequest(hr, maxBodyBytes)
	if err != nil {
		r.refuseUndecodable(w, err)
		return
	}
	cfg := r.Config()
	if cfg == nil {
		r.refuse(w, req.ID, refusal{http.StatusServiceUnavailable, unconfiguredReason, unconfiguredRetryAfter}, arrived)
		return
	}
	route := match(cfg, req.Host, req.Path)
	if route == nil {
		r.refuse(w, req.ID, refusal{code: http.StatusNotFound, reason: noRouteReason}, arrived)
		return
	}
	fresh := r.freshness(cfg)
	account, resp, ok := r.authorize(cfg, route, req, fresh)
	if !ok {
		name := ""
		if account != nil {
			name = account.Name
			r.countDenial(name, resp.reason)
			r.metrics.Accounts.Ended(name, metric.OutcomeRefused)
		}
		r.refuse(w, req.ID, resp, arrived, "account", name, "has-key", req.Key != nil, "configuration", cfg.Version, "age", fresh.Age, "outdated", fresh.Outdated)
		return
	}
	x := &exchange{account: account, relay: r, w: w, rc: http.NewResponseController(w), hr: hr, req: req, route: route, configVersion: cfg.Version, fresh: fresh, arrived: arrived, arrivedBoot: r.boot(), events: sse.New()}
	x.deadline = arrived.Add(route.Timeout)
	if req.CallerTimeout > 0 && req.CallerTimeout < route.Timeout {
		x.deadline = arrived.Add(req.CallerTimeout)
	}
	x.streamID = hash64(req.ID)
	if req.Resumes != "" && req.LastEventID != "" {
		x.streamID = hash64(req.Resumes)
	}
	x.query = pick.Query{
		Key:       fleet.Key{Service: route.Pick(x.streamID), Model: req.Model, Adapter: req.Adapter},
		PrefixKey: req.SharedKey(),
		NoRetry:   !route.Repeatable(),
		Begins:    route.Kind == fleet.Stream && req.LastEventID == "",
	}
	x.events.LastID = req.LastEventID
	defer x.releaseHolds()
	x.caller, x.attributes = caller, attributes(req, caller)
	x.copy.Keys = blame.Repeated(x.attributes)
	// A caller that does not read must not hold the request past its deadline.
	if err := x.rc.SetWriteDeadline(x.deadline.Add(writeGrace)); err != nil {
		event.CallerWriteFailed.Log("request", req.ID, "cause", err.Error())
	}
	limited, cancel := context.WithDeadline(hr.Context(), x.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(limited)
	defer end(nil)
	defer context.AfterFunc(r.serving, func() { end(errStopping) })()
	x.run(ctx)
	x.markFinished()
}

// attributes returns the keys of the crash histories that concern a request from the
// caller's host.
func attributes(req *fleet.Request, caller string) []string {
	return blame.Attributes(&blame.Request{
		Caller: caller, Method: req.Method, Target: req.Target, Path: req.Path, Model: req.Model, Adapter: req.Adapter,
		Body: req.Body, Parts: req.SharedParts(),
	})
}

// hash64 returns a hash of s in 63 bits.
func hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64() >> 1
}

// run makes attempts until one succeeds or no retry is allowed.
func (x *exchange) run(ctx context.Context) {
	if resp, ok := x.meterRequest(ctx); !ok {
		x.fail(ctx, resp)
		return
	}
	defer x.settleAllowance()
	if resp, ok := x.admit(); !ok {
		x.fail(ctx, resp)
		return
	}
	if resp, ok := x.resumeStream(ctx); !ok {
		x.fail(ctx, resp)
		return
	}
	defer x.endStream()
	defer x.endTrial(nil, fleet.Upstream{})
	// kept is the last attempt that brought an error response.
	var kept outcome
	var keptFrom fleet.Upstream
	for {
		o, up, resp, ok, again := x.next(ctx)
		if again {
			continue
		}
		if !ok && kept.response != nil && !x.headerSent {
			x.finishFailed(ctx, kept, keptFrom)
			return
		}
		if !ok && x.finishUnproven(ctx, false) {
			return
		}
		if !ok {
			x.fail(ctx, resp)
			return
		}
		if o.done {
			x.finishWhole(up, o.status)
			return
		}
		if o.unproven && x.reserveProof(ctx) {
			x.possibleRuns++
			continue
		}
		if x.finishUnproven(ctx, o.unproven) {
			return
		}
		if o.response != nil {
			kept, keptFrom = o, up
		}
		if x.mayRetry(ctx, o) {
			continue
		}
		if kept.response != nil {
			o, up = kept, keptFrom
		}
		x.finishFailed(ctx, o, up)
		return
	}
}

// next makes an attempt once an upstream can take it. If ok isn't set there was none, and
// resp is the refusal; again is set if that may change at once.
func (x *exchange) next(ctx context.Context) (o outcome, up fleet.Upstream, resp refusal, ok, again bool) {
	proves := x.likelyComplete()
	if proves {
		var stop func()
		ctx, stop = x.boundProof(ctx)
		defer stop()
	}
	c, resp, ok := x.acquire(ctx)
	if ok {
		// Crashes may have become known during the wait.
		resp, ok, again = x.confirm(c)
	}
	if !ok {
		if proves && !again {
			x.returnRetryToken()
		}
		return o, up, resp, false, again
	}
	o, up = x.attempt(ctx, c)
	x.endTrial(&o, up)
	if proves && ctx.Err() == nil && o.unsent() {
		x.returnRetryToken()
	}
	return o, up, resp, true, false
}

// admit counts the request, and refuses it if it is quarantined for crashing upstreams
// or might not end before the daemon does.
func (x *exchange) admit() (refusal, bool) {
	r, now := x.relay, x.relay.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.endsAt.IsZero() && x.deadline.After(r.endsAt) {
		return refusal{http.StatusServiceUnavailable, stoppingReason, stoppingRetryAfter}, false
	}
	r.arrivals[r.demandKey(x.query.Key)]++
	r.budget(now, x.query.Key.Service).AddRequest()
	return x.checkQuarantine(now)
}

// checkQuarantine reports whether the request may be sent to upstreams, and its
// refusal if it crashes them. r.mu must be held.
func (x *exchange) checkQuarantine(now time.Time) (refusal, bool) {
	key, left := x.relay.blame.Judge(now, x.attributes)
	if key == "" {
		return refusal{}, true
	}
	x.lastFailure = fmt.Sprintf("upstreams crashed: %d, fingerprint %s", len(x.relay.suspects.Entry(key).Crashes), key)
	if x.possibleRuns > 0 {
		return refusal{code: http.StatusBadGateway, reason: quarantinedReason}, false
	}
	return refusal{http.StatusServiceUnavailable, quarantinedReason, max(left, time.Second)}, false
}

// targetStart returns when the request must start to meet the latency target.
func (x *exchange) targetStart() time.Time {
	if x.headerSent {
		// The latency target no longer applies: the pause of an interrupted
		// stream counts from its last event.
		return x.deadline
	}
	return x.arrived.Add(x.route.LatencyTarget - minServiceTime)
}
