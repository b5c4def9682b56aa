package router

import (
	"context"
	"errors"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/internal/rule/route"
)

// answer is the stream of one request. It hides failures of engines: its
// tokens come in order and without gaps, whichever engine produced them.
type answer struct {
	b      *Router
	r      calls.Request
	began  time.Time
	stream calls.Stream
	// entered tells the queue that the request has been sent or given up.
	entered func()

	upstream    string
	address     string
	incarnation string
	sentAt      time.Time
	firstAt     time.Time
	// next is the index of the next token, text what was delivered before.
	next int64
	text strings.Builder
	// reached is set once an engine may have begun the answer.
	reached    bool
	suspect    bool
	finished   bool
	recoveries int
	// parent is the context that Next was called with last, and ctx the same
	// with the request's deadline. It is kept because tokens are many.
	parent, ctx context.Context
	stop        context.CancelFunc
	// resumed is set for a stream that was taken up by its identifier, whose
	// request this daemon does not have.
	resumed bool
}

var _ calls.Stream = (*answer)(nil)

// crashReportTimeout bounds the question whether an engine is still alive.
const crashReportTimeout = time.Second

// A broken report is repeated a few times within crashReportTimeout. Pauses of
// 50 ms are longer than a process takes to close its listener after it began
// to die.
const (
	crashReports     = 5
	crashReportPause = 50 * time.Millisecond
)

// Upstream returns the engine that produces the next token.
func (a *answer) Upstream() string { return a.upstream }

// Close releases the stream. The engine goes on, so that the answer can be
// resumed.
func (a *answer) Close() error {
	if a.stop != nil {
		a.stop()
	}
	if a.stream == nil {
		return nil
	}
	err := a.stream.Close()
	a.stream = nil
	if !a.resumed {
		a.left(a.upstream, a.finished && !a.firstAt.IsZero())
	}
	return err
}

// bound returns ctx with the request's deadline.
func (a *answer) bound(ctx context.Context) context.Context {
	if a.parent != ctx {
		if a.stop != nil {
			a.stop()
		}
		a.parent = ctx
		a.ctx, a.stop = context.WithDeadline(ctx, a.r.Deadline)
	}
	return a.ctx
}

// Next returns the next token. It continues the answer elsewhere if the
// engine fails, and fails with a *fault.Fault if that is not possible before
// the deadline, which bounds the whole answer.
func (a *answer) Next(ctx context.Context) (calls.Token, error) {
	if a.finished {
		return calls.Token{}, io.EOF
	}
	ctx = a.bound(ctx)
	for {
		if a.stream == nil {
			return calls.Token{}, a.refuse(fault.New(fault.UpstreamUnavailable, "the answer is cut").WithRun(fault.RunYes))
		}
		t, err := a.stream.Next(ctx)
		if err == nil && t.Index == a.next {
			a.accept(t)
			return t, nil
		}
		if err == nil && t.Index < a.next {
			continue
		}
		if ctx.Err() != nil {
			return calls.Token{}, a.refuse(passed("the answer was produced", fault.RunYes))
		}
		if err := a.recover(ctx, err); err != nil {
			return calls.Token{}, err
		}
	}
}

// accept takes a token over.
func (a *answer) accept(t calls.Token) {
	if a.firstAt.IsZero() {
		a.firstAt = time.Now()
	}
	a.next++
	a.text.WriteString(t.Text)
	if t.Finish == "" {
		return
	}
	a.finished = true
	if !a.suspect {
		return
	}
	b := a.b
	b.mu.Lock()
	known := b.suspects.Clear(fingerprint(&a.r))
	b.mu.Unlock()
	if known {
		b.facts.Report(time.Now(), member.Fact{Kind: member.SuspectRequest, Name: fingerprint(&a.r), Status: member.Alive})
	}
}

// recover continues the answer after a failure of its engine: on the same
// engine if it is the same process and keeps the stream, else on another
// replica.
func (a *answer) recover(ctx context.Context, cause error) error {
	b := a.b
	if a.recoveries++; a.recoveries > b.set.MaxRecoveries {
		return a.refuse(fault.Wrap(cause, fault.UpstreamInvalid, "the answer broke off %d times", a.recoveries).WithRun(fault.RunYes))
	}
	a.reached = true
	event.StreamBroken.Log("request", a.r.ID, "upstream", a.upstream, "next-token", a.next, "err", cause)
	_ = a.stream.Close()
	ctx, cancel := context.WithDeadline(ctx, a.r.Deadline)
	defer cancel()
	var e *engine.Error
	crashed := false
	if errors.As(cause, &e) && e.Kind == engine.Unreachable {
		crashed = a.checkCrash(ctx, a.upstream, a.address)
	}
	if !crashed {
		if s, err := b.eng.Resume(ctx, a.upstream, a.address, a.r.ID, a.next); err == nil {
			event.StreamResumed.Log("request", a.r.ID, "upstream", a.upstream, "next-token", a.next)
			a.stream = s
			return nil
		}
	}
	a.stream = nil
	if a.resumed {
		return a.refuse(fault.Wrap(cause, fault.UpstreamUnavailable, "the engine lost the answer; send the request again").WithRun(fault.RunYes))
	}
	a.left(a.upstream, false)
	if !crashed {
		b.mu.Lock()
		b.models.MarkFailed(a.upstream)
		b.mu.Unlock()
	}
	if err := a.open(ctx); err != nil {
		return err
	}
	event.StreamResumed.Log("request", a.r.ID, "upstream", a.upstream, "next-token", a.next)
	return nil
}

// checkCrash asks whether the engine is still the process that the request
// was sent to. If not, the request becomes a suspect, and the peers hear of
// it.
func (a *answer) checkCrash(ctx context.Context, upstream, address string) bool {
	c, cancel := context.WithTimeout(ctx, crashReportTimeout)
	r, err := a.b.eng.Report(c, address)
	for range crashReports - 1 {
		// A process that is dying breaks connections before it stops
		// listening, so a broken report says nothing yet.
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) || c.Err() != nil {
			break
		}
		pause.For(c, crashReportPause)
		r, err = a.b.eng.Report(c, address)
	}
	cancel()
	now := time.Now()
	// An engine that can't be reached may only be cut off. It has crashed if
	// nothing listens on its address or another process does.
	crashed := errors.Is(err, syscall.ECONNREFUSED) || err == nil && a.incarnation != "" && incarnation(r) != a.incarnation
	if !crashed {
		return false
	}
	b, fp := a.b, fingerprint(&a.r)
	// The peers may know of the next process already.
	current := b.incarnation(upstream) == a.incarnation
	b.mu.Lock()
	if current {
		b.models.SetHealth(upstream, route.Down)
	}
	if a.resumed {
		b.mu.Unlock()
		return true
	}
	entry := b.suspects.Observe(fp, poison.Crash{ID: upstream + "/" + a.incarnation, At: now, Progress: a.next > a.r.DeliveredTokens})
	v, _ := b.suspects.Judge(now, fp)
	b.mu.Unlock()
	f := member.Fact{Kind: member.SuspectRequest, Name: fp, Status: member.Suspect}
	for _, cr := range entry.Crashes {
		f.Crashes = append(f.Crashes, member.Crash{ID: cr.ID, AtMS: cr.At.UnixMilli(), Progress: cr.Progress})
	}
	b.facts.Report(now, f)
	event.RequestSuspected.Log("request", a.r.ID, "fingerprint", fp, "upstream", upstream, "crashes", len(entry.Crashes))
	if v == poison.Quarantined {
		event.RequestQuarantined.Log("request", a.r.ID, "fingerprint", fp, "crashes", len(entry.Crashes))
	}
	return true
}
