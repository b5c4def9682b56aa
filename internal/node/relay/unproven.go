package relay

import (
	"context"
	"net/http"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

// unprovenStream is a stream whose response, with neither a length nor chunks, has ended
// after an event. Its upstream's process closes the connection in order when it ends, so
// only another upstream that has nothing to add shows that the stream is complete.
type unprovenStream struct {
	up     fleet.Upstream
	status int
	// events is the number of events at the end.
	events int
}

// unprovenEnd returns the outcome of such a response.
func unprovenEnd(res *http.Response) outcome {
	return outcome{mayHaveRun: true, unframed: true, unproven: true, end: endKind(res), status: res.StatusCode, result: pick.Succeeded, cause: "response ended with its connection after an event"}
}

// pendingEnd reports whether the present attempt is to show that nothing follows an unproven
// end, and has brought nothing yet.
func (x *exchange) pendingEnd() bool {
	return x.unproven != nil && x.unproven.events == x.events.EventCount
}

// finishUnproven ends the request if the end of its stream is unproven, no other upstream
// has added to it, and its upstream's process still runs. It reports whether it has.
func (x *exchange) finishUnproven(ctx context.Context) bool {
	if !x.pendingEnd() {
		return false
	}
	u := x.unproven
	x.unproven = nil
	if !x.outlived(ctx, u.up) {
		return false
	}
	x.finishWhole(u.up, u.status)
	return true
}

// outlived reports whether the process of an upstream that has ended a response still runs:
// the same one answers a report, or accepts a connection if its service has none.
func (x *exchange) outlived(ctx context.Context, up fleet.Upstream) bool {
	r := x.relay
	began := r.now()
	deadline := began.Add(identifyTimeout)
	dial, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	born := int64(0)
	conn, err := r.pool.Get(dial, up.ID, up.Address, false)
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
