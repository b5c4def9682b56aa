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
	// Driver sends requests and records what the callers saw. It is safe for
	// concurrent use.
	Driver struct {
		caller *fleet.Caller
		// daemons returns those that callers know of now.
		daemons func() []*fleet.Proc

		mu       sync.Mutex
		requests []verify.Request
		count    Count
	}

	// Count sums up the requests. A request that is sent again counts once.
	Count struct {
		Requests, Answered, Resumed int
		// Refused counts refusals by kind, one for each attempt.
		Refused map[string]int
	}

	// Plan is one request with its repetitions.
	Plan struct {
		Kind  verify.Kind
		Model string
		// Service is the plain service of a call.
		Service string
		// Prompt is that of a chat or the body of a call.
		Prompt string
		Tokens int
		// First is the daemon of the first attempt, nil for a random one.
		First    *fleet.Proc
		Deadline time.Duration
		Class    string
		// Attempts bounds the sends; default 1.
		Attempts int
		// Lookup sends a call without a key.
		Lookup bool
		// Again sends an answered call once more through another daemon.
		Again bool
		// OnEvent is called after each event of the first stream.
		OnEvent func(int)
	}

	// Result is the end of a Plan.
	Result struct {
		Answered bool
		// Refusal and Run are those of the last attempt.
		Refusal, Run string
		Text         string
		Key          string
	}
)

// Deadline is that of requests whose Plan has none.
const Deadline = 6 * time.Second

// pause between the attempts of one request.
const pause = 150 * time.Millisecond

// New returns a Driver.
func New(daemons func() []*fleet.Proc) *Driver {
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}
	return &Driver{caller: &fleet.Caller{HTTP: &http.Client{Transport: t}}, daemons: daemons, count: Count{Refused: map[string]int{}}}
}

// Requests returns what the callers saw so far.
func (d *Driver) Requests() []verify.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]verify.Request(nil), d.requests...)
}

// Count returns the sums so far.
func (d *Driver) Count() Count {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// Do sends a request until it is answered or its attempts are used up.
func (d *Driver) Do(ctx context.Context, rng *rand.Rand, p Plan) Result {
	if p.Deadline == 0 {
		p.Deadline = Deadline
	}
	var key string
	if p.Kind == verify.Call && !p.Lookup {
		key = newKey(rng)
	}
	r := Result{Key: key}
	at := p.First
	for n := 0; n < max(p.Attempts, 1) && ctx.Err() == nil; n++ {
		if n > 0 {
			wait(ctx, pause)
			at = nil
		}
		if at == nil {
			at = d.pick(rng, nil)
		}
		if at == nil {
			continue
		}
		r = d.once(ctx, rng, at, &p, key)
		if r.Answered || final(r.Refusal) {
			break
		}
	}
	d.mu.Lock()
	d.count.Requests++
	if r.Answered {
		d.count.Answered++
	}
	d.mu.Unlock()
	if r.Answered && p.Again {
		if other := d.pick(rng, at); other != nil {
			d.once(ctx, rng, other, &p, key)
		}
	}
	return r
}

// final reports whether sending the same request again can't help.
func final(refusal string) bool {
	return refusal == "request-quarantined" || refusal == "outcome-unknown" || refusal == "bad-request"
}

// newKey returns a ULID of the present time with random bits from rng.
func newKey(rng *rand.Rand) string {
	return ulid.MustNew(ulid.Now(), reader{rng}).String()
}

type reader struct{ rng *rand.Rand }

func (r reader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.rng.Uint32())
	}
	return len(b), nil
}

// pick returns a daemon other than not, if there is one.
func (d *Driver) pick(rng *rand.Rand, not *fleet.Proc) *fleet.Proc {
	all := d.daemons()
	if len(all) == 0 {
		return nil
	}
	p := all[rng.IntN(len(all))]
	for range 8 {
		if p != not {
			break
		}
		p = all[rng.IntN(len(all))]
	}
	return p
}

// once sends a request through one daemon and resumes a broken stream through
// others.
func (d *Driver) once(ctx context.Context, rng *rand.Rand, at *fleet.Proc, p *Plan, key string) Result {
	r := verify.Request{Kind: p.Kind, Model: p.Model, Key: key}
	q := fleet.Chat{Model: p.Model, Prompt: p.Prompt, MaxTokens: p.Tokens, Class: p.Class, Deadline: p.Deadline}
	switch p.Kind {
	case verify.Call:
		d.call(ctx, at, p, &r)
	case verify.NonStreaming:
		r.Body = q.Body(false)
		var a fleet.ChatResponse
		d.exchange(ctx, at, p.Deadline, &r, func(ctx context.Context) *fleet.ChatResponse {
			a = d.caller.Whole(ctx, at, q)
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
		d.count.Refused[r.Refusal]++
	}
	if r.Done && len(r.Exchanges) > 1 {
		d.count.Resumed++
	}
	return Result{Answered: r.Done, Refusal: r.Refusal, Run: r.Run, Text: r.Text, Key: key}
}

// resumes bounds how often one broken stream is resumed.
const resumes = 4

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
	for n := 0; n < resumes && !a.Done && a.LastID != "" && ctx.Err() == nil; n++ {
		other := d.pick(rng, at)
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
			wait(ctx, pause)
		}
	}
}

// exchange makes one HTTP request and notes how it ended.
func (d *Driver) exchange(ctx context.Context, at *fleet.Proc, deadline time.Duration, r *verify.Request, send func(context.Context) *fleet.ChatResponse) *fleet.ChatResponse {
	c, cancel := context.WithTimeout(ctx, deadline+verify.DeadlineGrace+time.Second)
	defer cancel()
	x := verify.Exchange{Daemon: at.Name, Sent: time.Now(), Deadline: deadline}
	a := send(c)
	x.Ended, x.Status = time.Now(), a.Status
	r.Text, r.Tokens, r.Done = a.Text, a.Tokens, a.Done
	if a.RequestID != "" {
		r.ID = a.RequestID
	}
	r.Refusal, r.Run = a.Problem.Kind(), a.Problem.Run
	// A caller that leaves at the end of a scenario ends its request itself.
	x.Complete = a.Done || r.Refusal != "" || ctx.Err() != nil
	if a.Err != nil {
		x.Error = a.Err.Error()
	}
	r.Exchanges = append(r.Exchanges, x)
	return a
}

func (d *Driver) call(ctx context.Context, at *fleet.Proc, p *Plan, r *verify.Request) {
	method, path := http.MethodPost, "/services/"+p.Service+"/bookings"
	body := p.Prompt
	if p.Lookup {
		method, path, body = http.MethodGet, "/services/"+p.Service+"/availability", ""
	}
	c, cancel := context.WithTimeout(ctx, p.Deadline+verify.DeadlineGrace+time.Second)
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

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
