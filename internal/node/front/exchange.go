package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/metric"
)

type (
	// exchange is one HTTP request with its answer.
	exchange struct {
		front    *Server
		id       ulid.ULID
		received time.Time
		w        *replyWriter
		// body is the caller's body as received.
		body []byte
		// class is empty until it is known; only then is the exchange timed.
		class   declare.Class
		outcome string
		cancel  context.CancelCauseFunc
		// ctx ends when the caller goes or cancel is called.
		ctx context.Context
		// pump fills a streamed answer; nil if the answer is not streamed.
		pump *pump
		// slot is set while the exchange counts as a stream in progress.
		slot bool
	}

	exchangeKey struct{}
)

func (f *Server) newExchange(rw http.ResponseWriter) *exchange {
	now := f.s.Now()
	x := &exchange{
		front:    f,
		received: now,
		w:        newReplyWriter(rw, f.s.WriteTimeout),
		outcome:  metric.OutcomeOK,
	}
	x.id = ulid.MustNew(ulid.Timestamp(now), f.s.Entropy)
	rw.Header().Set("X-Request-Id", x.id.String())
	return x
}

// bind returns a context that carries x and that x can cancel.
func (x *exchange) bind(ctx context.Context) context.Context {
	ctx, x.cancel = context.WithCancelCause(ctx)
	x.ctx = context.WithValue(ctx, exchangeKey{}, x)
	return x.ctx
}

func exchangeOf(ctx context.Context) *exchange {
	return ctx.Value(exchangeKey{}).(*exchange)
}

// read takes the body into x.body and puts a copy in its place for the
// generated decoder.
func (x *exchange) read(rw http.ResponseWriter, r *http.Request) error {
	s := &x.front.s
	if r.ContentLength > s.MaxBodyBytes {
		rw.Header().Set("Connection", "close")
		return tooLarge(s.MaxBodyBytes)
	}
	// Recorders in tests support no deadlines, which is no failure.
	_ = x.w.ctl.SetReadDeadline(time.Now().Add(s.BodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, s.MaxBodyBytes))
	_ = x.w.ctl.SetReadDeadline(time.Time{})
	if err != nil {
		rw.Header().Set("Connection", "close")
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			return tooLarge(s.MaxBodyBytes)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return badField("body", "was not received within %v", s.BodyTimeout)
		default:
			return badField("body", "could not be read: %v", err)
		}
	}
	x.body = b
	r.Body = io.NopCloser(bytes.NewReader(b))
	r.ContentLength = int64(len(b))
	return checkSingle(r.Header)
}

func tooLarge(limit int64) error {
	return fault.New(fault.BodyTooLarge, "the body is larger than %d bytes", limit)
}

// takeSlot counts x as a stream in progress until it finishes.
func (x *exchange) takeSlot() error {
	select {
	case x.front.slots <- struct{}{}:
		x.slot = true
		x.front.s.Metrics.Streams.Inc()
		return nil
	default:
		return fault.New(fault.QueueFull, "%d answers are in progress on this daemon", x.front.s.MaxStreams).
			WithRetry(x.jitter())
	}
}

// jitter returns a retry delay of 1 s to 3 s, taken from the random part of
// the request identifier, so that refused callers don't return together.
func (x *exchange) jitter() time.Duration {
	return time.Second + time.Duration(x.id[15])*2*time.Second/256
}

// refuse answers with a problem document; the answer has not begun. It aborts
// the connection of a caller that is gone: net/http would otherwise send an
// empty answer with status 200, which a caller that only closed its sending
// side would take for a whole one.
func (x *exchange) refuse(err error) {
	if x.callerGone() {
		x.outcome = metric.OutcomeCallerGone
		panic(http.ErrAbortHandler)
	}
	x.reject(err)
}

// reject is refuse for a caller that has not sent its whole request. net/http
// cancels the context of such a caller too, but it still waits for an answer.
func (x *exchange) reject(err error) {
	f := faultOf(x.ctx, err)
	x.outcome = metric.OutcomeRefused
	x.front.s.Metrics.Refusals.WithLabelValues(string(f.Kind)).Inc()
	if f.Kind == fault.Internal {
		event.CallerFailed.Log("request", x.id, "err", err)
	}
	if refused := x.front.s.OnRefusal; refused != nil {
		refused(x.front.s.Now(), x.id.String(), f)
	}
	writeProblem(x.w, problemOf(f, fieldOf(err), x.id.String()), f.RetryAfter)
}

// callerGone reports whether the caller closed the connection.
func (x *exchange) callerGone() bool {
	return x.ctx != nil && errors.Is(context.Cause(x.ctx), context.Canceled)
}

// onPanic answers a panic of the backend, which would otherwise end the
// connection without a word. It aborts an answer that has begun.
func (x *exchange) onPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	event.CallerPanic.Log("request", x.id, "panic", v, "stack", string(debug.Stack()))
	if x.w.started {
		x.outcome = metric.OutcomeBroken
		panic(http.ErrAbortHandler)
	}
	x.refuse(errPanic)
}

// finish releases what x holds. It waits for the pump, so that nothing of x
// runs after the handler.
func (x *exchange) finish() {
	if x.cancel != nil {
		x.cancel(errFinished)
	}
	if x.pump != nil {
		x.pump.end(errFinished)
		<-x.pump.ended
	}
	m := x.front.s.Metrics
	if x.slot {
		<-x.front.slots
		m.Streams.Dec()
	}
	if x.class == "" {
		return
	}
	m.RequestSeconds.WithLabelValues(string(x.class), x.outcome).Observe(x.front.since(x.received))
}
