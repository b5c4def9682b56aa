package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/rule/admit"
)

type (
	// Capacity is what serves a model at one time.
	Capacity struct {
		// Sequences over all usable replicas, and those that are free.
		Sequences, Free int
		// Loaded is false if no usable replica is known.
		Loaded bool
	}

	// Request is what a Gate needs to know of a request.
	Request struct {
		// Model and version together.
		Model    string
		Class    declare.Class
		Deadline time.Time
	}

	// Gate is the queue of one daemon. It is safe for concurrent use.
	Gate struct {
		probe func(now time.Time, model string) Capacity

		mu      sync.Mutex
		queue   *admit.Queue
		rng     *rand.Rand
		next    uint64
		waiters map[uint64]chan error
		// granted counts requests that were let through and have not been
		// sent yet, which the replicas' load does not show.
		granted map[string]int
		// filled wakes Run after a request began to wait.
		filled chan struct{}
	}
)

// tick is the interval at which waiting requests are looked at again, since
// the reports of engines change without a call.
const tick = 20 * time.Millisecond

// New returns a Gate. probe returns the capacity for a model; it must not call
// the Gate.
func New(s admit.Settings, rng *rand.Rand, probe func(now time.Time, model string) Capacity) *Gate {
	return &Gate{
		probe: probe, queue: admit.New(s), rng: rng,
		waiters: map[uint64]chan error{}, granted: map[string]int{}, filled: make(chan struct{}, 1),
	}
}

// Enter waits until the request may be sent. The caller calls sent once it has
// been sent or given up. It fails with a *fault.Fault for a request that can't
// be served in time; the request was not run.
func (g *Gate) Enter(ctx context.Context, now time.Time, r Request) (sent func(), err error) {
	c := g.probe(now, r.Model)
	g.mu.Lock()
	urgent, background := g.queue.Waiting(r.Model)
	if !c.Loaded || urgent+background == 0 && c.Free-g.granted[r.Model] > 0 {
		defer g.mu.Unlock()
		return g.grant(r.Model), nil
	}
	g.next++
	id := g.next
	dec := g.queue.Offer(now, g.rng, admit.Request{ID: id, Model: r.Model, Class: r.Class, Deadline: r.Deadline},
		admit.Capacity{Sequences: c.Sequences, Free: c.Free})
	if d, ok := dec.(admit.Refused); ok {
		g.mu.Unlock()
		return nil, refusal(d)
	}
	ready := make(chan error, 1)
	g.waiters[id] = ready
	g.mu.Unlock()
	select {
	case g.filled <- struct{}{}:
	default:
	}
	select {
	case err := <-ready:
		if err != nil {
			return nil, err
		}
		return g.release(r.Model), nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(id) {
		delete(g.waiters, id)
		return nil, expired()
	}
	// It was let through or refused in the same instant.
	if err := <-ready; err != nil {
		return nil, err
	}
	return g.release(r.Model), nil
}

// grant counts a request as let through; g.mu is held.
func (g *Gate) grant(model string) func() {
	g.granted[model]++
	return g.release(model)
}

// release returns a function that ends the count of one grant.
func (g *Gate) release(model string) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.granted[model]--; g.granted[model] <= 0 {
				delete(g.granted, model)
			}
		})
	}
}

// Done records that a request for the model has ended after running for the
// given time, and lets the next ones through.
func (g *Gate) Done(now time.Time, model string, service time.Duration) {
	g.mu.Lock()
	if service > 0 {
		g.queue.ObserveServiceTime(model, service)
	}
	g.mu.Unlock()
	g.pump(now, model)
}

// Waiting returns the number of requests that wait for the model.
func (g *Gate) Waiting(model string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, b := g.queue.Waiting(model)
	return u + b
}

// pump lets waiting requests through while there are free sequences. Without
// any usable replica they all pass, to wait for a wake.
func (g *Gate) pump(now time.Time, model string) {
	c := g.probe(now, model)
	g.mu.Lock()
	defer g.mu.Unlock()
	for !c.Loaded || c.Free > g.granted[model] {
		it, ok := g.queue.Next(now, model)
		if !ok {
			return
		}
		g.granted[model]++
		g.waiters[it.ID] <- nil
		delete(g.waiters, it.ID)
	}
}

// Run refuses what has waited too long and looks at the capacity again, until
// ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.filled:
		}
		for g.step(time.Now()) {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			}
		}
	}
}

// step reports whether requests were waiting.
func (g *Gate) step(now time.Time) bool {
	g.mu.Lock()
	models := g.queue.Models(nil)
	for _, it := range g.queue.Expire(now, nil) {
		g.waiters[it.ID] <- expired()
		delete(g.waiters, it.ID)
	}
	g.mu.Unlock()
	for _, m := range models {
		g.pump(now, m)
	}
	return len(models) > 0
}

func expired() *fault.Fault {
	return fault.New(fault.DeadlinePassed, "no replica became free before the deadline").WithRetry(time.Second)
}

func refusal(d admit.Refused) *fault.Fault {
	kind := fault.DeadlineUnreachable
	switch d.Reason {
	case admit.QueueFull:
		kind = fault.QueueFull
	case admit.DeadlinePassed:
		kind = fault.DeadlinePassed
	case admit.NoCapacity:
		kind = fault.NoCapacity
	case admit.DeadlineUnreachable, admit.Duplicate:
	}
	return fault.New(kind, "all replicas are busy: %s", d.Reason).WithRetry(d.RetryAfter)
}
