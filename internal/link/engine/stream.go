package engine

import (
	"context"
	"errors"
	"io"
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/node/calls"
)

type (
	// Stream reads the tokens of one answer. Next and Close may be called from
	// different goroutines, but Next from only one at a time.
	Stream struct {
		upstream, address, id string
		events                *sseReader
		chunks                chunkDecoder
		body                  io.ReadCloser
		cancel                context.CancelFunc
		idleTimeout           time.Duration
		timer                 *time.Timer
		stalled               atomic.Bool
		// onSilence is called after the idle timeout; nil ends the stream then.
		onSilence func(since time.Time)
		openedAt  time.Time
		// waited is how long reads have waited since the last event or comment; reported,
		// whether the idle timeout has passed in that time.
		waited   time.Duration
		reported atomic.Bool
		// waitingFrom is the time from openedAt to the start of the read in
		// progress, less waited; it is notReading if there is none.
		waitingFrom atomic.Int64
		// ctx is the context of the call of Next in progress.
		ctx context.Context
		// watch cancels the stream when the context of Next ends. It is
		// reused by calls with the same context, because setting it up costs
		// as much as validating a token.
		watch atomic.Pointer[contextWatch]
		// activeWatch is the current watch while Read is blocked, otherwise
		// nil.
		activeWatch atomic.Pointer[contextWatch]
		// nextIndex is the index of the next token.
		nextIndex int64
		// repeated is the number of duplicate tokens dropped.
		repeated int64
		// finalErr is the error that all further calls of Next return.
		finalErr error
	}

	// contextWatch is a registered wait for the end of a context.
	contextWatch struct {
		done <-chan struct{}
		stop func() bool
	}
)

// doneData is the data of the event that ends an answer.
const doneData = "[DONE]"

// notReading is the value of waitingFrom between two reads.
const notReading = math.MinInt64

var _ calls.Stream = (*Stream)(nil)

func newStream(body io.ReadCloser, cancel context.CancelFunc, upstream, address, id string, from int64, idleTimeout time.Duration) *Stream {
	s := &Stream{upstream: upstream, address: address, id: id, body: body, cancel: cancel, idleTimeout: idleTimeout, openedAt: time.Now(), nextIndex: from}
	s.waitingFrom.Store(notReading)
	s.timer = time.AfterFunc(idleTimeout, s.timedOut)
	s.timer.Stop()
	s.events = newSSEReader(s)
	s.events.onEvent = s.recordEvent
	return s
}

// OnSilence makes the stream call f in a goroutine of its own, instead of ending, when
// Next has waited for the given time without an event or a comment. Bytes of an event that
// isn't complete don't count. since is when that wait began. It must be called before the
// first call of Next.
func (s *Stream) OnSilence(after time.Duration, f func(since time.Time)) {
	s.idleTimeout, s.onSilence = after, f
}

// GiveUp makes the call of Next in progress, and all further ones, fail as Stalled.
func (s *Stream) GiveUp() {
	s.stalled.Store(true)
	s.cancel()
}

// timedOut is called when a read has taken as long as the idle timeout.
func (s *Stream) timedOut() {
	if s.onSilence == nil {
		s.GiveUp()
		return
	}
	from := s.waitingFrom.Load()
	if from == notReading {
		// The read has ended at the same moment.
		return
	}
	since := s.openedAt.Add(time.Duration(from))
	if time.Since(since) >= s.idleTimeout && !s.reported.Swap(true) {
		s.onSilence(since)
	}
}

// recordEvent records an event or a comment.
func (s *Stream) recordEvent() {
	s.waited = 0
	s.reported.Store(false)
}

// Read reads bytes of the response. The idle timer and the watch of the context
// are active only during the read, so that a slow caller of Next is not treated
// as a stalled engine.
func (s *Stream) Read(b []byte) (int, error) {
	w := s.currentWatch()
	s.activeWatch.Store(w)
	if s.ctx.Err() != nil {
		// The context may have ended before activeWatch was set.
		s.cancel()
	}
	began := time.Since(s.openedAt) - s.waited
	s.waitingFrom.Store(int64(began))
	if !s.reported.Load() {
		s.timer.Reset(max(s.idleTimeout-s.waited, 0))
	}
	n, err := s.body.Read(b)
	s.timer.Stop()
	s.waitingFrom.Store(notReading)
	s.waited = time.Since(s.openedAt) - began
	s.activeWatch.Store(nil)
	return n, err
}

// currentWatch returns the watch of s.ctx, nil for a context that never ends.
func (s *Stream) currentWatch() *contextWatch {
	done, w := s.ctx.Done(), s.watch.Load()
	if w != nil && w.done == done {
		return w
	}
	if w != nil {
		w.stop()
	}
	if done == nil {
		s.watch.Store(nil)
		return nil
	}
	w = &contextWatch{done: done}
	w.stop = context.AfterFunc(s.ctx, func() {
		if s.activeWatch.Load() == w {
			s.cancel()
		}
	})
	s.watch.Store(w)
	return w
}

// Upstream returns the name of the engine.
func (s *Stream) Upstream() string { return s.upstream }

// Close closes the connection; the engine continues the run. A stream that was
// closed before its end can be resumed.
func (s *Stream) Close() error {
	s.cancel()
	s.timer.Stop()
	if w := s.watch.Load(); w != nil {
		w.stop()
	}
	return s.body.Close()
}

// Next returns the next token, or io.EOF after the token with the finish
// reason. Any other error is an *Error and final; its NextToken is the index
// from which to resume. The end of ctx breaks the stream.
func (s *Stream) Next(ctx context.Context) (calls.Token, error) {
	if s.finalErr != nil {
		return calls.Token{}, s.finalErr
	}
	s.ctx = ctx
	t, err := s.nextToken()
	if err == nil {
		if t.Finish != "" {
			s.finalErr = io.EOF
			// The answer is complete. Reading the final event in order to
			// reuse the connection could delay the caller.
			s.cancel()
		}
		return t, nil
	}
	if err.Kind == Unreachable {
		switch {
		case s.stalled.Load():
			err.Kind = Stalled
		case ctx.Err() != nil:
			err.Kind, err.Err = Cancelled, context.Cause(ctx)
		case errors.Is(err.Err, io.EOF):
			// io.EOF would indicate a complete answer.
			err.Kind, err.Err = Truncated, io.ErrUnexpectedEOF
		}
	}
	s.finalErr = err
	s.cancel()
	return calls.Token{}, err
}

// nextToken returns the next token that has not been returned before.
func (s *Stream) nextToken() (calls.Token, *Error) {
	for {
		ev, err := s.events.next()
		if err != nil {
			kind := Unreachable
			if errors.Is(err, errEventTooLarge) {
				kind = Malformed
			}
			return calls.Token{}, s.fail(kind, "", err)
		}
		if string(ev.data) == doneData {
			return calls.Token{}, s.fail(Truncated, "the answer ended without a finish reason", nil)
		}
		c, err := s.chunks.decode(ev.data)
		if err != nil {
			return calls.Token{}, s.fail(Malformed, "", err)
		}
		if c.id != s.id {
			return calls.Token{}, s.fail(WrongRequest, "event of request "+strconv.Quote(c.id[:min(len(c.id), maxDetailBytes)]), nil)
		}
		if ev.id == "" && c.choices == 0 {
			// A chunk that contains only the token usage.
			continue
		}
		i, err := strconv.ParseInt(ev.id, 10, 64)
		if err != nil || i < 0 || c.choices != 1 {
			return calls.Token{}, s.fail(Malformed, "event without a valid token index or without exactly one choice", err)
		}
		switch {
		case i > s.nextIndex:
			return calls.Token{}, s.fail(Gap, "got token "+strconv.FormatInt(i, 10)+" instead of "+strconv.FormatInt(s.nextIndex, 10), nil)
		case i < s.nextIndex:
			if s.repeated++; s.repeated == 1 {
				event.TokenRepeated.Log("upstream", s.upstream, "request", s.id, "token", i)
			}
			continue
		}
		s.nextIndex++
		return calls.Token{Index: i, Text: c.text, Finish: c.finish}, nil
	}
}

// fail returns the Error of a stream that is broken at the next token.
func (s *Stream) fail(kind Kind, detail string, err error) *Error {
	return &Error{Kind: kind, Op: "stream", Address: s.address, Reached: true, NextToken: s.nextIndex, Detail: detail, Err: err}
}
