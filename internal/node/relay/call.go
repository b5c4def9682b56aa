package relay

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

// call is a request that has been sent to an upstream.
type call struct {
	up   fleet.Upstream
	sent time.Time
	conn *http1.Conn
	// detach stops the reset of the connection at the end of the request's context.
	detach func() bool
	// res is the response once its head has been read, verdict its classification
	// and firstByteTime the time to its first byte.
	res           *http.Response
	verdict       fleet.Verdict
	firstByteTime time.Duration
	// eventsBefore is the number of events of the stream before the response.
	eventsBefore int
}

// replacementWindow bounds the time for which a silent upstream and its replacement
// have the same request, unless it is a stream. The platform allows 400 ms from when
// the replacement begins to run; the rest is for the reset of the former to arrive.
const replacementWindow = 300 * time.Millisecond

// open sends the request on a connection to up, until the given time at the latest if
// that isn't zero. The call is nil if it failed.
func (x *exchange) open(ctx context.Context, up fleet.Upstream, until time.Time) (*call, outcome) {
	k := &call{up: up, sent: x.relay.now()}
	timeout := connectTimeout
	if !until.IsZero() {
		timeout = until.Sub(k.sent)
	}
	dial, cancel := context.WithTimeout(ctx, timeout)
	conn, err := x.relay.pool.Get(dial, up.ID, up.Address, !x.route.Repeatable())
	if err == nil && conn.Born != 0 && conn.Born != up.Born {
		// It was kept from an earlier run.
		conn.Abort()
		conn, err = x.relay.pool.Get(dial, up.ID, up.Address, true)
	}
	cancel()
	if err != nil {
		return nil, outcome{result: pick.ConnectFailed, cause: err.Error()}
	}
	if x.mustIdentify(conn, up) {
		if o, ok := x.identify(ctx, conn, up, until); !ok {
			conn.Abort()
			return nil, o
		}
	}
	x.relay.mu.Lock()
	usable := x.relay.table.Usable(up) && !x.relay.table.Paused(x.relay.now(), up)
	x.relay.mu.Unlock()
	if !usable {
		conn.Abort()
		return nil, outcome{result: pick.Inconclusive, cause: "upstream no longer available, or it has asked for a pause"}
	}
	k.conn, k.detach = conn, context.AfterFunc(ctx, conn.Abort)
	raw := x.relay.codec.EncodeRequest(x.req, fleet.Attempt{Upstream: up, TimeLeft: x.deadline.Sub(k.sent), Priority: noPriority, LastEventID: x.resumeFrom()})
	err = conn.SetWriteDeadline(until)
	if err == nil {
		_, err = conn.Write(raw)
	}
	if err == nil {
		err = conn.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		k.abort()
		return nil, outcome{mayHaveRun: true, result: pick.Interrupted, cause: err.Error()}
	}
	return k, outcome{}
}

// end ends the call. The connection is reset unless it has been released.
func (k *call) end(released bool) {
	if !released {
		k.abort()
	}
}

// release returns the connection to the pool, unless the end of the request's context
// is already resetting it.
func (k *call) release() {
	if k.detach() {
		k.conn.Release(k.res)
	}
}

// abort resets the connection.
func (k *call) abort() {
	k.detach()
	k.conn.Abort()
}

// readHead reads the head of the response.
func (x *exchange) readHead(k *call) error {
	res, err := k.conn.ReadResponse(x.req.Method)
	if err != nil {
		return err
	}
	k.res, k.firstByteTime = res, x.relay.now().Sub(k.sent)
	k.verdict = x.relay.codec.Classify(x.req, res)
	if k.verdict != fleet.Foreign {
		x.relay.observe(res, k.up, k.sent, x.req.ID)
	}
	return nil
}

// failedHead returns the outcome of a response that isn't that of a run of the request.
// The caller must close the connection, also after a complete refusal: one that the
// upstream wrote once more could not be told from that of the next request.
func (x *exchange) failedHead(k *call) outcome {
	if k.verdict == fleet.Foreign {
		return outcome{mayHaveRun: true, result: pick.Interrupted, firstByteTime: k.firstByteTime, cause: "response belongs to another request"}
	}
	body, err := readBody(k.res.Body, x.hold(k.up), maxRefusalBytes)
	complete := err == nil
	o := outcome{result: pick.Rejected, status: k.res.StatusCode, cause: k.verdict.String()}
	if k.res.StatusCode < http.StatusInternalServerError && k.res.StatusCode != http.StatusTooManyRequests && k.verdict == fleet.NotRun && complete {
		o.response = &response{k.res, body}
	}
	if k.verdict == fleet.Misplaced {
		x.relay.mu.Lock()
		x.relay.table.MarkMissing(x.relay.now(), k.up.ID, x.query.Key)
		x.relay.mu.Unlock()
		x.relay.requestReport()
	}
	return o
}

// reserveReplacement chooses an upstream to take the request over from up, which has
// been silent since the given time, and takes a token of the retry budget for it. If
// it can't, it returns the reason.
func (x *exchange) reserveReplacement(up fleet.Upstream, since time.Time) (c pick.Choice, reason string) {
	r, now := x.relay, x.relay.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Silent(now, up, since)
	if c, reason = x.findReplacement(now, 1); reason != "" {
		return c, reason
	}
	if !r.budget(now, x.query.Key.Service).Take(now, 0) {
		return c, "no-token"
	}
	r.table.Start(now, c.Upstream.ID, x.query.Key)
	return c, ""
}

// canReplace reports whether a third upstream could be asked if the former of the two
// that have the request was given up.
func (x *exchange) canReplace() bool {
	r, now := x.relay, x.relay.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, reason := x.findReplacement(now, 2)
	return reason == "" && r.budget(now, x.query.Key.Service).Available(now) >= 1
}

// findReplacement chooses an upstream to take the request over when running of them
// may have it now, or returns the reason why it can't. The caller holds the lock of
// the relay.
func (x *exchange) findReplacement(now time.Time, running int) (c pick.Choice, reason string) {
	switch {
	case !x.repeatable():
		return c, "not-repeatable"
	case x.likelyComplete():
		return c, "end-pending"
	case x.possibleRuns+running >= x.route.MaxAttempts || x.attempts >= x.route.MaxAttempts+extraAttempts:
		return c, "attempts-used"
	}
	if _, ok := x.checkQuarantine(now); !ok {
		return c, quarantinedReason
	}
	if !x.relay.trials.MayDouble(now, &x.copy) {
		return c, suspectReason
	}
	c, found := x.relay.table.Choose(now, &x.query)
	switch {
	case found != pick.Found:
		return c, found.String()
	case c.Ejected:
		return c, "ejected"
	}
	return c, ""
}

// overlap returns after which time the former upstream is given up if neither it nor
// its replacement has answered and another one could be asked, and at what time it is
// given up in any case. A stream runs at the replacement from its first byte on, and
// the former is reset then. Another request may run at both without a sign of it.
func (x *exchange) overlap(sent time.Time) (step time.Duration, limit time.Time) {
	if x.route.Kind == fleet.Stream {
		return x.firstByteTimeout(), x.deadline
	}
	return replacementWindow, sent.Add(replacementWindow)
}

// replace sends the request to the upstream of c while the connection of k, which is
// silent, is kept. It returns the new call once that has been accepted, or at the
// end of the overlap if it hasn't failed; otherwise nil and what AwaitByte returns for
// k.
func (x *exchange) replace(ctx context.Context, k *call, c pick.Choice) (next *call, timedOut bool, err error) {
	sent := x.relay.now()
	step, limit := x.overlap(sent)
	x.countAttempt(c, k.up.ID)
	inner, cancel := context.WithCancel(ctx)
	done, handOver := make(chan struct{}), make(chan struct{})
	var failure outcome
	go func() {
		defer close(done)
		defer func() {
			// net/http recovers panics of the handler's own goroutine only.
			if p := recover(); p != nil {
				next, failure = nil, outcome{mayHaveRun: true, result: pick.Interrupted, cause: fmt.Sprint("panic: ", p)}
				event.RelayPanicked.Log("request", x.req.ID, "upstream", c.Upstream.ID, "cause", failure.cause, "stack", string(debug.Stack()))
			}
		}()
		next, failure = x.openReplacement(inner, c.Upstream, handOver, limit)
	}()
	timedOut, err = x.awaitEither(k, done, step, limit)
	goesOn := !timedOut && err == nil
	if goesOn {
		cancel()
	}
	close(handOver)
	<-done
	if goesOn && next != nil {
		next.abort()
		next, failure = nil, outcome{mayHaveRun: true, result: pick.Inconclusive, cause: "the former upstream goes on"}
	}
	if next == nil {
		if failure.mayHaveRun {
			x.possibleRuns++
		}
		// recordOutcome changes the result once inner has ended.
		unsent := failure.unsent()
		x.recordOutcome(inner, c.Upstream, &failure, sent, 0)
		if unsent {
			x.returnRetryToken()
		}
		cancel()
		return nil, timedOut, err
	}
	// From now on the call ends with the request.
	next.detach()
	cancel()
	next.detach = context.AfterFunc(ctx, next.conn.Abort)
	return next, timedOut, err
}

// awaitEither waits for the next byte of k until its replacement is done, the limit has
// passed, or neither has answered for a multiple of step and another upstream could be
// asked in the place of k. It returns what AwaitByte returns for k.
func (x *exchange) awaitEither(k *call, done <-chan struct{}, step time.Duration, limit time.Time) (timedOut bool, err error) {
	for {
		until := x.relay.now().Add(step)
		if until.After(limit) {
			until = limit
		}
		timedOut, err = k.conn.AwaitByteOr(done, until)
		if !timedOut || !x.relay.now().Before(limit) {
			return timedOut, err
		}
		select {
		case <-done:
			return timedOut, err
		default:
		}
		if x.canReplace() {
			return timedOut, err
		}
	}
}

// returnRetryToken returns the token that was taken for an attempt that wasn't sent.
func (x *exchange) returnRetryToken() {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(r.now(), x.query.Key.Service).Return()
}

// openReplacement opens a call and waits until handOver is closed or the limit has
// passed for the head of its response. The call is nil if it failed or its response
// can't replace the one in progress.
func (x *exchange) openReplacement(ctx context.Context, up fleet.Upstream, handOver <-chan struct{}, limit time.Time) (*call, outcome) {
	opened := x.relay.now().Add(replacementWindow)
	k, o := x.open(ctx, up, opened)
	if k == nil {
		return nil, o
	}
	timedOut, err := k.conn.AwaitByteOr(handOver, limit)
	if timedOut {
		return k, outcome{}
	}
	if err == nil {
		// The former upstream is still kept and may run the request too.
		err = k.conn.SetReadDeadline(x.relay.now().Add(replacementWindow))
	}
	if err == nil {
		err = x.readHead(k)
	}
	if err == nil && k.verdict != fleet.Answered {
		o := x.failedHead(k)
		k.abort()
		return nil, o
	}
	if err == nil && !x.continues(k.res) {
		k.abort()
		return nil, outcome{mayHaveRun: true, result: pick.Failed, status: k.res.StatusCode, firstByteTime: k.firstByteTime, cause: k.res.Status}
	}
	if err == nil {
		err = k.conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		k.abort()
		return nil, interrupted(err, 0)
	}
	return k, outcome{}
}

// continues reports whether the response can take the place of the one in progress.
func (x *exchange) continues(res *http.Response) bool {
	if x.headerSent {
		return res.StatusCode == http.StatusOK && isEvents(res.Header.Get("Content-Type"))
	}
	return res.StatusCode < http.StatusInternalServerError
}

// countAttempt counts and logs a request that is sent to the chosen upstream.
// replaces is the silent upstream that it is to replace, empty if there is none.
func (x *exchange) countAttempt(c pick.Choice, replaces string) {
	sent := x.relay.now()
	x.attempts++
	if x.attempts == 1 {
		x.countUse()
	}
	x.settleAllowance()
	x.query.Tried = append(x.query.Tried, c.Upstream.ID)
	event.RelaySent.Log("request", x.req.ID, "upstream", c.Upstream.ID, "address", c.Upstream.Address, "version", c.Upstream.Version, "send", x.attempts,
		"service", x.query.Key.Service, "model", fleet.ModelName(x.req.Model, x.req.Adapter), "load", c.Load, "weighed", c.Candidates, "granted", c.Granted,
		"aside", c.Ejected, "waited", sent.Sub(x.arrived), "left", x.deadline.Sub(sent), "after", x.resumeFrom(), "resumes", x.req.Resumes, "replaces", replaces)
	x.logSuspect(sent, c.Upstream)
	x.relay.countLimited(c.Upstream)
	x.relay.blame.Sent(sent, x.attributes)
}
