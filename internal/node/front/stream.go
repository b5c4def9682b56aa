package front

import (
	"context"
	"errors"
	"io"
	"runtime/debug"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/ration"
	"github.com/azurespan/azurespan/internal/node/calls"
)

type (
	// eventBuffer is a bounded buffer of encoded events between forwardTokens
	// and the writer of the response. Read returns all buffered events that
	// fit, so that one write to the client carries every token that has
	// arrived since the previous write.
	eventBuffer struct {
		// limit is the size in bytes above which append waits for the reader.
		limit             int
		slowReaderTimeout time.Duration
		// hold is what the buffer takes of the daemon's memory account, nil if it isn't
		// bounded together with others.
		hold *ration.Hold
		// streamClosed is closed when forwardTokens has closed the stream.
		streamClosed chan struct{}

		mu   sync.Mutex
		cond sync.Cond
		buf  []byte
		// off is the number of bytes of buf that have been read.
		off int
		// err is set when no more events follow. It is io.EOF for a complete
		// response.
		err error
	}

	// tokenSequence checks that the indexes of tokens have no gaps.
	tokenSequence struct {
		next int64
	}
)

var (
	// errSlowReader ends a stream whose client does not read half of a full
	// buffer within SlowReaderTimeout.
	errSlowReader = errors.New("the client reads too slowly")
	// errAborted ends a stream after its error event.
	errAborted = errors.New("the response was aborted")
	// errPanic is sent to the client after a panic.
	errPanic = fault.New(fault.Internal, "a component of the daemon failed").WithRun(fault.RunUnknown)

	_ io.Reader = (*eventBuffer)(nil)
)

func newEventBuffer(limit int, slowReaderTimeout time.Duration) *eventBuffer {
	b := &eventBuffer{limit: limit, slowReaderTimeout: slowReaderTimeout, streamClosed: make(chan struct{})}
	b.cond.L = &b.mu
	return b
}

// Read waits until bytes are buffered and copies those that fit into dst.
func (b *eventBuffer) Read(dst []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.off == len(b.buf) && b.err == nil {
		b.cond.Wait()
	}
	if b.off == len(b.buf) || errors.Is(b.err, errSlowReader) {
		return 0, b.err
	}
	n := copy(dst, b.buf[b.off:])
	b.cond.Broadcast()
	if b.off += n; b.off == len(b.buf) {
		b.buf, b.off = b.buf[:0], 0
	}
	return n, nil
}

// append adds an event with encode, which appends to its argument. If the
// buffer is then above its limit, append blocks until only half of the limit is
// unread; the stream is not read meanwhile. If the client does not read that
// much within slowReaderTimeout, the buffer is closed with errSlowReader. A full
// buffer alone is no reason to close it: the engine can deliver a resumed
// response faster than the network transmits it.
func (b *eventBuffer) append(encode func([]byte) []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return b.err
	}
	if b.off > 0 && b.off >= len(b.buf)/2 {
		// Unread bytes are moved to the front; otherwise the buffer would grow
		// without bound for a reader that never empties it.
		b.buf, b.off = b.buf[:copy(b.buf, b.buf[b.off:])], 0
	}
	b.buf = encode(b.buf)
	b.cond.Broadcast()
	limit := b.limit
	if b.hold != nil && !b.hold.Grow(cap(b.buf)) {
		// The reader must first take what is above the size that is free.
		limit = min(limit, ration.Free/2)
	}
	if len(b.buf)-b.off <= limit {
		return nil
	}
	t := time.AfterFunc(b.slowReaderTimeout, func() { b.close(errSlowReader) })
	defer t.Stop()
	for len(b.buf)-b.off > limit/2 && b.err == nil {
		b.cond.Wait()
	}
	return b.err
}

// close marks the end of the events with err. Only the first call sets the error.
func (b *eventBuffer) close(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.cond.Broadcast()
}

// accept reports whether t is the next token. It returns false for a repeated
// token and an upstream-invalid fault for a gap, because tokens would be missing
// in the response.
func (q *tokenSequence) accept(t calls.Token) (bool, error) {
	switch {
	case t.Index < q.next:
		return false, nil
	case t.Index > q.next:
		return false, fault.New(fault.UpstreamInvalid, "token %d followed token %d", t.Index, q.next-1).WithRun(fault.RunYes)
	}
	q.next++
	return true, nil
}

// forwardTokens encodes the tokens of ts into buf until ts ends, then closes ts.
func (x *exchange) forwardTokens(ctx context.Context, buf *eventBuffer, ts *tokenStream, enc *chunkEncoder) {
	defer close(buf.streamClosed)
	defer x.recoverStreamPanic(buf)
	defer func() { _ = ts.stream.Close() }() // a failure to close has no consequence here
	if ts.exhausted {
		x.appendEvent(buf, appendDone)
		buf.close(io.EOF)
		return
	}
	last := x.server.settings.Now()
	token := ts.first
	for {
		t, upstream := token, ts.stream.Upstream()
		if !x.appendEvent(buf, func(b []byte) []byte { return enc.append(b, t, upstream) }) {
			return
		}
		if t.Finish != "" {
			x.appendEvent(buf, appendDone)
			buf.close(io.EOF)
			return
		}
		var err error
		if token, err = ts.next(ctx); err != nil {
			x.abortStream(buf, eofFault(err))
			return
		}
		now := x.server.settings.Now()
		x.server.settings.Metrics.TokenIntervalSeconds.Observe(now.Sub(last).Seconds())
		last = now
	}
}

// recoverStreamPanic aborts the response when its stream panics. Without it the
// panic would end the process and with it all other streams.
func (x *exchange) recoverStreamPanic(buf *eventBuffer) {
	if v := recover(); v != nil {
		event.CallerPanic.Log("request", x.id, "panic", v, "stack", string(debug.Stack()))
		x.abortStream(buf, errPanic)
	}
}

// appendEvent adds an event to buf and reports whether more can be added. It
// aborts the writes to a slow client, on which the handler may be blocked.
func (x *exchange) appendEvent(buf *eventBuffer, encode func([]byte) []byte) bool {
	err := buf.append(encode)
	if errors.Is(err, errSlowReader) {
		x.w.abort(err)
	}
	return err == nil
}

// abortStream adds an error event for err to buf and closes it.
func (x *exchange) abortStream(buf *eventBuffer, err error) {
	if x.clientGone() {
		buf.close(context.Canceled)
		return
	}
	f := withRunYes(toFault(x.ctx, err))
	x.server.settings.Metrics.Refusals.WithLabelValues(string(f.Kind)).Inc()
	event.CallerAnswerBroken.Log("request", x.id, "kind", f.Kind, "detail", f.Detail)
	doc := newProblem(f, "", x.id.String())
	x.appendEvent(buf, func(b []byte) []byte { return appendError(b, doc) })
	buf.close(errAborted)
}

// abortedOutcome returns the metric outcome of a started response that failed
// with err.
func (x *exchange) abortedOutcome(err error) string {
	switch {
	case errors.Is(err, errAborted):
		return metric.OutcomeBroken
	case errors.Is(err, errSlowReader), isTimeout(err):
		return metric.OutcomeSlowReader
	}
	return metric.OutcomeCallerGone
}

// isTimeout reports whether err is a timeout of a network operation.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// withRunYes returns f with Run set to yes. It is for requests to which an
// upstream has started to respond: they did run, whatever the failure itself
// states.
func withRunYes(f *fault.Fault) *fault.Fault {
	if f.Run == fault.RunYes {
		return f
	}
	return f.WithRun(fault.RunYes)
}

// timeUntil returns the time from now to t, at least 0.
func timeUntil(t, now time.Time) time.Duration { return max(t.Sub(now), 0) }
