package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

// unprovenEnd is the end of a response, with neither a length nor chunks, after an event that
// the caller has. An upstream's process that ends closes its connections in order, too, and
// one that lives may have given up, so only another upstream that has nothing to add shows
// that the stream is complete.
type unprovenEnd struct {
	up fleet.Upstream
	// events is the number of events at the end.
	events int
	// outlived is set if the upstream's process still ran after it.
	outlived bool
}

// endedUnproven returns the outcome of such a response.
func endedUnproven(res *http.Response) outcome {
	return outcome{mayHaveRun: true, unframed: true, unproven: true, end: endKind(res), status: res.StatusCode, result: pick.Succeeded, cause: "response ended with its connection after an event"}
}

// addUnproven records an unproven end of the stream at an upstream.
func (x *exchange) addUnproven(ctx context.Context, up fleet.Upstream) {
	if !x.endedHere() {
		x.unproven = nil
	}
	x.unproven = append(x.unproven, unprovenEnd{up, x.events.EventCount, x.outlived(ctx, up)})
}

// endedHere reports whether a response has had an unproven end after the event that was the
// last one to arrive.
func (x *exchange) endedHere() bool {
	n := len(x.unproven)
	return n > 0 && x.unproven[n-1].events == x.events.EventCount
}

// likelyComplete reports whether the stream is complete unless an upstream adds to it: it has
// ended here at one whose process still ran.
func (x *exchange) likelyComplete() bool {
	return x.endedHere() && slices.ContainsFunc(x.unproven, func(e unprovenEnd) bool { return e.outlived })
}

// reserveProof takes a token of the retry budget for asking another upstream to show that
// nothing follows an unproven end at one whose process still runs, and reports whether one may
// be asked: one for each such end, if it has time to answer, and while half of the budget is
// left to retries of what has failed. A budget of less than two tokens allows none.
func (x *exchange) reserveProof(ctx context.Context) bool {
	r := x.relay
	if !x.likelyComplete() || len(x.unproven) > 1 || ctx.Err() != nil || x.deadline.Sub(r.now()) <= x.gapTimeout() ||
		x.possibleRuns+1 >= x.route.MaxAttempts || !x.canFailOver() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	b := r.budget(now, x.query.Key.Service)
	return b.Take(now, b.Limit()/2)
}

// boundProof returns a context that ends when an upstream that was asked for the proof has
// brought no event for as long as a stream may pause. stop releases its resources.
func (x *exchange) boundProof(ctx context.Context) (bounded context.Context, stop func()) {
	bounded, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(x.gapTimeout(), cancel)
	x.proof = t
	return bounded, func() {
		t.Stop()
		cancel()
	}
}

// endProof lifts the bound of the proof: the stream goes on.
func (x *exchange) endProof() {
	if x.proof != nil {
		x.proof.Stop()
	}
}

// finishUnproven ends the request if its stream is likely complete and no upstream has added to
// it. It reports whether it has. ended is set if the last attempt has ended so. Processes that
// ran before a proof that has shown nothing are asked again: they may have closed their
// connections as they were about to end. A proof that the end of the request has cut short
// shows nothing either.
func (x *exchange) finishUnproven(ctx context.Context, ended bool) bool {
	if ctx.Err() != nil || !x.likelyComplete() {
		return false
	}
	for i := range x.unproven {
		e := &x.unproven[i]
		if asked := ended && i == len(x.unproven)-1; e.outlived && !asked {
			e.outlived = x.outlived(ctx, e.up)
		}
		if e.outlived {
			x.ended = metric.EndConnection
			x.finishWhole(e.up, http.StatusOK)
			return true
		}
	}
	return false
}

// outlived reports whether the process of an upstream that has ended a response still runs:
// the same one answers a report, or accepts a connection if its service has none. A
// connection that was kept might be one that the end of the process hasn't reached yet.
func (x *exchange) outlived(ctx context.Context, up fleet.Upstream) bool {
	if ctx.Err() != nil {
		return false
	}
	r := x.relay
	began := r.now()
	deadline := began.Add(identifyTimeout)
	dial, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	born := int64(0)
	conn, err := r.pool.Get(dial, up.ID, up.Address, true)
	if err == nil {
		defer conn.Abort()
		if up.Born != 0 && r.Config().Services[up.Service].Engine != nil {
			defer context.AfterFunc(ctx, conn.Abort)()
			born, err = x.exchangeReport(conn, up, deadline, false)
		} else {
			born = up.Born
		}
	}
	outlived := err == nil && born == up.Born
	result, cause := metric.EndOutlived, ""
	if !outlived {
		result = metric.EndNotOutlived
	}
	if err != nil {
		cause = event.Excerpt(err.Error())
	}
	r.metrics.StreamEndChecks.WithLabelValues(result).Inc()
	event.StreamEndChecked.Log("request", x.req.ID, "upstream", up.ID, "outlived", outlived, "registered", up.Born, "born", born, "took", r.now().Sub(began), "cause", cause)
	return outlived
}

// vanished reports whether nothing accepts connections at the address of an upstream that
// has ended a buffered response with its connection: its process has ended, maybe before
// the response was complete. Other failures say nothing of that.
func (x *exchange) vanished(ctx context.Context, up fleet.Upstream) bool {
	dial, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	conn, err := x.relay.pool.Get(dial, up.ID, up.Address, true)
	if err == nil {
		conn.Abort()
	}
	var failed *http1.DialError
	return errors.As(err, &failed) && failed.Refused
}
