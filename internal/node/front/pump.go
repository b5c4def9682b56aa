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
	"github.com/azurespan/azurespan/internal/node/calls"
)

type (
	// pump moves the tokens of a stream into a bounded buffer of events, from
	// which Read takes all that is there at once. One write to the caller
	// thus carries every token that has arrived since the last one.
	pump struct {
		limit    int
		patience time.Duration
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
	// errSlowReader ends a stream whose reader leaves the buffer full for
	// longer than the patience.
	errSlowReader = errors.New("the caller reads too slowly")
	// errBrokenOff ends a stream after its error event.
	errBrokenOff = errors.New("the answer broke off")
	// errPanic is answered as internal.
	errPanic = fault.New(fault.Internal, "a component of the daemon failed").WithRun(fault.RunUnknown)

	_ io.Reader = (*pump)(nil)
)

func newPump(limit int, patience time.Duration) *pump {
	p := &pump{limit: limit, patience: patience, ended: make(chan struct{})}
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
	p.cond.Broadcast()
	if p.off += n; p.off == len(p.buf) {
		p.buf, p.off = p.buf[:0], 0
	}
	return n, nil
}

// put lets add append to the buffer. When the buffer is over its limit, it
// waits until the reader has taken half; the stream is not read meanwhile, so
// no more is held. A reader who doesn't take that much within the patience is
// too slow, which ends p with errSlowReader. Cutting at once would be wrong: a
// resumed answer can come from the engine faster than any network takes it.
func (p *pump) put(add func([]byte) []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	if p.off > 0 && p.off >= len(p.buf)/2 {
		// The unread rest is moved to the front, so that a reader who is
		// always a little late doesn't make the buffer grow for ever.
		p.buf, p.off = p.buf[:copy(p.buf, p.buf[p.off:])], 0
	}
	p.buf = add(p.buf)
	p.cond.Broadcast()
	if len(p.buf)-p.off <= p.limit {
		return nil
	}
	t := time.AfterFunc(p.patience, func() { p.end(errSlowReader) })
	defer t.Stop()
	for len(p.buf)-p.off > p.limit/2 && p.err == nil {
		p.cond.Wait()
	}
	return p.err
}

// end states why no more events follow. The first reason stays.
func (p *pump) end(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
	p.cond.Broadcast()
}

// accept reports whether t is the next token. It drops a repeated one; a gap
// is an upstream-invalid fault, because the answer would not be whole.
func (q *sequence) accept(t calls.Token) (bool, error) {
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
	defer x.onPumpPanic(p)
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

// onPumpPanic breaks the answer off when the stream panics. Without it the
// panic of one stream would end the process with all others.
func (x *exchange) onPumpPanic(p *pump) {
	if v := recover(); v != nil {
		event.CallerPanic.Log("request", x.id, "panic", v, "stack", string(debug.Stack()))
		x.breakOff(p, errPanic)
	}
}

// put adds an event to p and reports whether p takes more. It cuts the
// connection of a slow reader, on which a write may be blocked.
func (x *exchange) put(p *pump, add func([]byte) []byte) bool {
	err := p.put(add)
	if errors.Is(err, errSlowReader) {
		x.w.cutOff(err)
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
