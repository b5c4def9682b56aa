package front

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// answer is a stream of which the first token has arrived. Waiting for it
// lets every refusal before it go out with its own status.
type answer struct {
	stream calls.Stream
	seq    sequence
	first  calls.Token
	// ended is set for a resumed answer that has no token left.
	ended bool
}

// begin opens a stream and waits for its first token, until the deadline plus
// the grace. from is the index of the first token.
func (x *exchange) begin(ctx context.Context, deadline time.Time, from int64, open func() (calls.Stream, error)) (*answer, error) {
	stop := x.guard(deadline, errNotBegun)
	defer stop()
	s, err := open()
	if err != nil {
		return nil, err
	}
	a := &answer{stream: s, seq: sequence{next: from}}
	a.first, err = a.next(ctx)
	switch {
	case err == nil:
		if from > 0 {
			return a, nil // the wait for a resumption is no first token
		}
		x.front.s.Metrics.FirstTokenSeconds.WithLabelValues(string(x.class)).Observe(x.front.since(x.received))
		return a, nil
	case from > 0 && errors.Is(err, io.EOF):
		a.ended = true
		return a, nil
	}
	_ = s.Close() // the first failure is the one to report
	return nil, eofFault(err)
}

// next returns the next token in sequence.
func (a *answer) next(ctx context.Context) (calls.Token, error) {
	for {
		t, err := a.stream.Next(ctx)
		if err != nil {
			return t, err
		}
		ok, err := a.seq.accept(t)
		if ok || err != nil {
			return t, err
		}
	}
}

// collect reads a to its end and returns its text and finish reason.
func (a *answer) collect(ctx context.Context, limit int) (text, finish string, err error) {
	defer func() { _ = a.stream.Close() }() // nothing can be done about a failure
	var b strings.Builder
	for t := a.first; ; {
		b.WriteString(t.Text)
		if t.Finish != "" {
			return b.String(), t.Finish, nil
		}
		if b.Len() > limit {
			return "", "", fault.New(fault.UpstreamInvalid, "the answer is longer than %d bytes; ask for a stream", limit).WithRun(fault.RunYes)
		}
		if t, err = a.next(ctx); err != nil {
			return "", "", eofFault(err)
		}
	}
}

// eofFault returns the fault of a stream that ended without a finish reason,
// and other errors unchanged.
func eofFault(err error) error {
	if errors.Is(err, io.EOF) {
		return fault.New(fault.UpstreamInvalid, "the answer ended without a finish reason").WithRun(fault.RunYes)
	}
	return err
}

var (
	// errNotBegun is the refusal of a request without an answer.
	errNotBegun = fault.New(fault.DeadlinePassed, "no answer began before the deadline").WithRun(fault.RunUnknown)
	// errNotWhole is the refusal of a request whose answer is not streamed
	// and has begun, so that the caller has seen nothing of it.
	errNotWhole = fault.New(fault.DeadlinePassed, "the answer was not complete before the deadline").WithRun(fault.RunYes)
)

// guard cancels x with cause when it is not done by the deadline plus the
// grace. stop ends the guard.
func (x *exchange) guard(deadline time.Time, cause *fault.Fault) (stop func()) {
	f := x.front
	t := time.AfterFunc(remaining(deadline, f.s.Now())+f.s.DeadlineGrace, func() { x.cancel(cause) })
	return func() { t.Stop() }
}
