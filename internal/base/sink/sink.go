// Package sink writes log lines without blocking the caller.
//
// Lines are buffered in a bounded queue and written by a single goroutine. If
// the queue is full because the output is blocked or slow, lines are dropped and
// counted. The count is logged after the next write.
package sink

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"github.com/azurespan/azurespan/internal/base/event"
)

// Sink is an asynchronous io.Writer of complete lines. It is safe for concurrent
// use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// WriteErrors counts the failed writes to the output.
	WriteErrors atomic.Int64
}

// DefaultLines is the default capacity of the queue in lines. It holds several
// seconds of a busy daemon's log.
const DefaultLines = 4096

// New returns a Sink that writes to out, with a queue of n lines.
func New(out io.Writer, n int) *Sink {
	return &Sink{out: out, lines: make(chan []byte, n)}
}

// Write enqueues one line, or drops it if the queue is full. It never blocks and
// never fails.
func (s *Sink) Write(b []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(b):
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Run writes lines until ctx ends, and then those that are still queued.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case b := <-s.lines:
			s.writeLine(b)
		case <-ctx.Done():
			for {
				select {
				case b := <-s.lines:
					s.writeLine(b)
				default:
					return ctx.Err()
				}
			}
		}
	}
}

// writeLine writes one line and logs the number of lines dropped since the last
// write.
func (s *Sink) writeLine(b []byte) {
	if _, err := s.out.Write(b); err != nil {
		// Failures of the log output can't be logged, only counted.
		s.WriteErrors.Add(1)
	}
	if n := s.dropped.Swap(0); n > 0 {
		event.LinesDropped.Log("of", "output", "count", n)
	}
}
