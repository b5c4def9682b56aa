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
	"github.com/azurespan/azurespan/internal/link/guard"
)

type (
	// exchange is one HTTP request with its response.
	exchange struct {
		server   *Server
		id       ulid.ULID
		received time.Time
		w        *responseWriter
		// body is the request body as received.
		body []byte
		// key is the caller's key until authorize is called. account is the name of
		// the account that it belongs to, and priority that account's.
		key      string
		account  string
		priority int
		// class is empty until it is known. The duration of an exchange without
		// a class is not recorded.
		class   declare.Class
		outcome string
		cancel  context.CancelCauseFunc
		// ctx ends when the client disconnects or cancel is called.
		ctx context.Context
		// buffer holds the events of a streamed response; nil otherwise.
		buffer *eventBuffer
		// hasStreamSlot is set while the exchange holds a slot of
		// Server.streamSlots.
		hasStreamSlot bool
	}

	// exchangeKey is the context key of an exchange.
	exchangeKey struct{}
)

const (
	// minRetryDelay is the shortest delay before a retry; up to
	// retryDelaySpread is added to it.
	minRetryDelay    = time.Second
	retryDelaySpread = 2 * time.Second
	// byteValues is the number of values of a byte.
	byteValues = 256
)

func (s *Server) newExchange(rw http.ResponseWriter) *exchange {
	now := s.settings.Now()
	x := &exchange{
		server:   s,
		received: now,
		w:        newResponseWriter(rw, s.settings.WriteTimeout),
		outcome:  metric.OutcomeOK,
	}
	x.id = ulid.MustNew(ulid.Timestamp(now), s.settings.Entropy)
	rw.Header().Set("X-Request-Id", x.id.String())
	return x
}

// newContext returns a child of ctx that carries x and that x can cancel.
func (x *exchange) newContext(ctx context.Context) context.Context {
	ctx, x.cancel = context.WithCancelCause(ctx)
	x.ctx = context.WithValue(ctx, exchangeKey{}, x)
	return x.ctx
}

func exchangeFromContext(ctx context.Context) *exchange {
	return ctx.Value(exchangeKey{}).(*exchange)
}

// readBody reads the body into x.body and replaces it by a reader of x.body for
// the generated decoder. It also refuses repeated headers.
func (x *exchange) readBody(rw http.ResponseWriter, r *http.Request) error {
	set := &x.server.settings
	if r.ContentLength > set.MaxBodyBytes {
		rw.Header().Set("Connection", "close")
		return tooLarge(set.MaxBodyBytes)
	}
	// The error is ignored: response recorders in tests support no deadlines.
	_ = x.w.controller.SetReadDeadline(time.Now().Add(set.BodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, set.MaxBodyBytes))
	_ = x.w.controller.SetReadDeadline(time.Time{})
	if err != nil {
		rw.Header().Set("Connection", "close")
		var large *http.MaxBytesError
		var memory *guard.MemoryError
		switch {
		case errors.As(err, &large):
			return tooLarge(set.MaxBodyBytes)
		case errors.As(err, &memory):
			return fault.New(fault.QueueFull, "the daemon has no memory for the body").WithRetry(x.retryDelay())
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fieldErrorf("body", "was not received within %v", set.BodyTimeout)
		default:
			return fieldErrorf("body", "could not be read: %v", err)
		}
	}
	x.body = b
	r.Body = io.NopCloser(bytes.NewReader(b))
	r.ContentLength = int64(len(b))
	return checkNotRepeated(r.Header)
}

func tooLarge(limit int64) error {
	return fault.New(fault.BodyTooLarge, "the body is larger than %d bytes", limit)
}

// acquireStreamSlot counts x as a response in progress until finish is called.
func (x *exchange) acquireStreamSlot() error {
	select {
	case x.server.streamSlots <- struct{}{}:
		x.hasStreamSlot = true
		x.server.settings.Metrics.Streams.Inc()
		return nil
	default:
		return fault.New(fault.QueueFull, "%d answers are in progress on this daemon", x.server.settings.MaxStreams).
			WithRetry(x.retryDelay())
	}
}

// retryDelay returns a delay of 1 s to 3 s, derived from the random part of the
// request identifier, so that refused clients don't retry at the same time.
func (x *exchange) retryDelay() time.Duration {
	return minRetryDelay + time.Duration(x.id[len(x.id)-1])*retryDelaySpread/byteValues
}

// refuse responds with a problem document; no response may have been started. It
// aborts the connection of a client that has disconnected: net/http would
// otherwise send an empty response with status 200, which a client that only
// closed its sending side would take for a complete one.
func (x *exchange) refuse(err error) {
	if x.clientGone() {
		x.outcome = metric.OutcomeCallerGone
		panic(http.ErrAbortHandler)
	}
	x.writeRefusal(err)
}

// writeRefusal sends a refusal without checking whether the client is gone. It is
// called directly for a client that has not sent its complete request: net/http
// cancels the context for such a client too, but it still waits for a response.
func (x *exchange) writeRefusal(err error) {
	f := toFault(x.ctx, err)
	x.outcome = metric.OutcomeRefused
	x.server.settings.Metrics.Refusals.WithLabelValues(string(f.Kind)).Inc()
	if f.Kind == fault.Internal {
		event.CallerFailed.Log("request", x.id, "err", err)
	}
	if onRefusal := x.server.settings.OnRefusal; onRefusal != nil {
		onRefusal(x.server.settings.Now(), x.id.String(), f)
	}
	writeProblem(x.w, newProblem(f, invalidFieldOf(err), x.id.String()), f.RetryAfter)
}

// clientGone reports whether the client closed the connection.
func (x *exchange) clientGone() bool {
	return x.ctx != nil && errors.Is(context.Cause(x.ctx), context.Canceled)
}

// recoverPanic responds to a panic of the handler or the Backend with an
// internal fault; net/http would close the connection without a response. It
// aborts a response that has been started.
func (x *exchange) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	event.CallerPanic.Log("request", x.id, "panic", v, "stack", string(debug.Stack()))
	if x.w.headerSent {
		x.outcome = metric.OutcomeBroken
		panic(http.ErrAbortHandler)
	}
	x.refuse(errPanic)
}

// finish releases the resources of x and records its duration. It waits for
// forwardTokens, so that no goroutine of x outlives the handler.
func (x *exchange) finish() {
	if x.cancel != nil {
		x.cancel(errFinished)
	}
	if x.buffer != nil {
		x.buffer.close(errFinished)
		<-x.buffer.streamClosed
		if x.buffer.hold != nil {
			x.buffer.hold.Release()
		}
	}
	m := x.server.settings.Metrics
	if x.hasStreamSlot {
		<-x.server.streamSlots
		m.Streams.Dec()
	}
	m.Accounts.Ended(x.account, x.outcome)
	if x.class == "" {
		return
	}
	m.RequestSeconds.WithLabelValues(string(x.class), x.outcome).Observe(x.server.secondsSince(x.received))
}
