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

// tokenStream is a stream from the Backend whose first token has arrived. The
// response is not started before that token, so that every earlier failure can
// still be sent with its own status.
type tokenStream struct {
	stream calls.Stream
	seq    tokenSequence
	first  calls.Token
	// exhausted is set for a resumed response without further tokens.
	exhausted bool
}

// openStream opens a stream and waits for its first token until DeadlineGrace
// past the deadline. from is the index of the first token.
func (x *exchange) openStream(ctx context.Context, deadline time.Time, from int64, open func() (calls.Stream, error)) (*tokenStream, error) {
	stop := x.cancelAfterDeadline(deadline, errNotStarted)
	defer stop()
	stream, err := open()
	if err != nil {
		return nil, err
	}
	ts := &tokenStream{stream: stream, seq: tokenSequence{next: from}}
	ts.first, err = ts.next(ctx)
	switch {
	case err == nil:
		if from > 0 {
			return ts, nil // a resumption is not recorded as time to first token
		}
		x.server.settings.Metrics.FirstTokenSeconds.WithLabelValues(string(x.class)).Observe(x.server.secondsSince(x.received))
		return ts, nil
	case from > 0 && errors.Is(err, io.EOF):
		ts.exhausted = true
		return ts, nil
	}
	_ = stream.Close() // the earlier error is reported
	return nil, eofFault(err)
}

// next returns the next token in sequence and skips repeated ones.
func (ts *tokenStream) next(ctx context.Context) (calls.Token, error) {
	for {
		t, err := ts.stream.Next(ctx)
		if err != nil {
			return t, err
		}
		ok, err := ts.seq.accept(t)
		if ok || err != nil {
			return t, err
		}
	}
}

// collect reads ts to its end and closes it. It returns the text and the finish
// reason, or an error if the text is longer than limit bytes.
func (ts *tokenStream) collect(ctx context.Context, limit int) (text, finish string, err error) {
	defer func() { _ = ts.stream.Close() }() // a failure to close has no consequence here
	var b strings.Builder
	for t := ts.first; ; {
		b.WriteString(t.Text)
		if t.Finish != "" {
			return b.String(), t.Finish, nil
		}
		if b.Len() > limit {
			return "", "", fault.New(fault.UpstreamInvalid, "the answer is longer than %d bytes; ask for a stream", limit).WithRun(fault.RunYes)
		}
		if t, err = ts.next(ctx); err != nil {
			return "", "", eofFault(err)
		}
	}
}

// eofFault returns an upstream-invalid fault for io.EOF, which means that the
// stream ended without a finish reason, and other errors unchanged.
func eofFault(err error) error {
	if errors.Is(err, io.EOF) {
		return fault.New(fault.UpstreamInvalid, "the answer ended without a finish reason").WithRun(fault.RunYes)
	}
	return err
}

var (
	// errNotStarted refuses a request whose response was not started in time.
	errNotStarted = fault.New(fault.DeadlinePassed, "no answer began before the deadline").WithRun(fault.RunUnknown)
	// errIncomplete refuses a request whose response is not streamed and was
	// not complete in time. The client has received no part of it.
	errIncomplete = fault.New(fault.DeadlinePassed, "the answer was not complete before the deadline").WithRun(fault.RunYes)
)

// cancelAfterDeadline cancels x with cause at DeadlineGrace past the deadline,
// unless stop is called before.
func (x *exchange) cancelAfterDeadline(deadline time.Time, cause *fault.Fault) (stop func()) {
	set := &x.server.settings
	t := time.AfterFunc(timeUntil(deadline, set.Now())+set.DeadlineGrace, func() { x.cancel(cause) })
	return func() { t.Stop() }
}
