package relay

import (
	"context"
	"io"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

// stall watches for an upstream that sends bytes but doesn't get on: the head of its
// response, or the event of a stream that it has begun, isn't complete in time.
// Another upstream is then asked to take the request over, as after a silence.
type stall struct {
	ctx  context.Context
	x    *exchange
	call *call
	// limit is the time that the head, or the pause between two events, may take.
	limit time.Duration
	// since is when the upstream last got on, until when it is looked at next, and
	// expired is set once it was.
	since, until time.Time
	expired      bool
	// within is set while bytes of an event have arrived, but not all of them.
	within bool
	// next is the call that goes on with the request, nil if there is none.
	next *call
}

var _ http1.Stall = (*stall)(nil)

func newStall(ctx context.Context, x *exchange, k *call, now time.Time, limit time.Duration) *stall {
	return &stall{ctx: ctx, x: x, call: k, limit: limit, since: now, until: now.Add(limit)}
}

// Until implements http1.Stall.
func (s *stall) Until() time.Time { return s.until }

// Expired implements http1.Stall: it asks another upstream, and reports whether to wait
// on because none has taken the request over.
func (s *stall) Expired() bool {
	if s.ctx.Err() != nil {
		return false
	}
	s.expired = true
	s.next = s.x.replaceStalled(s.ctx, s.call, s.since)
	s.until = s.x.relay.now().Add(s.limit)
	return s.next == nil
}

// read reads from the body of the response.
func (s *stall) read(body io.Reader, buf []byte) (int, error) {
	s.call.conn.BoundReads(s)
	defer s.call.conn.BoundReads(nil)
	return body.Read(buf)
}

// advance records the end of a read, which has completed an event or not, and reports
// whether another upstream has taken the stream over since.
func (s *stall) advance(now time.Time, completed bool, err error) bool {
	switch {
	case completed:
		if s.expired {
			s.x.recordContinued(s.call.up, s.since)
		}
		s.since, s.until, s.expired = now, now.Add(s.limit), false
	case err == nil && !now.Before(s.until):
		s.Expired()
	}
	s.within = !completed
	return s.next != nil
}

// outcome returns the outcome of the call that was given up.
func (s *stall) outcome() outcome {
	stalled := s.x.relay.now().Sub(s.since)
	return outcome{mayHaveRun: true, result: pick.GivenUp, replacedBy: s.next, cause: "incomplete for " + stalled.String()}
}

// replaceStalled sends the request of a call that hasn't got on since the given time to
// another upstream, and returns the new call once that has been accepted, nil if there is
// none. The former one isn't read meanwhile; its bytes wait.
func (x *exchange) replaceStalled(ctx context.Context, k *call, since time.Time) *call {
	c, reason := x.reserveReplacement(k.up, since)
	x.logSilence(k.up, since, reason)
	if reason != "" {
		return nil
	}
	sent := x.relay.now()
	x.countAttempt(c, k.up.ID)
	inner, cancel := context.WithCancel(ctx)
	limit := sent.Add(x.firstByteTimeout())
	if x.route.Kind != fleet.Stream {
		limit = sent.Add(replacementWindow)
	}
	next, failure := x.openReplacement(inner, c.Upstream, nil, limit)
	if next != nil && next.res == nil {
		next.abort()
		next, failure = nil, outcome{mayHaveRun: true, result: pick.Inconclusive, cause: "no response in time to take the request over"}
	}
	if next != nil {
		next.detach()
		cancel()
		next.detach = context.AfterFunc(ctx, next.conn.Abort)
		return next
	}
	if failure.mayHaveRun {
		x.possibleRuns++
	}
	unsent := failure.unsent()
	x.recordOutcome(inner, c.Upstream, &failure, sent, 0)
	if unsent {
		x.returnRetryToken()
	}
	cancel()
	return nil
}
