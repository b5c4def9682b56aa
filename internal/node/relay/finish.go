package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
)

// logOutcome logs the outcome of the request and updates the metrics.
func (x *exchange) logOutcome(outcome string, up fleet.Upstream, code int) {
	now := x.relay.now()
	firstByte := time.Duration(0)
	if !x.firstByteAt.IsZero() {
		firstByte = x.firstByteAt.Sub(x.arrived)
	}
	event.RelayEnded.Log("request", x.req.ID, "outcome", outcome, "status", code, "route", x.route.Name,
		"account", x.req.Account, "rank", x.route.Rank, "upstream", up.ID, "sends", x.attempts, "events", x.events.EventCount,
		"first", firstByte, "took", now.Sub(x.arrived), "ended", x.ended, "last-event", event.Excerpt(x.events.LastID), "configuration", x.configVersion, "configuration-now", x.relay.Config().Version, "failure", x.lastFailure)
	class := x.class()
	x.relay.metrics.RequestSeconds.WithLabelValues(class, outcome).Observe(now.Sub(x.arrived).Seconds())
	x.relay.metrics.Accounts.Ended(x.req.Account, outcome)
	if x.headerSent {
		x.relay.metrics.FirstTokenSeconds.WithLabelValues(class).Observe(firstByte.Seconds())
	}
}

// finishWhole ends a request whose complete response has been written to the caller.
func (x *exchange) finishWhole(up fleet.Upstream, status int) {
	x.whole = true
	x.logOutcome(metric.OutcomeOK, up, status)
}

// class returns the kind and rank of the request's route, as metrics and logs have it.
func (x *exchange) class() string { return fmt.Sprintf("%s-%d", x.route.Kind, x.route.Rank) }

// stopping reports whether a request has ended because the daemon stops.
func stopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// fail ends a request without a response of an upstream. It sends a refusal, or
// aborts the connection if the caller has left or the header was sent.
func (x *exchange) fail(ctx context.Context, resp refusal) {
	x.relay.metrics.Refusals.WithLabelValues(resp.reason).Inc()
	if ctx.Err() == context.Canceled && !stopping(ctx) {
		x.logOutcome(metric.OutcomeCallerGone, fleet.Upstream{}, 0)
		panic(http.ErrAbortHandler)
	}
	if x.headerSent {
		x.logOutcome(metric.OutcomeBroken, fleet.Upstream{}, resp.code)
		panic(http.ErrAbortHandler)
	}
	event.RelayRefused.Log(append([]any{"request", x.req.ID, "status", resp.code, "reason", resp.reason, "retry-after", resp.retryAfter,
		"after", x.relay.now().Sub(x.arrived), "route", x.route.Name, "class", x.class(), "account", x.req.Account, "model", fleet.ModelName(x.req.Model, x.req.Adapter),
		"service", x.query.Key.Service, "sends", x.attempts, "may-have-run", x.possibleRuns > 0, "failure", x.lastFailure}, x.holding...)...)
	x.logOutcome(metric.OutcomeRefused, fleet.Upstream{}, resp.code)
	x.relay.codec.Refuse(x.w, x.req.ID, resp.code, resp.reason, resp.retryAfter)
}
