package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

const (
	// streamBufferBytes is the buffer size for reading a stream.
	streamBufferBytes = 4 << 10
	// maxEventBytes is the largest event of a stream. Engines' events have some
	// hundred bytes.
	maxEventBytes = 256 << 10
	// timeLimitUnit is the unit of the time that an upstream is told is left, which is
	// rounded down.
	timeLimitUnit = time.Millisecond
)

// forwardStream forwards events as they arrive. Only complete events are
// forwarded, so that another upstream can resume after the last one.
func (x *exchange) forwardStream(ctx context.Context, k *call) outcome {
	res := k.res
	if ct := res.Header.Get("Content-Type"); x.headerSent && !isEvents(ct) {
		return interrupted(&contentTypeError{ct}, 0)
	}
	k.eventsBefore = x.events.EventCount
	if res.ContentLength == 0 {
		return x.finishStream(ctx, k)
	}
	gap := x.gapTimeout()
	buf := make([]byte, streamBufferBytes)
	hold := x.hold(k.up)
	defer hold.Release()
	x.events.Restart()
	st := newStall(ctx, x, k, x.relay.now(), gap)
	for {
		// Within an event, bytes are no sign that the stream goes on.
		if !st.within {
			if o, ok := x.awaitByte(ctx, k, gap, !framed(res)); !ok {
				x.events.TakePartial()
				return o
			}
		}
		n, err := st.read(res.Body, buf)
		if st.next != nil {
			// It goes on after the last event that the caller has, so what this read
			// has brought comes again.
			x.events.TakePartial()
			return st.outcome()
		}
		_, _ = x.events.Write(buf[:n]) // never fails
		whole := x.events.TakeEvents()
		if st.advance(x.relay.now(), len(whole) > 0, err) {
			x.events.TakePartial()
			return st.outcome()
		}
		if x.events.HasMore() {
			x.unproven = nil
		}
		if x.events.EventCount > k.eventsBefore {
			x.beginAnswer()
			x.continueAnswer()
			x.beginStream(k.up)
			x.endProof()
		}
		if len(whole) > 0 {
			if now := x.relay.now(); now.Sub(x.heardAt) >= heardInterval {
				x.heard(now, k.up)
			}
			if !x.forward(res, whole) {
				return outcome{mayHaveRun: true, result: pick.Inconclusive, cause: "write to caller failed"}
			}
		}
		if err := x.events.Err(); err != nil {
			x.events.TakePartial()
			return outcome{mayHaveRun: true, status: res.StatusCode, result: pick.Failed, cause: err.Error()}
		}
		if !hold.Grow(x.events.Buffered()) {
			x.events.TakePartial()
			return interrupted(merry.Wrap(errBodyMemory), 0)
		}
		if x.events.Buffered() > maxEventBytes {
			x.events.TakePartial()
			return outcome{mayHaveRun: true, result: pick.Interrupted, cause: fmt.Sprintf("event larger than %d bytes", maxEventBytes)}
		}
		if errors.Is(err, io.EOF) {
			return x.finishStream(ctx, k)
		}
		if err != nil {
			x.events.TakePartial()
			return interrupted(merry.Wrap(err), 0)
		}
	}
}

// finishStream ends a stream whose response has ended, and forwards what follows its last
// event. A stream that ends within an event is truncated however its response is framed: an
// upstream that gives up may still write the last chunk. So is one without any event, unless
// it follows an event that the caller has. Without a length or chunks, one that ends before
// the first event of this attempt is truncated too, unless another response has ended in
// order at the same place, and one that ends after an event is unproven.
//
// One that ends at the time limit that the upstream was sent may have been given up there.
func (x *exchange) finishStream(ctx context.Context, k *call) outcome {
	res, cause := k.res, ""
	if limit := k.sent.Add(x.deadline.Sub(k.sent).Truncate(timeLimitUnit)); !x.relay.now().Before(limit) {
		// Less than timeLimitUnit is left.
		<-ctx.Done()
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.events.TakePartial()
		return outcome{mayHaveRun: true, status: res.StatusCode, result: pick.Inconclusive, end: endKind(res), cause: "response ended at the time limit of the request"}
	case isEventStream(res) && x.events.WithinEvent():
		cause = "response ended within an event"
	case isEventStream(res) && x.events.EventCount == 0 && x.resumeFrom() == "":
		cause = "response ended before its first event"
	case !framed(res) && (x.events.Buffered() > 0 || x.events.EventCount == k.eventsBefore && !x.endedHere()):
		cause = "response ended with its connection before it was complete"
	}
	rest := x.events.TakePartial()
	if cause != "" {
		// With a length or chunks, the upstream has ended its response itself.
		return outcome{mayHaveRun: true, status: res.StatusCode, result: pick.Interrupted, crashed: !framed(res), end: endKind(res), cause: cause}
	}
	if !framed(res) {
		return endedUnproven(res)
	}
	if len(rest) > 0 || !x.headerSent {
		if !x.forward(res, rest) {
			return outcome{mayHaveRun: true, result: pick.Inconclusive, cause: "write to caller failed"}
		}
	}
	return outcome{done: true, survived: survived(res), end: endKind(res), status: res.StatusCode, result: pick.Succeeded}
}

// endKind returns what ends a response, as the label of metric.StreamEnds.
func endKind(res *http.Response) string {
	switch {
	case len(res.TransferEncoding) > 0:
		return metric.EndChunks
	case res.ContentLength >= 0:
		return metric.EndLength
	}
	return metric.EndConnection
}

// isEventStream reports whether a response of a stream's upstream consists of events. One
// without a content type does.
func isEventStream(res *http.Response) bool {
	ct := res.Header.Get("Content-Type")
	return ct == "" || isEvents(ct)
}

// isEvents reports whether a content type is that of events, in letters of either case.
func isEvents(contentType string) bool {
	return strings.HasPrefix(strings.ToLower(contentType), "text/event-stream")
}

// forward writes bytes of the stream to the caller, after the header if that
// has not been sent. It reports whether the write succeeded.
func (x *exchange) forward(res *http.Response, b []byte) bool {
	if !x.headerSent {
		x.markUnfinished()
		x.headerSent, x.firstByteAt = true, x.relay.now()
		x.relay.codec.CopyHeader(x.w.Header(), res.Header)
		x.w.WriteHeader(res.StatusCode)
	}
	if _, err := x.w.Write(b); err != nil {
		event.CallerWriteFailed.Log("request", x.req.ID, "cause", err.Error())
		return false
	}
	if err := x.rc.Flush(); err != nil {
		event.CallerWriteFailed.Log("request", x.req.ID, "cause", err.Error())
		return false
	}
	return true
}

// writeGrace is added to a request's deadline for writes in progress.
const writeGrace = 250 * time.Millisecond
