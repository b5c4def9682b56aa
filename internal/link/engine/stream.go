package engine

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/node/calls"
)

type (
	// stream reads the tokens of one answer. Next and Close may be called
	// from different goroutines, Next from one at a time.
	stream struct {
		upstream, address, id string
		events                *sseReader
		chunks                chunkDecoder
		body                  io.ReadCloser
		cancel                context.CancelFunc
		idle                  time.Duration
		timer                 *time.Timer
		stalled               atomic.Bool
		// ctx is that of the call of Next in progress.
		ctx context.Context
		// watch breaks the stream when the context of Next ends. It is kept
		// between calls with the same context, because setting it up costs
		// as much as checking a token.
		watch atomic.Pointer[watch]
		// reading is watch while Read waits, else nil.
		reading atomic.Pointer[watch]
		// next is the index of the next token.
		next     int64
		repeated int64
		// end is the error that all further calls of Next return.
		end error
	}

	// watch is the wait for the end of one context.
	watch struct {
		done <-chan struct{}
		stop func() bool
	}
)

// doneData marks the end of an answer.
const doneData = "[DONE]"

var _ calls.Stream = (*stream)(nil)

func newStream(body io.ReadCloser, cancel context.CancelFunc, upstream, address, id string, from int64, idle time.Duration) *stream {
	s := &stream{upstream: upstream, address: address, id: id, body: body, cancel: cancel, idle: idle, next: from}
	s.timer = time.AfterFunc(idle, func() {
		s.stalled.Store(true)
		cancel()
	})
	s.timer.Stop()
	s.events = newSSEReader(s)
	return s
}

// Read reads bytes of the answer. The idle timer runs and the end of the
// context counts only while it waits: a slow reader is no stall.
func (s *stream) Read(b []byte) (int, error) {
	w := s.watched()
	s.reading.Store(w)
	if s.ctx.Err() != nil {
		// The watch may have seen the end before reading was set.
		s.cancel()
	}
	s.timer.Reset(s.idle)
	n, err := s.body.Read(b)
	s.timer.Stop()
	s.reading.Store(nil)
	return n, err
}

// watched returns the watch of s.ctx, nil for a context that never ends.
func (s *stream) watched() *watch {
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
	w = &watch{done: done}
	w.stop = context.AfterFunc(s.ctx, func() {
		if s.reading.Load() == w {
			s.cancel()
		}
	})
	s.watch.Store(w)
	return w
}

// Upstream returns the name of the engine.
func (s *stream) Upstream() string { return s.upstream }

// Close ends the connection; the engine goes on with the run. A stream that
// was closed before its end can be resumed.
func (s *stream) Close() error {
	s.cancel()
	s.timer.Stop()
	if w := s.watch.Load(); w != nil {
		w.stop()
	}
	return s.body.Close()
}

// Next returns the next token, or io.EOF after the token with the finish
// reason. Any other error is an *Error and final; its Token is the index from
// which to resume. The end of ctx breaks the stream.
func (s *stream) Next(ctx context.Context) (calls.Token, error) {
	if s.end != nil {
		return calls.Token{}, s.end
	}
	s.ctx = ctx
	t, err := s.read()
	if err == nil {
		if t.Finish != "" {
			s.end = io.EOF
			// The answer is complete. Waiting for the end mark, in order to
			// use the connection again, could delay the caller.
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
			// io.EOF itself would look like the end of a whole answer.
			err.Kind, err.Err = Truncated, io.ErrUnexpectedEOF
		}
	}
	s.end = err
	s.cancel()
	return calls.Token{}, err
}

// read returns the next token that was not returned before.
func (s *stream) read() (calls.Token, *Error) {
	for {
		ev, err := s.events.next()
		if err != nil {
			k := Unreachable
			if errors.Is(err, errTooLarge) {
				k = Malformed
			}
			return calls.Token{}, s.fail(k, "", err)
		}
		if string(ev.data) == doneData {
			return calls.Token{}, s.fail(Truncated, "the answer ended without a finish reason", nil)
		}
		c, err := s.chunks.decode(ev.data)
		if err != nil {
			return calls.Token{}, s.fail(Malformed, "", err)
		}
		if c.id != s.id {
			return calls.Token{}, s.fail(WrongRequest, "an event of request "+strconv.Quote(c.id[:min(len(c.id), maxDetail)]), nil)
		}
		if ev.id == "" && c.choices == 0 {
			// A chunk that only states the token usage.
			continue
		}
		i, err := strconv.ParseInt(ev.id, 10, 64)
		if err != nil || i < 0 || c.choices != 1 {
			return calls.Token{}, s.fail(Malformed, "an event without a token index or with several choices", err)
		}
		switch {
		case i > s.next:
			return calls.Token{}, s.fail(Gap, "token "+strconv.FormatInt(i, 10)+" arrived too early", nil)
		case i < s.next:
			if s.repeated++; s.repeated == 1 {
				event.TokenRepeated.Log("upstream", s.upstream, "request", s.id, "token", i)
			}
			continue
		}
		s.next++
		return calls.Token{Index: i, Text: c.text, Finish: c.finish}, nil
	}
}

func (s *stream) fail(k Kind, detail string, err error) *Error {
	return &Error{Kind: k, Op: "stream", Address: s.address, Reached: true, NextToken: s.next, Detail: detail, Err: err}
}
