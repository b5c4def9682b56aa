package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

const (
	// identifyTimeout bounds the question which run of an upstream answers. Reports need
	// no slot; the longest round trip between failure domains is 8 ms.
	identifyTimeout = 300 * time.Millisecond
	// maxReportBytes is the largest report that is read: one of an engine with all
	// models of the largest deployment on its disk has some 10 KB.
	maxReportBytes = 64 << 10
)

// errReportTooLarge states that an upstream's report is longer than maxReportBytes.
var errReportTooLarge = errors.New("report is longer than 64 KiB")

// mustIdentify reports whether the upstream has to say on a connection which of its runs
// answers, before a part of a stream may be run there. An upstream may start again under its
// ID with another software version; while this daemon doesn't read the register, only the
// upstream itself knows.
func (x *exchange) mustIdentify(conn *http1.Conn, up fleet.Upstream) bool {
	r := x.relay
	if x.route.Kind != fleet.Stream || !x.route.Resumable || r.settings.RegisterAge == nil || up.Born == 0 || conn.Born == up.Born {
		return false
	}
	cfg := r.Config()
	return cfg.Services[up.Service].Engine != nil && r.settings.RegisterAge() > r.settings.RegisterTTL
}

// identify asks the upstream which of its runs answers. If it isn't the registered one,
// or the upstream doesn't say, it returns the outcome of the request, which isn't sent.
func (x *exchange) identify(ctx context.Context, conn *http1.Conn, up fleet.Upstream, until time.Time) (outcome, bool) {
	r := x.relay
	began := r.now()
	deadline := began.Add(identifyTimeout)
	if !until.IsZero() && until.Before(deadline) {
		deadline = until
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	born, err := x.askBorn(ctx, conn, up, deadline)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	same := err == nil && born == up.Born
	if same {
		conn.Born = born
	}
	cause := ""
	if err != nil {
		cause = event.Excerpt(err.Error())
	}
	event.UpstreamIdentified.Log("request", x.req.ID, "upstream", up.ID, "registered", up.Born, "born", born, "same", same,
		"register-age", r.settings.RegisterAge(), "took", r.now().Sub(began), "cause", cause)
	switch {
	case same:
		return outcome{}, true
	case err != nil:
		return outcome{result: pick.ConnectFailed, cause: "upstream did not say which run answers: " + cause}, false
	}
	r.mu.Lock()
	r.table.Restarted(began, up)
	r.mu.Unlock()
	return outcome{result: pick.Inconclusive, cause: fmt.Sprintf("upstream has started again: %d, registered %d", born, up.Born)}, false
}

// askBorn returns when the run of the upstream at the other end of the connection started.
// A connection that carries one request is left to that. Another one to the same upstream is
// used then, since the first would have ended with an earlier run.
func (x *exchange) askBorn(ctx context.Context, conn *http1.Conn, up fleet.Upstream, deadline time.Time) (int64, error) {
	if _, once := conn.Conn.(http1.OneRequest); once {
		dial, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		other, err := x.relay.pool.Get(dial, up.ID, up.Address, true)
		if err != nil {
			return 0, err
		}
		defer other.Abort()
		defer context.AfterFunc(ctx, other.Abort)()
		return x.exchangeReport(other, up, deadline, false)
	}
	return x.exchangeReport(conn, up, deadline, true)
}

// exchangeReport requests a report on a connection, which is to be used further if goesOn
// is set.
func (x *exchange) exchangeReport(conn *http1.Conn, up fleet.Upstream, deadline time.Time, goesOn bool) (int64, error) {
	codec := x.relay.codec
	if err := conn.SetDeadline(deadline); err != nil {
		return 0, merry.Wrap(err)
	}
	if _, err := conn.Write(codec.EncodeReportRequest(up)); err != nil {
		return 0, merry.Wrap(err)
	}
	res, err := conn.ReadResponse(http.MethodGet)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return 0, merry.Wrap(err)
	case len(body) > maxReportBytes:
		return 0, merry.Wrap(errReportTooLarge)
	}
	born, err := codec.DecodeBorn(res, body)
	if err != nil {
		return 0, err
	}
	if goesOn && !conn.Reusable(res) {
		return 0, merry.New("connection ends with the report")
	}
	return born, merry.Wrap(conn.SetDeadline(time.Time{}))
}
