package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

// outcome is how an attempt ended.
type outcome struct {
	// done is set if the caller has the whole answer.
	done   bool
	status int
	// mayHaveRun is set unless the request certainly didn't run.
	mayHaveRun bool
	end        pick.Outcome
	// first is the time to the first byte.
	first time.Duration
	// crashed is set if the upstream broke the connection off.
	crashed bool
	// answer is a whole answer that reports a failure, kept in case no other
	// attempt does better.
	answer *answer
	cause  string
}

type (
	// answer is a buffered answer.
	answer struct {
		res  *http.Response
		body []byte
	}

	// notStreamError states that an answer that goes on with a stream isn't
	// one.
	notStreamError struct{ contentType string }
)

const (
	// maxAnswer bounds a buffered answer, in bytes.
	maxAnswer = 16 << 20
	// safeSilence and streamSilence are the multiples of a route's target
	// after which another upstream is tried for a request that may be
	// repeated, and minSilence the least time.
	safeSilence   = 4
	streamSilence = 3
	minSilence    = 400 * time.Millisecond
	// gapSilence is the same in multiples of the longest pause between
	// events, and minGap the least time.
	gapSilence = 5
	minGap     = 700 * time.Millisecond
	// noPriority leaves the order of a batch to the engine: a more urgent
	// request would preempt others in the middle of their streams.
	noPriority = -1
	// connectTime bounds a connection to an upstream for one attempt.
	connectTime = 500 * time.Millisecond
)

// Error names the content type.
func (e *notStreamError) Error() string { return "the answer is no stream but " + e.contentType }

// attempt sends the request to one upstream.
func (x *exchange) attempt(ctx context.Context, c pick.Choice) outcome {
	x.sends++
	x.query.Tried = append(x.query.Tried, c.Upstream.ID)
	sent := x.r.now()
	event.RelaySent.Log("request", x.q.ID, "upstream", c.Upstream.ID, "address", c.Upstream.Address, "send", x.sends,
		"service", x.query.Key.Service, "model", fleet.ModelName(x.q.Model, x.q.Adapter), "load", c.Load, "weighed", c.Candidates,
		"aside", c.Ejected, "waited", sent.Sub(x.arrived), "left", x.end.Sub(sent), "after", x.events.LastID)
	o := x.exchange(ctx, c.Upstream, sent)
	if ctx.Err() != nil && !o.done {
		o.end = pick.Inconclusive
	}
	r := x.r
	now := r.now()
	r.mu.Lock()
	r.table.Finish(now, c.Upstream, x.query.Key, o.end, o.first)
	switch {
	case o.crashed && ctx.Err() == nil:
		r.poison.Observe(x.print, poison.Crash{ID: fmt.Sprintf("%s@%d", c.Upstream.ID, c.Upstream.Born), At: now, Progress: x.events.Events > 0})
		r.crashes[x.print] = true
		r.kick()
	case o.done && r.poison.Clear(x.print):
		r.cleared[x.print] = true
	}
	r.serve(now)
	r.mu.Unlock()
	if !o.done {
		x.failure = o.cause
		event.RelayFailed.Log("request", x.q.ID, "upstream", c.Upstream.ID, "cause", o.cause, "end", o.end,
			"may-have-run", o.mayHaveRun, "took", now.Sub(sent), "events", x.events.Events)
	}
	return o
}

// exchange sends the request on a connection and takes the answer.
func (x *exchange) exchange(ctx context.Context, up fleet.Upstream, sent time.Time) outcome {
	dial, cancel := context.WithTimeout(ctx, connectTime)
	conn, err := x.r.pool.Get(dial, up.ID, up.Address, !x.route.Repeatable())
	cancel()
	if err != nil {
		return outcome{end: pick.ConnectFailed, cause: err.Error()}
	}
	x.r.mu.Lock()
	usable := x.r.table.Usable(up)
	x.r.mu.Unlock()
	if !usable {
		conn.Abort()
		return outcome{end: pick.Inconclusive, cause: "the upstream left meanwhile"}
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	raw := x.r.wire.EncodeRequest(x.q, fleet.Attempt{Upstream: up, TimeLeft: x.end.Sub(sent), Priority: noPriority, LastEventID: x.resumeFrom()})
	if _, err := conn.Write(raw); err != nil {
		conn.Abort()
		return outcome{mayHaveRun: true, end: pick.Interrupted, cause: err.Error()}
	}
	o, keep := x.read(ctx, conn, up, sent)
	if !keep {
		conn.Abort()
	}
	return o
}

// resumeFrom returns the id of the last event that the caller has.
func (x *exchange) resumeFrom() string {
	if x.events.Events > 0 {
		return x.events.LastID
	}
	return x.q.LastEventID
}

// broken returns the outcome of an answer that didn't come or wasn't whole.
func broken(err error, first time.Duration) outcome {
	return outcome{mayHaveRun: true, end: pick.Interrupted, first: first, crashed: true, cause: err.Error()}
}

// read takes the answer from conn. keep is false if the connection must be
// closed.
func (x *exchange) read(ctx context.Context, conn *http1.Conn, up fleet.Upstream, sent time.Time) (o outcome, keep bool) {
	if o, ok := x.await(ctx, conn, x.silence()); !ok {
		return o, false
	}
	res, err := conn.Head(x.q.Method)
	if err != nil {
		return broken(err, 0), false
	}
	first := x.r.now().Sub(sent)
	verdict := x.r.wire.Classify(x.q, res)
	switch verdict {
	case fleet.Foreign:
		return outcome{mayHaveRun: true, end: pick.Interrupted, first: first, cause: "foreign answer"}, false
	case fleet.NotRun, fleet.Misplaced:
		body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
		if keep = err == nil; keep {
			conn.Release(res)
		}
		o := outcome{end: pick.Rejected, status: res.StatusCode, cause: verdict.String()}
		if res.StatusCode < 500 && res.StatusCode != http.StatusTooManyRequests && verdict == fleet.NotRun && keep {
			o.answer = &answer{res, body}
		}
		if verdict == fleet.Misplaced {
			x.r.mu.Lock()
			x.r.table.MarkMissing(x.r.now(), up.ID, x.query.Key)
			x.r.mu.Unlock()
			x.r.kick()
		}
		return o, keep
	case fleet.Answered:
	}
	if x.route.Kind == fleet.Stream && res.StatusCode == http.StatusOK {
		o := x.stream(ctx, conn, res)
		o.first = first
		if o.done {
			conn.Release(res)
		}
		return o, o.done
	}
	return x.whole(conn, res, first)
}

// silence returns when an upstream that hasn't answered is given up for a
// request that may be repeated.
func (x *exchange) silence() time.Duration {
	if x.route.Kind == fleet.Stream {
		return max(streamSilence*x.route.LatencyTarget, minSilence)
	}
	return max(safeSilence*x.route.LatencyTarget, minSilence)
}

// await waits for the next byte. If none comes for a while and the request may
// go elsewhere, it gives the upstream up; otherwise it waits on.
func (x *exchange) await(ctx context.Context, conn *http1.Conn, limit time.Duration) (outcome, bool) {
	for {
		late, err := conn.Await(x.r.now().Add(limit))
		if err != nil {
			return broken(err, 0), false
		}
		if !late {
			return outcome{}, true
		}
		if ctx.Err() != nil {
			return outcome{mayHaveRun: true, end: pick.Inconclusive, cause: ctx.Err().Error()}, false
		}
		if x.elsewhere() {
			return outcome{mayHaveRun: true, end: pick.Interrupted, cause: "no byte for " + limit.String()}, false
		}
	}
}

// elsewhere reports whether the request may be repeated and another upstream
// could take it now.
func (x *exchange) elsewhere() bool {
	if !x.route.Repeatable() || x.sends >= x.route.MaxAttempts {
		return false
	}
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	c, why := x.r.table.Choose(x.r.now(), &x.query)
	return why == pick.Found && !c.Ejected
}

// whole passes a buffered answer on. A failure of the upstream's own is kept
// back if the request may be repeated.
func (x *exchange) whole(conn *http1.Conn, res *http.Response, first time.Duration) (o outcome, keep bool) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return broken(merry.Wrap(err), first), false
	}
	if len(body) > maxAnswer {
		return outcome{mayHaveRun: true, end: pick.Interrupted, cause: "answer too large"}, false
	}
	conn.Release(res)
	a := &answer{res, body}
	if res.StatusCode >= 500 {
		o := outcome{status: res.StatusCode, mayHaveRun: true, end: pick.Failed, first: first, answer: a, cause: res.Status}
		return o, true
	}
	x.deliver(a)
	return outcome{done: true, status: res.StatusCode, end: pick.Succeeded, first: first}, true
}

// deliver writes a whole answer to the caller.
func (x *exchange) deliver(a *answer) {
	x.firstAt = x.r.now()
	h := x.w.Header()
	x.r.wire.CopyHeader(h, a.res.Header)
	x.w.WriteHeader(a.res.StatusCode)
	if _, err := x.w.Write(a.body); err != nil {
		event.CallerWriteFailed.Log("request", x.q.ID, "cause", err.Error())
	}
}

// conclude answers a request whose last attempt failed: with the upstream's own
// failure if there is one, else with azurespan's.
func (x *exchange) conclude(ctx context.Context, o outcome, up fleet.Upstream) {
	switch {
	case ctx.Err() != nil:
		x.finish(ctx, x.late())
	case o.answer != nil && !x.started:
		x.deliver(o.answer)
		x.log(metric.OutcomeUpstreamFailure, up, o.status)
	case x.runs > 0:
		x.finish(ctx, status{code: http.StatusBadGateway, reason: "upstream-failed"})
	default:
		x.r.mu.Lock()
		again := x.r.spread(x, lostRetry)
		x.r.mu.Unlock()
		x.finish(ctx, status{http.StatusServiceUnavailable, "upstream-refused", again})
	}
}

// late is the final status of a request whose time is up.
func (x *exchange) late() status {
	if x.runs > 0 || x.sends > 0 {
		return status{code: http.StatusGatewayTimeout, reason: "timeout"}
	}
	return status{code: http.StatusServiceUnavailable, reason: "timeout"}
}

// extraSends is how often a request may be sent beyond its route's attempts
// after upstreams stated that they didn't run it.
const extraSends = 2

// mayRepeat decides whether the request is sent again. What certainly didn't
// arrive costs no retry budget.
func (x *exchange) mayRepeat(ctx context.Context, o outcome) bool {
	if o.mayHaveRun {
		x.runs++
	}
	if ctx.Err() != nil {
		return false
	}
	runsLeft := x.runs < x.route.MaxAttempts
	switch {
	case o.answer != nil && o.status < 500:
		return false
	case o.end == pick.ConnectFailed || o.end == pick.Inconclusive && !o.mayHaveRun:
		return x.sends < x.route.MaxAttempts+2*extraSends
	case !o.mayHaveRun:
		return x.sends < x.route.MaxAttempts+extraSends && runsLeft && x.r.again(x.r.now(), x.query.Key.Service)
	case !x.route.Repeatable() || !runsLeft:
		return false
	case o.answer != nil && !x.elsewhere():
		// There is an answer already, if a bad one.
		return false
	}
	return x.r.again(x.r.now(), x.query.Key.Service)
}
