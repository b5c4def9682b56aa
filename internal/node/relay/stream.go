package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

// streamBuffer is the size of one read of a stream, in bytes.
const streamBuffer = 4 << 10

// stream passes events on as they arrive. Only whole events are passed on, so
// that another upstream can go on after the last one.
func (x *exchange) stream(ctx context.Context, conn *http1.Conn, res *http.Response) outcome {
	if ct := res.Header.Get("Content-Type"); x.started && !strings.HasPrefix(ct, "text/event-stream") {
		return broken(&notStreamError{ct}, 0)
	}
	gap := max(gapSilence*x.route.MaxEventGap, minGap)
	buf := make([]byte, streamBuffer)
	for {
		if o, ok := x.await(ctx, conn, gap); !ok {
			x.events.Rest()
			return o
		}
		n, err := res.Body.Read(buf)
		_, _ = x.events.Write(buf[:n]) // never fails
		if whole := x.events.Whole(); len(whole) > 0 {
			if !x.pass(res, whole) {
				return outcome{mayHaveRun: true, end: pick.Inconclusive, cause: "caller unreachable"}
			}
		}
		if errors.Is(err, io.EOF) {
			return x.complete(res)
		}
		if err != nil {
			x.events.Rest()
			return broken(merry.Wrap(err), 0)
		}
	}
}

// complete passes on what is left of a stream that has ended.
func (x *exchange) complete(res *http.Response) outcome {
	if rest := x.events.Rest(); len(rest) > 0 || !x.started {
		if !x.pass(res, rest) {
			return outcome{mayHaveRun: true, end: pick.Inconclusive, cause: "caller unreachable"}
		}
	}
	return outcome{done: true, status: res.StatusCode, end: pick.Succeeded}
}

// pass writes bytes of the stream to the caller, with the head before the
// first ones.
func (x *exchange) pass(res *http.Response, b []byte) bool {
	if !x.started {
		x.started, x.firstAt = true, x.r.now()
		x.r.wire.CopyHeader(x.w.Header(), res.Header)
		x.w.WriteHeader(res.StatusCode)
	}
	if _, err := x.w.Write(b); err != nil {
		event.CallerWriteFailed.Log("request", x.q.ID, "cause", err.Error())
		return false
	}
	if err := x.rc.Flush(); err != nil {
		event.CallerWriteFailed.Log("request", x.q.ID, "cause", err.Error())
		return false
	}
	return true
}

// writeSlack is added to the end of a request for writes that are under way.
const writeSlack = 250 * time.Millisecond
