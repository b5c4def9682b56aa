package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/blame"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/internal/node/owner"
	"github.com/azurespan/azurespan/internal/node/waker"
	"github.com/azurespan/azurespan/internal/rule/route"
)

type (
	// silences is the part of a completion that keeps the stream of an engine that
	// is silent until another stream can take its place.
	silences struct {
		// preparing is held while another stream is prepared, so that a request
		// isn't sent to an engine while its former run there is cancelled.
		preparing sync.Mutex

		mu sync.Mutex
		// waiting is set while the completion waits for the engine of its run.
		// Only then may another goroutine read the completion.
		waiting bool
		// ctx is the context of the wait.
		ctx context.Context
		// present is the silence in progress, nil if there is none.
		present *silence
	}

	// silence is a time in which the engine of a run sends nothing.
	silence struct {
		former run
		since  time.Time
		// ctx ends when the completion does, or when the former engine goes on.
		ctx    context.Context
		cancel context.CancelFunc
		// ended is closed when the former engine goes on or fails.
		ended chan struct{}
		// request continues the completion on another engine, and left holds the
		// runs of it that may have begun there without being accepted in time.
		// Only watchSilence uses left.
		request calls.Request
		left    []run

		// goesOn is set once the former engine goes on, and next once another
		// stream has taken its place; silences.mu guards them and mayHaveRun,
		// which is set if another engine may have started the completion.
		goesOn     bool
		next       *run
		mayHaveRun bool
	}
)

// cancelTimeout bounds the call that cancels the run of an engine which isn't needed.
const cancelTimeout = time.Second

// Reasons for which no other stream takes the place of a silent one, besides those of
// a route.Choice and the kinds of faults.
const (
	unknownRequest = "unknown-request"
	quarantined    = "quarantined"
	noRetryToken   = "no-token"
	onlyFormer     = "only-silent"
)

// beginWait allows watchSilence to run while the completion waits for an engine.
func (c *completion) beginWait(ctx context.Context) {
	c.silences.mu.Lock()
	c.silences.waiting, c.silences.ctx = true, ctx
	c.silences.mu.Unlock()
}

// endWait ends a wait, after which the former engine goes on or has failed with err. It
// returns the run that has taken the place of the former one, nil if there is none.
// After a failure it waits for the run in preparation.
func (c *completion) endWait(ctx context.Context, err error) *run {
	s := &c.silences
	goesOn, failed := err == nil, false
	s.mu.Lock()
	s.waiting = false
	w := s.present
	s.present = nil
	if w != nil {
		w.goesOn = goesOn && w.next == nil
		goesOn, failed = w.goesOn, err != nil && w.next == nil
		close(w.ended)
		defer w.cancel()
	}
	s.mu.Unlock()
	if goesOn && w != nil {
		rt := c.router
		rt.mu.Lock()
		rt.models.Continued(w.former.upstream)
		rt.mu.Unlock()
		event.UpstreamContinued.Log("request", c.req.ID, "upstream", w.former.upstream, "silent", time.Since(w.since).String(), "next-token", c.nextIndex)
	}
	if goesOn {
		return nil
	}
	s.preparing.Lock()
	defer s.preparing.Unlock()
	if w == nil {
		return nil
	}
	c.mayHaveRun = c.mayHaveRun || w.mayHaveRun
	if failed && w.next != nil {
		c.recordFormer(ctx, err)
	}
	return w.next
}

// watchSilence looks for another stream while the engine of the former run, which has
// sent nothing since the given time, is silent. It returns once the former engine goes
// on or fails, or another stream has taken its place; then it calls giveUp, which ends
// the wait for the former engine.
func (c *completion) watchSilence(former run, since time.Time, giveUp func()) {
	s := &c.silences
	s.preparing.Lock()
	defer s.preparing.Unlock()
	s.mu.Lock()
	if !s.waiting || s.present != nil || c.run != former {
		s.mu.Unlock()
		return
	}
	w := &silence{former: former, since: since, ended: make(chan struct{}), request: c.req}
	w.ctx, w.cancel = context.WithCancel(s.ctx)
	w.request.DeliveredTokens, w.request.DeliveredText = c.nextIndex, c.text.String()
	s.present = w
	s.mu.Unlock()
	for {
		next, reason := c.prepareNext(w)
		s.mu.Lock()
		goesOn := w.goesOn
		if next != nil && !goesOn {
			w.next = next
			s.mu.Unlock()
			giveUp()
			return
		}
		s.mu.Unlock()
		if next != nil {
			c.discard(next, w)
		} else {
			event.SilenceKept.Log("request", c.req.ID, "upstream", former.upstream, "reason", reason)
		}
		t := time.NewTimer(c.router.settings.SilenceTimeout)
		select {
		case <-w.ended:
			t.Stop()
			c.cancelLeft(w)
			return
		case <-t.C:
		}
	}
}

// cancelLeft cancels what may run on other engines, if the former one goes on.
func (c *completion) cancelLeft(w *silence) {
	c.silences.mu.Lock()
	goesOn := w.goesOn
	c.silences.mu.Unlock()
	if !goesOn {
		return
	}
	for _, k := range w.left {
		c.cancelRun(k)
	}
}

// prepareNext opens the stream again on the engine of the former run, over another
// connection, or else continues the completion on another engine. If there is none, it
// returns the reason.
func (c *completion) prepareNext(w *silence) (next *run, reason string) {
	rt, now := c.router, time.Now()
	rt.mu.Lock()
	rt.models.Silent(now, w.former.upstream, w.since)
	tokens := rt.budget.Available(now)
	rt.mu.Unlock()
	event.UpstreamSilent.Log("request", c.req.ID, "upstream", w.former.upstream, "silent", now.Sub(w.since).String(),
		"next-token", w.request.DeliveredTokens, "opening", w.former.stream == nil, "retry-tokens", tokens)
	if w.former.stream != nil {
		ctx, cancel := context.WithTimeout(w.ctx, rt.settings.SilenceTimeout)
		defer cancel()
		s, err := rt.engines.Resume(ctx, w.former.upstream, w.former.address, c.req.ID, w.request.DeliveredTokens)
		if err == nil {
			again := w.former
			again.stream = s
			return &again, ""
		}
	}
	if c.resumed {
		return nil, unknownRequest
	}
	upstream, reason := c.chooseNext(now, w)
	if upstream == "" {
		return nil, reason
	}
	next, err := c.openNext(w, upstream)
	if err != nil {
		return nil, err.Error()
	}
	return next, ""
}

// chooseNext chooses an engine to continue the completion and takes a token of the
// retry budget. A load is ordered only if the former engine is known to be down.
func (c *completion) chooseNext(now time.Time, w *silence) (upstream, reason string) {
	rt, r := c.router, &w.request
	q := route.Query{Model: r.Model, Version: r.Version, Adapter: r.Adapter, PrefixHash: r.PromptPrefixHash, Exclude: []string{w.former.upstream}}
	if c.suspect {
		q.Exclude = append(q.Exclude, rt.upstreamsWithSuspects()...)
	}
	rt.mu.Lock()
	verdict, _ := rt.suspects.Judge(now, fingerprint(r))
	part, _ := rt.parts.Judge(now, blame.Parts(r.Parts))
	choice := rt.models.Pick(now, rt.rng, &q)
	down := rt.models.Health(w.former.upstream) == route.Down
	allowed := verdict != poison.Quarantined && part == ""
	found := choice.Upstream != "" && (down || choice.Reason != route.OnlyDegraded)
	token := allowed && (found || down) && rt.retryPolicy.TakeToken(now, r.Class, rt.budget)
	rt.mu.Unlock()
	switch {
	case !allowed:
		return "", quarantined
	case !found && !down:
		return "", string(choice.Reason)
	case !token:
		return "", noRetryToken
	case !found:
		up, err := rt.waker.Wake(w.ctx, waker.Request{Model: r.Model, Version: r.Version, Class: r.Class, Deadline: r.Deadline})
		if err != nil {
			return "", string(fault.Of(err).Kind)
		}
		if up == w.former.upstream {
			return "", onlyFormer
		}
		choice = route.Choice{Upstream: up, Reason: "woken", AdapterLoad: r.Adapter != ""}
	}
	event.Routed.Log("request", r.ID, "model", r.Model, "version", r.Version, "adapter", r.Adapter, "upstream", choice.Upstream,
		"account", r.Account, "class", string(r.Class), "reason", string(choice.Reason), "wait", choice.Wait.String(), "free", choice.Free,
		"crosses", choice.CrossDomain, "prefix", choice.PrefixHint, "from-token", r.DeliveredTokens, "replaces", w.former.upstream)
	rt.observer.Decided(time.Now(), r.ID, r.Model, "routed", choice.Upstream, w.former.upstream+" is silent")
	if choice.AdapterLoad && r.Adapter != "" || c.suspect {
		if err := rt.waker.Ensure(w.ctx, c.ensureRequest(choice.Upstream)); err != nil {
			return "", string(fault.Of(err).Kind)
		}
	}
	return choice.Upstream, ""
}

// ensureRequest asks the owner of an upstream to load the request's adapter there, and
// to keep other crash suspects away if the request is one.
func (c *completion) ensureRequest(upstream string) owner.Request {
	r := &c.req
	q := owner.Request{Upstream: upstream, Model: r.Model, Version: r.Version, Adapter: r.Adapter, Class: r.Class, Deadline: r.Deadline}
	if c.suspect {
		q.Suspect = fingerprint(r)
	}
	return q
}

// openNext continues the completion on an engine.
func (c *completion) openNext(w *silence, upstream string) (*run, error) {
	rt := c.router
	next, err := c.start(time.Now(), upstream, &w.request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(w.ctx, rt.settings.SilenceTimeout)
	defer cancel()
	s, err := rt.engines.Open(ctx, upstream, next.address, w.request)
	if err == nil {
		next.stream = s
		return &next, nil
	}
	c.requestEnded(next, false)
	reached := mayHaveRun(err)
	if reached {
		w.left = append(w.left, next)
		c.silences.mu.Lock()
		w.mayHaveRun = true
		c.silences.mu.Unlock()
	}
	switch {
	case w.ctx.Err() != nil:
	case ctx.Err() != nil:
		rt.mu.Lock()
		rt.models.Silent(time.Now(), upstream, next.sentAt)
		rt.mu.Unlock()
	default:
		return nil, c.openFailed(w.ctx, next, err)
	}
	return nil, err
}

// discard closes the stream of a run that isn't needed, because the former engine goes on.
func (c *completion) discard(next *run, w *silence) {
	_ = next.stream.Close() // nothing more is read from it
	if next.sentAt == w.former.sentAt {
		// The same run over another connection.
		return
	}
	c.requestEnded(*next, false)
	w.left = append(w.left, *next)
}

// cancelRun cancels the run of the request on an engine.
func (c *completion) cancelRun(k run) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := c.router.engines.Cancel(ctx, k.address, c.req.ID); err != nil {
		event.CancelFailed.Log("request", c.req.ID, "upstream", k.upstream, "err", err)
	}
}

// recordFormer records a crash of the former engine, which failed with err while
// another run was prepared.
func (c *completion) recordFormer(ctx context.Context, err error) {
	var e *engine.Error
	if errors.As(err, &e) && e.Kind == engine.Unreachable && e.MayHaveRun() && ctx.Err() == nil {
		c.checkCrash(ctx, c.run, c.nextIndex > c.req.DeliveredTokens, c.answeredAt)
	}
}

// adopt goes on with another run, or with the same one over another connection.
func (c *completion) adopt(next *run) {
	former := c.run
	if former.stream != nil {
		_ = former.stream.Close() // it has been given up
	}
	if next.sentAt != former.sentAt {
		c.requestEnded(former, false)
		c.known, c.answeredAt, c.cleared = nil, time.Time{}, false
	} else {
		c.router.mu.Lock()
		c.router.models.Continued(former.upstream)
		c.router.mu.Unlock()
	}
	c.mayHaveRun = true
	c.receive(*next)
	event.StreamResumed.Log("request", c.req.ID, "upstream", c.upstream, "next-token", c.nextIndex, "replaces", former.upstream)
}

// receive makes k, whose stream is open, the run of the completion.
func (c *completion) receive(k run) {
	c.run = k
	k.stream.OnSilence(c.router.settings.SilenceTimeout, func(since time.Time) { c.watchSilence(k, since, k.stream.GiveUp) })
}
