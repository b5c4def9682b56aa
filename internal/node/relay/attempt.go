package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/tunnel"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

// outcome is the result of one attempt.
type outcome struct {
	// done is set once the complete response has been written to the caller.
	done bool
	// status is the HTTP status of the upstream, 0 if there was none.
	status int
	// mayHaveRun is false only if the request certainly did not run.
	mayHaveRun bool
	result     pick.Outcome
	// firstByteTime is the time to the first byte of the response.
	firstByteTime time.Duration
	// crashed is set if the upstream closed the connection before the response
	// was complete.
	crashed bool
	// survived is set if the response proves that the upstream has run the
	// request to its end. A response without a length or chunks doesn't: it ends
	// with its connection, as that of a crashed upstream does.
	survived bool
	// unframed is set if the response looks complete but has neither a length nor
	// chunks, so that it may have ended with its upstream.
	unframed bool
	// unproven is set if it is a stream, which isn't done before it is known that
	// nothing follows.
	unproven bool
	// end is what ended the response to a request for a stream, one of
	// metric.StreamEndKinds; it is empty if there was none.
	end string
	// response is a complete error response, kept in case no later attempt
	// succeeds.
	response *response
	// replacedBy is the call that goes on with the request.
	replacedBy *call
	cause      string
}

// contentTypeError reports that the response which should resume a stream
// is not an event stream.
type contentTypeError struct{ contentType string }

const (
	// maxResponseBytes is the largest response that is buffered, and
	// maxRefusalBytes the largest of an upstream that did not run the request.
	maxResponseBytes = 16 << 20
	maxRefusalBytes  = 64 << 10
	// safeTimeoutTargets and streamTimeoutTargets are the time to the first
	// byte, in multiples of the route's latency target, after which a
	// retryable request is sent to another upstream as well. The time is at least
	// minFirstByteTimeout.
	safeTimeoutTargets   = 4
	streamTimeoutTargets = 3
	minFirstByteTimeout  = 400 * time.Millisecond
	// gapTimeoutFactor is the time between two reads of a stream, in multiples
	// of the route's maximum event gap, after which another upstream is asked to
	// resume the stream. The time is at least minGapTimeout.
	gapTimeoutFactor = 5
	minGapTimeout    = 700 * time.Millisecond
	// noPriority sends no priority and so leaves the order of a batch to the
	// engine: a more urgent request would preempt others in the middle of
	// their streams.
	noPriority = -1
	// heardInterval is the least time between two records that a stream goes on.
	heardInterval = 100 * time.Millisecond
	// connectTimeout bounds the connection setup of one attempt.
	connectTimeout = 500 * time.Millisecond
)

// Error implements error.
func (e *contentTypeError) Error() string {
	return "response is not an event stream: content type " + e.contentType
}

// unsent reports whether the request certainly did not reach the upstream.
func (o *outcome) unsent() bool {
	return o.result == pick.ConnectFailed || o.result == pick.Inconclusive && !o.mayHaveRun
}

// attempt sends the request to the chosen upstream, and to others that replace it
// while it is silent. It returns the outcome of the last one.
func (x *exchange) attempt(ctx context.Context, c pick.Choice) (outcome, fleet.Upstream) {
	x.countAttempt(c, "")
	up, sent := c.Upstream, x.relay.now()
	k, o := x.open(ctx, up, time.Time{})
	for {
		x.known, x.answeredAt, x.cleared = nil, time.Time{}, false
		if k != nil {
			o = x.receive(ctx, k)
		}
		x.recordOutcome(ctx, up, &o, sent, x.answeredFor(x.relay.now()))
		x.ended = o.end
		if o.unproven {
			x.addUnproven(ctx, up)
		}
		if o.replacedBy == nil {
			return o, up
		}
		if o.mayHaveRun {
			x.possibleRuns++
		}
		k = o.replacedBy
		up, sent = k.up, k.sent
		if o.unproven && x.likelyComplete() {
			bounded, stop := x.boundProof(ctx)
			defer stop()
			ctx = bounded
			k.detach()
			k.detach = context.AfterFunc(ctx, k.conn.Abort)
		}
	}
}

// recordOutcome records the outcome of an attempt, whose answer has taken the given
// time, in the routing and crash tables and logs a failure.
func (x *exchange) recordOutcome(ctx context.Context, up fleet.Upstream, o *outcome, sent time.Time, answeredFor time.Duration) {
	if ctx.Err() != nil && !o.done {
		o.result = pick.Inconclusive
	}
	r := x.relay
	now := r.now()
	r.mu.Lock()
	r.table.Finish(now, up, x.query.Key, o.result, o.firstByteTime)
	if o.done || o.unproven {
		x.countSlotTime(now.Sub(sent), answeredFor)
	}
	switch {
	case o.crashed && ctx.Err() == nil:
		x.recordCrash(now, up, answeredFor)
	case o.survived:
		x.clearAll(now, up, o.status)
	case o.unframed:
		x.recordUnframedEnd(now, up)
	}
	if o.answered() {
		r.trials.Answered(now, x.copy.Keys)
	}
	r.dispatchFreed(now, up)
	r.reportEnd(up)
	r.mu.Unlock()
	switch {
	case o.unproven:
		event.StreamEndUnproven.Log("request", x.req.ID, "upstream", up.ID, "events", x.events.EventCount, "last-event", event.Excerpt(x.events.LastID), "took", now.Sub(sent))
	case !o.done:
		o.cause = event.Excerpt(o.cause)
		x.lastFailure = o.cause
		event.RelayFailed.Log("request", x.req.ID, "upstream", up.ID, "cause", o.cause, "end", o.result,
			"may-have-run", o.mayHaveRun, "took", now.Sub(sent), "events", x.events.EventCount)
	}
}

// receive reads the response and forwards it.
func (x *exchange) receive(ctx context.Context, k *call) outcome {
	o, released := x.readResponse(ctx, k)
	k.end(released)
	if x.route.Kind == fleet.Stream && k.res != nil && k.verdict == fleet.Answered && k.res.StatusCode == http.StatusOK {
		if o.end == "" {
			o.end = metric.EndBroken
		}
		x.relay.metrics.StreamEnds.WithLabelValues(o.end).Inc()
	}
	return o
}

// resumeFrom returns the id of the last event that the caller has received.
func (x *exchange) resumeFrom() string { return x.events.LastID }

// repeatable reports whether the request may be sent to another upstream although one may
// have run it.
func (x *exchange) repeatable() bool { return x.route.Repeatable() && !x.events.Unnumbered }

// interrupted returns the outcome of a missing, malformed or truncated response.
func interrupted(err error, firstByteTime time.Duration) outcome {
	var lost *tunnel.LostError
	if errors.As(err, &lost) {
		return outcome{mayHaveRun: true, result: pick.Inconclusive, firstByteTime: firstByteTime, cause: err.Error()}
	}
	return outcome{mayHaveRun: true, result: pick.Interrupted, firstByteTime: firstByteTime, crashed: connectionEnded(err), cause: err.Error()}
}

// readResponse reads the response and forwards it. If released is false, the caller
// must close the connection.
func (x *exchange) readResponse(ctx context.Context, k *call) (o outcome, released bool) {
	if k.res == nil {
		if o, ok := x.awaitByte(ctx, k, x.firstByteTimeout(), false); !ok {
			return o, false
		}
		st := newStall(ctx, x, k, x.relay.now(), x.firstByteTimeout())
		k.conn.BoundReads(st)
		err := x.readHead(k)
		k.conn.BoundReads(nil)
		if st.next != nil {
			return st.outcome(), false
		}
		if err != nil {
			return interrupted(err, 0), false
		}
	}
	if k.verdict != fleet.Answered {
		return x.failedHead(k), false
	}
	x.heard(x.relay.now(), k.up)
	if x.route.Kind == fleet.Stream && k.res.StatusCode == http.StatusOK {
		o := x.forwardStream(ctx, k)
		o.firstByteTime = k.firstByteTime
		if o.done {
			k.release()
		}
		return o, o.done
	}
	if x.headerSent {
		// Nothing but the rest of the stream may follow what the caller has.
		return outcome{mayHaveRun: true, status: k.res.StatusCode, result: pick.Failed, firstByteTime: k.firstByteTime, cause: k.res.Status + " in place of the rest of a stream"}, false
	}
	return x.forwardBuffered(ctx, k)
}

// firstByteTimeout returns how long to wait for the first byte before a
// retryable request is sent to another upstream.
func (x *exchange) firstByteTimeout() time.Duration {
	if x.route.Kind == fleet.Stream {
		return max(streamTimeoutTargets*x.route.LatencyTarget, minFirstByteTimeout)
	}
	return max(safeTimeoutTargets*x.route.LatencyTarget, minFirstByteTimeout)
}

// awaitByte waits for the next byte. If none arrives within the timeout, another
// upstream is asked to take the request over, and further ones if that fails; the
// attempt fails once one has it, and the wait continues if none has. endAllowed is set if
// the response may end with its connection; if it does, a further upstream that has been
// asked says whether anything follows.
func (x *exchange) awaitByte(ctx context.Context, k *call, timeout time.Duration, endAllowed bool) (outcome, bool) {
	since := x.relay.now()
	silent, wait := false, timeout
	if k.res == nil {
		// A call that has replaced another one has waited already.
		wait = max(0, timeout-since.Sub(k.sent))
		since = k.sent
	}
	for {
		var next *call
		timedOut, err := k.conn.AwaitByte(x.relay.now().Add(wait))
		wait = timeout
		if timedOut && ctx.Err() == nil {
			silent = true
			c, reason := x.reserveReplacement(k.up, since)
			x.logSilence(k.up, since, reason)
			if reason == "" {
				next, timedOut, err = x.replace(ctx, k, c)
				// If that failed, another one is asked at once.
				wait = 0
			}
		}
		switch {
		case endAllowed && errors.Is(err, io.EOF) && next == nil:
			return outcome{}, true
		case endAllowed && errors.Is(err, io.EOF) && (x.events.EventCount > k.eventsBefore || x.endedHere()) && x.events.Buffered() == 0:
			o := endedUnproven(k.res)
			o.replacedBy = next
			return o, false
		case err != nil:
			o := interrupted(err, 0)
			o.replacedBy = next
			return o, false
		case next != nil:
			silence := x.relay.now().Sub(since)
			return outcome{mayHaveRun: true, result: pick.GivenUp, replacedBy: next, cause: "no data received for " + silence.String()}, false
		case !timedOut:
			if silent {
				x.recordContinued(k.up, since)
			}
			return outcome{}, true
		case ctx.Err() != nil:
			return outcome{mayHaveRun: true, result: pick.Inconclusive, cause: ctx.Err().Error()}, false
		}
	}
}

// gapTimeout returns how long a stream may pause before another upstream is asked to go on.
func (x *exchange) gapTimeout() time.Duration {
	return max(gapTimeoutFactor*x.route.MaxEventGap, minGapTimeout)
}

// recordContinued records that an upstream goes on after a silence.
func (x *exchange) recordContinued(up fleet.Upstream, since time.Time) {
	now := x.relay.now()
	x.heard(now, up)
	event.UpstreamContinued.Log("request", x.req.ID, "upstream", up.ID, "silent", now.Sub(since), "events", x.events.EventCount)
}

// heard records that an upstream has sent a part of the response.
func (x *exchange) heard(now time.Time, up fleet.Upstream) {
	x.heardAt = now
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.Heard(now, up) {
		r.dispatch(now)
	}
}

// logSilence logs that an upstream has sent nothing since the given time, and why no
// other one can take the request over, if that is so.
func (x *exchange) logSilence(up fleet.Upstream, since time.Time, unreplaceable string) {
	r, now := x.relay, x.relay.now()
	r.mu.Lock()
	tokens := r.budget(now, x.query.Key.Service).Available(now)
	r.mu.Unlock()
	r.metrics.UpstreamSilences.Inc()
	event.UpstreamSilent.Log("request", x.req.ID, "upstream", up.ID, "silent", now.Sub(since), "events", x.events.EventCount,
		"sends", x.attempts, "unreplaceable", unreplaceable, "retry-tokens", tokens)
}

// canFailOver reports whether the request may be retried and another upstream
// that is not ejected can take it now.
func (x *exchange) canFailOver() bool {
	if !x.repeatable() || x.attempts >= x.route.MaxAttempts {
		return false
	}
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	c, reason := x.relay.table.Choose(x.relay.now(), &x.query)
	return reason == pick.Found && !c.Ejected
}

// finishFailed responds to a request whose last attempt failed: with the
// upstream's error response if there is one, else with azurespan's own.
func (x *exchange) finishFailed(ctx context.Context, o outcome, up fleet.Upstream) {
	switch {
	case stopping(ctx) && x.attempts > 0:
		x.fail(ctx, refusal{code: http.StatusBadGateway, reason: stoppingReason})
	case ctx.Err() != nil:
		x.fail(ctx, x.timeoutRefusal())
	case o.response != nil && !x.headerSent:
		x.writeResponse(o.response)
		x.logOutcome(metric.OutcomeUpstreamFailure, up, o.status)
	case x.possibleRuns > 0:
		x.fail(ctx, refusal{code: http.StatusBadGateway, reason: "upstream-failed"})
	default:
		x.relay.mu.Lock()
		retryAfter := x.relay.jitterRetryAfter(x, upstreamRetryAfter)
		x.relay.mu.Unlock()
		x.fail(ctx, refusal{http.StatusServiceUnavailable, "upstream-refused", retryAfter})
	}
}

// timeoutRefusal returns the refusal of a request whose deadline has passed: 504
// if an upstream may have run it or was sent it, else 503.
func (x *exchange) timeoutRefusal() refusal {
	if x.possibleRuns > 0 || x.attempts > 0 {
		return refusal{code: http.StatusGatewayTimeout, reason: "timeout"}
	}
	return refusal{code: http.StatusServiceUnavailable, reason: "timeout"}
}

// extraAttempts is how often a request may be sent beyond its route's attempts
// after upstreams stated that they did not run it. A failed connection may be
// repeated twice as often.
const extraAttempts = 2

// mayRetry decides whether the request is sent again. An attempt that certainly
// did not reach an upstream takes no token of the retry budget.
func (x *exchange) mayRetry(ctx context.Context, o outcome) bool {
	if o.mayHaveRun {
		x.possibleRuns++
	}
	if ctx.Err() != nil {
		return false
	}
	belowMax := x.possibleRuns < x.route.MaxAttempts
	switch {
	case o.response != nil && o.status < http.StatusInternalServerError:
		return false
	case o.unsent():
		return x.attempts < x.route.MaxAttempts+2*extraAttempts
	case !o.mayHaveRun:
		return x.attempts < x.route.MaxAttempts+extraAttempts && belowMax && x.relay.takeRetryToken(x.relay.now(), x.query.Key.Service)
	case !x.repeatable() || !belowMax:
		return false
	case o.response != nil && !x.canFailOver():
		// The error response is better than none.
		return false
	}
	return x.relay.takeRetryToken(x.relay.now(), x.query.Key.Service)
}
