package front

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/node/flow"
)

type (
	// pump moves the tokens of a stream into a bounded buffer of events, from
	// which Read takes all that is there at once. One write to the caller
	// thus carries every token that has arrived since the last one.
	pump struct {
		limit int
		// ended is closed when the pump has released the stream.
		ended chan struct{}

		mu   sync.Mutex
		cond sync.Cond
		buf  []byte
		// off is how much of buf is read.
		off int
		// err is set when no more events follow: io.EOF for a complete
		// answer.
		err error
	}

	// sequence checks that tokens follow each other without gaps.
	sequence struct {
		next int64
	}
)

var (
	// errSlowReader ends a stream whose reader leaves the buffer full.
	errSlowReader = errors.New("the caller reads too slowly")
	// errBrokenOff ends a stream after its error event.
	errBrokenOff = errors.New("the answer broke off")

	_ io.Reader = (*pump)(nil)
)

func newPump(limit int) *pump {
	p := &pump{limit: limit, ended: make(chan struct{})}
	p.cond.L = &p.mu
	return p
}

// Read waits for events and copies those that fit into b.
func (p *pump) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.off == len(p.buf) && p.err == nil {
		p.cond.Wait()
	}
	if p.off == len(p.buf) || errors.Is(p.err, errSlowReader) {
		return 0, p.err
	}
	n := copy(b, p.buf[p.off:])
	if p.off += n; p.off == len(p.buf) {
		p.buf, p.off = p.buf[:0], 0
	}
	return n, nil
}

// put lets add append to the buffer. It fails with errSlowReader if the
// buffer then holds more than its limit, unless it was empty before: a single
// event always passes.
func (p *pump) put(add func([]byte) []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.buf) - p.off
	if p.off > 0 && p.off >= len(p.buf)/2 {
		// The unread rest is moved to the front, so that a reader who is
		// always a little late doesn't make the buffer grow for ever.
		p.buf, p.off = p.buf[:copy(p.buf, p.buf[p.off:])], 0
	}
	p.buf = add(p.buf)
	if before > 0 && len(p.buf)-p.off > p.limit {
		p.err = errSlowReader
		p.cond.Signal()
		return errSlowReader
	}
	p.cond.Signal()
	return nil
}

// end states why no more events follow. The first reason stays.
func (p *pump) end(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
	p.cond.Signal()
}

// accept reports whether t is the next token. It drops a repeated one; a gap
// is an upstream-invalid fault, because the answer would not be whole.
func (q *sequence) accept(t flow.Token) (bool, error) {
	switch {
	case t.Index < q.next:
		return false, nil
	case t.Index > q.next:
		return false, fault.New(fault.UpstreamInvalid, "token %d followed token %d", t.Index, q.next-1).WithRun(fault.RunYes)
	}
	q.next++
	return true, nil
}

// run fills p from the answer a until it ends.
func (x *exchange) run(ctx context.Context, p *pump, a *answer, c *chunker) {
	defer close(p.ended)
	defer func() { _ = a.stream.Close() }() // nothing can be done about a failure
	if a.ended {
		x.put(p, appendDone)
		p.end(io.EOF)
		return
	}
	last := x.front.s.Now()
	token := a.first
	for {
		t, upstream := token, a.stream.Upstream()
		if !x.put(p, func(b []byte) []byte { return c.append(b, t, upstream) }) {
			return
		}
		if t.Finish != "" {
			x.put(p, appendDone)
			p.end(io.EOF)
			return
		}
		var err error
		if token, err = a.next(ctx); err != nil {
			x.breakOff(p, eofFault(err))
			return
		}
		now := x.front.s.Now()
		x.front.s.Metrics.TokenIntervalSeconds.Observe(now.Sub(last).Seconds())
		last = now
	}
}

// put adds an event to p. If the buffer is full it cuts the connection, on
// which a write may be blocked, and reports false.
func (x *exchange) put(p *pump, add func([]byte) []byte) bool {
	err := p.put(add)
	if err != nil {
		x.w.cutOff(err)
		event.CallerSlowReader.Log("request", x.id, "buffer-bytes", p.limit)
	}
	return err == nil
}

// breakOff ends the events of p with the problem err.
func (x *exchange) breakOff(p *pump, err error) {
	if x.callerGone() {
		p.end(context.Canceled)
		return
	}
	f := ranFault(faultOf(x.ctx, err))
	x.front.s.Metrics.Refusals.WithLabelValues(string(f.Kind)).Inc()
	event.CallerAnswerBroken.Log("request", x.id, "kind", f.Kind, "detail", f.Detail)
	doc := problemOf(f, "", x.id.String())
	x.put(p, func(b []byte) []byte { return appendError(b, doc) })
	p.end(errBrokenOff)
}

// brokenOutcome names why an answer that had begun did not end well.
func (x *exchange) brokenOutcome(err error) string {
	switch {
	case errors.Is(err, errBrokenOff):
		return metric.OutcomeBroken
	case errors.Is(err, errSlowReader), isTimeout(err):
		return metric.OutcomeSlowReader
	}
	return metric.OutcomeCallerGone
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// ranFault returns f for a request that an upstream has begun to answer: it
// did run, whatever the failure that cut it says.
func ranFault(f *fault.Fault) *fault.Fault {
	if f.Run == fault.RunYes {
		return f
	}
	return f.WithRun(fault.RunYes)
}

// remaining returns the time from now to t, at least 0.
func remaining(t, now time.Time) time.Duration { return max(t.Sub(now), 0) }
