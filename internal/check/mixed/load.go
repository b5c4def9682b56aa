package mixed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/azurespan/azurespan/internal/check/fleet"
	"github.com/azurespan/azurespan/internal/check/verify"
)

type (
	// Driver sends requests and records the outcomes that the callers observed.
	// It is safe for concurrent use.
	Driver struct {
		caller *fleet.Caller
		// daemons returns the daemons that callers currently know of.
		daemons func() []*fleet.Proc

		mu       sync.Mutex
		requests []verify.Request
		totals   Totals
	}

	// Totals counts requests. A request counts once, however many attempts it
	// took.
	Totals struct {
		Requests, Answered, Resumed int
		// Refused counts refused attempts by the kind of refusal.
		Refused map[string]int
	}

	// Plan describes one request and its retries.
	Plan struct {
		Kind  verify.Kind
		Model string
		// Service is the plain service that a call addresses.
		Service string
		// Prompt is the prompt of a chat or the body of a call.
		Prompt string
		// Tokens is the maximum number of tokens of a chat.
		Tokens int
		// FirstDaemon receives the first attempt, a random one if it is nil.
		FirstDaemon *fleet.Proc
		Deadline    time.Duration
		Class       string
		// Attempts is the maximum number of attempts; default 1.
		Attempts int
		// Lookup sends a call as an availability look-up without an idempotency
		// key.
		Lookup bool
		// Repeat sends an answered call once more with the same idempotency key,
		// through another daemon if there is one.
		Repeat bool
		// OnEvent is called after each event of a stream, but not of its
		// resumptions, with the number of tokens so far.
		OnEvent func(int)
	}

	// Result is the outcome of a Plan.
	Result struct {
		Answered bool
		// Refusal and Run are those of the last attempt.
		Refusal, Run string
		Text         string
		// Key is the idempotency key of a call.
		Key string
	}
)

// DefaultDeadline is the deadline of requests whose Plan has none.
const DefaultDeadline = 6 * time.Second

// retryInterval separates the attempts of one request, and the resumptions of one
// stream.
const retryInterval = 150 * time.Millisecond

// Limits for idle connections to a daemon.
const (
	idleConnections = 64
	idleTimeout     = 5 * time.Second
)

// New returns a Driver that sends requests to the daemons that the function
// returns.
func New(daemons func() []*fleet.Proc) *Driver {
	t := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}
	return &Driver{caller: &fleet.Caller{HTTP: &http.Client{Transport: t}}, daemons: daemons, totals: Totals{Refused: map[string]int{}}}
}

// Requests returns the requests so far, as the callers observed them.
func (d *Driver) Requests() []verify.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]verify.Request(nil), d.requests...)
}

// Totals returns the totals so far.
func (d *Driver) Totals() Totals {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.totals
}

// Do sends a request until it is answered, a retry can't help, or its attempts
// are exhausted.
func (d *Driver) Do(ctx context.Context, rng *rand.Rand, p Plan) Result {
	if p.Deadline == 0 {
		p.Deadline = DefaultDeadline
	}
	var key string
	if p.Kind == verify.Call && !p.Lookup {
		key = newKey(rng)
	}
	r := Result{Key: key}
	at := p.FirstDaemon
	for n := 0; n < max(p.Attempts, 1) && ctx.Err() == nil; n++ {
		if n > 0 {
			sleep(ctx, retryInterval)
			at = nil
		}
		if at == nil {
			at = d.pickDaemon(rng, nil)
		}
		if at == nil {
			continue
		}
		r = d.attempt(ctx, rng, at, &p, key)
		if r.Answered || isFinal(r.Refusal) {
			break
		}
	}
	d.mu.Lock()
	d.totals.Requests++
	if r.Answered {
		d.totals.Answered++
	}
	d.mu.Unlock()
	if r.Answered && p.Repeat {
		if other := d.pickDaemon(rng, at); other != nil {
			d.attempt(ctx, rng, other, &p, key)
		}
	}
	return r
}

// isFinal reports whether retrying a request with this refusal can't help.
func isFinal(refusal string) bool {
	return refusal == "request-quarantined" || refusal == "outcome-unknown" || refusal == "bad-request"
}

// newKey returns a ULID with the current time and random bits from rng, for use as
// an idempotency key.
func newKey(rng *rand.Rand) string {
	return ulid.MustNew(ulid.Now(), randReader{rng}).String()
}

// randReader reads random bytes from rng.
type randReader struct{ rng *rand.Rand }

func (r randReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.rng.Uint32())
	}
	return len(b), nil
}

// pickRetries bounds how often pickDaemon replaces an excluded daemon.
const pickRetries = 8

// pickDaemon returns a random daemon, or nil if there is none. It tries to choose
// another one than exclude, but may return exclude.
func (d *Driver) pickDaemon(rng *rand.Rand, exclude *fleet.Proc) *fleet.Proc {
	all := d.daemons()
	if len(all) == 0 {
		return nil
	}
	p := all[rng.IntN(len(all))]
	for range pickRetries {
		if p != exclude {
			break
		}
		p = all[rng.IntN(len(all))]
	}
	return p
}

// attempt sends a request through one daemon and resumes a broken stream through
// others.
func (d *Driver) attempt(ctx context.Context, rng *rand.Rand, at *fleet.Proc, p *Plan, key string) Result {
	r := verify.Request{Kind: p.Kind, Model: p.Model, Key: key}
	q := fleet.Chat{Model: p.Model, Prompt: p.Prompt, MaxTokens: p.Tokens, Class: p.Class, Deadline: p.Deadline}
	switch p.Kind {
	case verify.Call:
		d.call(ctx, at, p, &r)
	case verify.NonStreaming:
		r.Body = q.Body(false)
		var a fleet.ChatResponse
		d.exchange(ctx, at, p.Deadline, &r, func(ctx context.Context) *fleet.ChatResponse {
			a = d.caller.Complete(ctx, at, q)
			return &a
		})
	default:
		r.Body = q.Body(true)
		d.stream(ctx, rng, at, p, q, &r)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, r)
	if r.Refusal != "" {
		d.totals.Refused[r.Refusal]++
	}
	if r.Done && len(r.Exchanges) > 1 {
		d.totals.Resumed++
	}
	return Result{Answered: r.Done, Refusal: r.Refusal, Run: r.Run, Text: r.Text, Key: key}
}

// maxResumes bounds how often one broken stream is resumed.
const maxResumes = 4

// stream sends a streamed chat and resumes it while it is broken.
func (d *Driver) stream(ctx context.Context, rng *rand.Rand, at *fleet.Proc, p *Plan, q fleet.Chat, r *verify.Request) {
	a := d.exchange(ctx, at, p.Deadline, r, func(ctx context.Context) *fleet.ChatResponse {
		a := d.caller.Stream(ctx, at, q, func(n int) bool {
			if p.OnEvent != nil {
				p.OnEvent(n)
			}
			return true
		})
		return &a
	})
	for n := 0; n < maxResumes && !a.Done && a.LastID != "" && ctx.Err() == nil; n++ {
		other := d.pickDaemon(rng, at)
		if other == nil {
			return
		}
		before := *a
		got := d.exchange(ctx, other, fleet.ResumeDeadline, r, func(ctx context.Context) *fleet.ChatResponse {
			b := d.caller.Resume(ctx, other, before)
			return &b
		})
		at, a = other, got
		if a.Problem.Kind() == "unknown-stream" {
			return
		}
		if !a.Done {
			sleep(ctx, retryInterval)
		}
	}
}

// timeoutMargin is how much longer a caller waits than a daemon may take, so that
// the check observes a late response.
const timeoutMargin = time.Second

// exchange sends one HTTP request for a chat and records its outcome in r.
func (d *Driver) exchange(ctx context.Context, at *fleet.Proc, deadline time.Duration, r *verify.Request, send func(context.Context) *fleet.ChatResponse) *fleet.ChatResponse {
	c, cancel := context.WithTimeout(ctx, deadline+verify.DeadlineGrace+timeoutMargin)
	defer cancel()
	x := verify.Exchange{Daemon: at.Name, Sent: time.Now(), Deadline: deadline}
	a := send(c)
	x.Ended, x.Status = time.Now(), a.Status
	r.Text, r.Tokens, r.Done = a.Text, a.Tokens, a.Done
	if a.RequestID != "" {
		r.ID = a.RequestID
	}
	r.Refusal, r.Run = a.Problem.Kind(), a.Problem.Run
	// A request that the caller cancels at the end of a scenario does not count
	// as incomplete.
	x.Complete = a.Done || r.Refusal != "" || ctx.Err() != nil
	if a.Err != nil {
		x.Error = a.Err.Error()
	}
	r.Exchanges = append(r.Exchanges, x)
	return a
}

// call sends one call of a plain service and records its outcome in r.
func (d *Driver) call(ctx context.Context, at *fleet.Proc, p *Plan, r *verify.Request) {
	method, path := http.MethodPost, "/services/"+p.Service+"/bookings"
	body := p.Prompt
	if p.Lookup {
		method, path, body = http.MethodGet, "/services/"+p.Service+"/availability", ""
	}
	c, cancel := context.WithTimeout(ctx, p.Deadline+verify.DeadlineGrace+timeoutMargin)
	defer cancel()
	x := verify.Exchange{Daemon: at.Name, Sent: time.Now(), Deadline: p.Deadline}
	a := d.caller.Call(c, at, method, path, r.Key, body, p.Deadline)
	x.Ended, x.Status = time.Now(), a.Status
	r.ID, r.Refusal, r.Run = a.RequestID, a.Problem.Kind(), a.Problem.Run
	r.Done = a.Err == nil && r.Refusal == "" && a.Status/100 == 2
	if r.Done {
		r.Text = a.Body
	}
	x.Complete = a.Err == nil || ctx.Err() != nil
	if a.Err != nil {
		x.Error = a.Err.Error()
	} else if !r.Done && r.Refusal == "" {
		x.Error = fmt.Sprintf("status %d", a.Status)
	}
	r.Exchanges = append(r.Exchanges, x)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
