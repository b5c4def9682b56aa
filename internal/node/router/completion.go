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
	"github.com/azurespan/azurespan/internal/core/blame"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/internal/rule/route"
)

// completion is the token stream of one chat completion. It hides engine
// failures: its tokens are in order and without gaps, whichever engine produced
// them.
type completion struct {
	router    *Router
	req       calls.Request
	startedAt time.Time
	// markSent tells the queue that the request has been sent or abandoned.
	markSent func()
	// run is the present run.
	run
	silences silences
	firstAt  time.Time
	// answeredAt is the time of the first token of the present attempt, and known
	// holds the crashes of the prompt's parts at that time; cleared is set once
	// the parts have been cleared of them.
	answeredAt time.Time
	known      blame.Known
	cleared    bool
	// nextIndex is the index of the next token, text the tokens delivered so
	// far.
	nextIndex int64
	text      strings.Builder
	// mayHaveRun is set once an engine may have started the completion.
	mayHaveRun bool
	suspect    bool
	finished   bool
	recoveries int
	// callerCtx is the context of the last call of Next, and ctx the same with
	// the request's deadline, kept so that it is not created for every token.
	callerCtx, ctx context.Context
	stop           context.CancelFunc
	// resumed is set for a stream that was resumed by its identifier; this
	// daemon does not have its request.
	resumed bool
}

// run is the run of a request on an engine.
type run struct {
	upstream, address, incarnation string
	sentAt                         time.Time
	// stream is nil until the engine has accepted the request.
	stream *engine.Stream
}

var _ calls.Stream = (*completion)(nil)

// crashReportTimeout bounds the check whether an engine process is still alive.
const crashReportTimeout = time.Second

// A failed report is retried within crashReportTimeout. The delay is longer than
// a process takes to close its listener after it has started to die.
const (
	crashReportAttempts = 5
	crashReportDelay    = 50 * time.Millisecond
)

// Upstream implements calls.Stream.
func (c *completion) Upstream() string { return c.upstream }

// Close releases the stream. The engine continues the completion, so that it can
// be resumed.
func (c *completion) Close() error {
	if c.stop != nil {
		c.stop()
	}
	if c.stream == nil {
		return nil
	}
	err := c.stream.Close()
	c.stream = nil
	if !c.resumed {
		c.requestEnded(c.run, c.finished && !c.firstAt.IsZero())
	}
	return err
}

// withDeadline returns ctx with the request's deadline.
func (c *completion) withDeadline(ctx context.Context) context.Context {
	if c.callerCtx != ctx {
		if c.stop != nil {
			c.stop()
		}
		c.callerCtx = ctx
		c.ctx, c.stop = context.WithDeadline(ctx, c.req.Deadline)
	}
	return c.ctx
}

// Next returns the next token. If the engine fails, it continues the completion
// on another one, and returns a *fault.Fault if that is not possible before the
// deadline, which bounds the whole completion.
func (c *completion) Next(ctx context.Context) (calls.Token, error) {
	if c.finished {
		return calls.Token{}, io.EOF
	}
	ctx = c.withDeadline(ctx)
	for {
		if c.stream == nil {
			return calls.Token{}, c.refuse(fault.New(fault.UpstreamUnavailable, "the answer was interrupted").WithRun(fault.RunYes))
		}
		c.beginWait(ctx)
		t, err := c.stream.Next(ctx)
		if next := c.endWait(ctx, err); next != nil {
			c.adopt(next)
			continue
		}
		if err == nil && t.Index == c.nextIndex {
			c.recordToken(t)
			return t, nil
		}
		if err == nil && t.Index < c.nextIndex {
			continue
		}
		if ctx.Err() != nil {
			return calls.Token{}, c.refuse(deadlinePassed("the answer was produced", fault.RunYes))
		}
		if err := c.recover(ctx, err); err != nil {
			return calls.Token{}, err
		}
	}
}

// recordToken records a delivered token. The last one clears the request of
// suspicion.
func (c *completion) recordToken(t calls.Token) {
	if c.firstAt.IsZero() {
		c.firstAt = time.Now()
	}
	if len(c.req.Parts) > 0 && !c.cleared {
		c.recordAnswer(time.Now(), t.Finish != "")
	}
	c.nextIndex++
	c.text.WriteString(t.Text)
	if t.Finish == "" {
		return
	}
	c.finished = true
	if !c.suspect {
		return
	}
	rt := c.router
	rt.mu.Lock()
	known := rt.suspects.Clear(fingerprint(&c.req))
	rt.mu.Unlock()
	if known {
		rt.facts.Report(time.Now(), member.SuspectFact(rt.suspects.Entry(fingerprint(&c.req))))
	}
}

// recordAnswer clears the parts of the prompt once the engine has answered the
// request, or has been answering it for long enough.
func (c *completion) recordAnswer(now time.Time, finished bool) {
	rt := c.router
	if c.answeredAt.IsZero() {
		c.answeredAt, c.known = now, rt.parts.Known(blame.Parts(c.req.Parts))
	}
	if !finished && now.Sub(c.answeredAt) < blame.AnsweredAfter {
		return
	}
	c.cleared = true
	if rt.parts.Answered(now, blame.Parts(c.req.Parts), c.known) {
		c.reportParts(now)
	}
}

// reportParts reports the crash histories of the prompt's parts to the peers.
func (c *completion) reportParts(now time.Time) {
	for _, p := range c.req.Parts {
		c.router.facts.Report(now, member.SuspectFact(c.router.suspects.Entry(poison.PartKey(p))))
	}
}

// recover continues the completion after a failure of its engine: on the same
// engine if that has not crashed and still has the stream, else on another
// replica.
func (c *completion) recover(ctx context.Context, cause error) error {
	rt := c.router
	if c.recoveries++; c.recoveries > rt.settings.MaxRecoveries {
		return c.refuse(fault.Wrap(cause, fault.UpstreamInvalid, "the answer was interrupted %d times", c.recoveries).WithRun(fault.RunYes))
	}
	c.mayHaveRun = true
	event.StreamBroken.Log("request", c.req.ID, "upstream", c.upstream, "next-token", c.nextIndex, "err", cause)
	_ = c.stream.Close()
	ctx, cancel := context.WithDeadline(ctx, c.req.Deadline)
	defer cancel()
	var e *engine.Error
	crashed := false
	if errors.As(cause, &e) && e.Kind == engine.Unreachable {
		crashed = c.checkCrash(ctx, c.run, c.nextIndex > c.req.DeliveredTokens, c.answeredAt)
	}
	if !crashed && c.reopen(ctx) {
		return nil
	}
	c.stream = nil
	if c.resumed {
		return c.refuse(fault.Wrap(cause, fault.UpstreamUnavailable, "the engine lost the answer; send the request again").WithRun(fault.RunYes))
	}
	c.requestEnded(c.run, false)
	if !crashed {
		rt.mu.Lock()
		rt.models.MarkFailed(time.Now(), c.upstream)
		rt.mu.Unlock()
	}
	if err := c.open(ctx); err != nil {
		return err
	}
	event.StreamResumed.Log("request", c.req.ID, "upstream", c.upstream, "next-token", c.nextIndex)
	return nil
}

// reopen opens the stream again on the engine that had it, and reports whether that
// still has it.
func (c *completion) reopen(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.router.settings.SilenceTimeout)
	defer cancel()
	s, err := c.router.engines.Resume(ctx, c.upstream, c.address, c.req.ID, c.nextIndex)
	if err != nil {
		return false
	}
	event.StreamResumed.Log("request", c.req.ID, "upstream", c.upstream, "next-token", c.nextIndex)
	again := c.run
	again.stream = s
	c.receive(again)
	return true
}

// checkCrash reports whether the engine process to which the request was sent has
// crashed. If so, the request becomes a suspect, and the peers are informed. progress
// is set if the process had produced tokens of it, the first of them at answeredAt.
func (c *completion) checkCrash(ctx context.Context, k run, progress bool, answeredAt time.Time) bool {
	upstream, address := k.upstream, k.address
	reportCtx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	r, err := c.router.engines.Report(reportCtx, address)
	for range crashReportAttempts - 1 {
		// A dying process resets connections before it stops listening, so a
		// failed report is inconclusive.
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) || reportCtx.Err() != nil {
			break
		}
		pause.For(reportCtx, crashReportDelay)
		r, err = c.router.engines.Report(reportCtx, address)
	}
	cancel()
	now := time.Now()
	// An unreachable engine may be on the other side of a network partition. It
	// has crashed if nothing, or another process, listens on its address.
	crashed := errors.Is(err, syscall.ECONNREFUSED) || err == nil && k.incarnation != "" && incarnation(r) != k.incarnation
	if !crashed {
		return false
	}
	rt, fp := c.router, fingerprint(&c.req)
	// The peers may already know the restarted process.
	current := rt.incarnation(upstream) == k.incarnation
	rt.mu.Lock()
	if current {
		rt.models.SetHealth(upstream, route.Down)
	}
	if c.resumed {
		rt.mu.Unlock()
		return true
	}
	crash := poison.Crash{ID: upstream + "/" + c.incarnation, At: now, Progress: progress}
	entry := rt.suspects.Observe(fp, crash)
	verdict, _ := rt.suspects.Judge(now, fp)
	rt.mu.Unlock()
	rt.facts.Report(now, member.SuspectFact(entry))
	answeredFor := time.Duration(0)
	if !answeredAt.IsZero() {
		answeredFor = now.Sub(answeredAt)
	}
	if answeredFor < blame.AnsweredAfter {
		rt.parts.Crashed(blame.Parts(c.req.Parts), crash, answeredFor)
		c.reportParts(now)
	}
	event.RequestSuspected.Log("request", c.req.ID, "fingerprint", fp, "upstream", upstream, "crashes", len(entry.Crashes))
	if verdict == poison.Quarantined {
		event.RequestQuarantined.Log("request", c.req.ID, "fingerprint", fp, "crashes", len(entry.Crashes))
	}
	return true
}
