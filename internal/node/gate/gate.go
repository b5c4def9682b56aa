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
	// Capacity is the capacity for a model at one time.
	Capacity struct {
		// Sequences is the number of concurrent requests of all usable
		// replicas, Free those of them that are free.
		Sequences, Free int
		// Loaded is false if no usable replica is known.
		Loaded bool
	}

	// Request describes a request to a Gate.
	Request struct {
		// Model is the model and its version, as model@version.
		Model    string
		Class    declare.Class
		Priority int
		Deadline time.Time
	}

	// Gate is the admission queue of one daemon. It is safe for concurrent use.
	Gate struct {
		capacityOf func(now time.Time, model string) Capacity

		mu      sync.Mutex
		queue   *admit.Queue
		rng     *rand.Rand
		nextID  uint64
		waiters map[uint64]chan error
		// admitted counts requests that were admitted and have not been sent
		// yet, which the load of the replicas does not include.
		admitted map[string]int
		// enqueued wakes Run after a request was queued.
		enqueued chan struct{}
	}
)

// pollInterval is the interval at which the capacity for queued requests is
// checked, since the reports of engines change it without a call of the Gate.
const pollInterval = 20 * time.Millisecond

// New returns a Gate. capacityOf returns the capacity for a model; it must not
// call the Gate.
func New(s admit.Settings, rng *rand.Rand, capacityOf func(now time.Time, model string) Capacity) *Gate {
	return &Gate{
		capacityOf: capacityOf, queue: admit.New(s), rng: rng,
		waiters: map[uint64]chan error{}, admitted: map[string]int{}, enqueued: make(chan struct{}, 1),
	}
}

// Enter waits until the request may be sent. The caller must call sent once the
// request has been sent or abandoned. It returns a *fault.Fault for a request
// that can't be served in time; the request was not run.
func (g *Gate) Enter(ctx context.Context, now time.Time, r Request) (sent func(), err error) {
	c := g.capacityOf(now, r.Model)
	g.mu.Lock()
	urgent, background := g.queue.Waiting(r.Model)
	if !c.Loaded || urgent+background == 0 && c.Free-g.admitted[r.Model] > 0 {
		defer g.mu.Unlock()
		return g.admit(r.Model), nil
	}
	g.nextID++
	id := g.nextID
	decision := g.queue.Offer(now, g.rng, admit.Request{ID: id, Model: r.Model, Class: r.Class, Priority: r.Priority, Deadline: r.Deadline},
		admit.Capacity{Sequences: c.Sequences, Free: c.Free})
	if d, ok := decision.(admit.Refused); ok {
		g.mu.Unlock()
		return nil, refusalFault(d)
	}
	ready := make(chan error, 1)
	g.waiters[id] = ready
	g.mu.Unlock()
	select {
	case g.enqueued <- struct{}{}:
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
		return nil, deadlineFault()
	}
	// The request was admitted or refused at the same moment.
	if err := <-ready; err != nil {
		return nil, err
	}
	return g.release(r.Model), nil
}

// admit counts a request as admitted. g.mu must be held.
func (g *Gate) admit(model string) func() {
	g.admitted[model]++
	return g.release(model)
}

// release returns a function that uncounts an admitted request.
func (g *Gate) release(model string) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.admitted[model]--; g.admitted[model] <= 0 {
				delete(g.admitted, model)
			}
		})
	}
}

// Done records that a request for the model has ended after running for the
// given time, and admits the next ones. A time of 0 is not recorded.
func (g *Gate) Done(now time.Time, model string, service time.Duration) {
	g.mu.Lock()
	if service > 0 {
		g.queue.ObserveServiceTime(model, service)
	}
	g.mu.Unlock()
	g.admitQueued(now, model)
}

// Waiting returns the number of queued requests for the model.
func (g *Gate) Waiting(model string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	urgent, background := g.queue.Waiting(model)
	return urgent + background
}

// admitQueued admits queued requests while there are free sequences. Without any
// usable replica all are admitted, to wait for a load.
func (g *Gate) admitQueued(now time.Time, model string) {
	c := g.capacityOf(now, model)
	g.mu.Lock()
	defer g.mu.Unlock()
	for !c.Loaded || c.Free > g.admitted[model] {
		it, ok := g.queue.Next(now, model)
		if !ok {
			return
		}
		g.admitted[model]++
		g.waiters[it.ID] <- nil
		delete(g.waiters, it.ID)
	}
}

// Run polls while requests are queued, until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.enqueued:
		}
		for g.poll(time.Now()) {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			}
		}
	}
}

// poll refuses queued requests that are about to miss their deadline and admits
// others if there is capacity. It reports whether requests were queued.
func (g *Gate) poll(now time.Time) bool {
	g.mu.Lock()
	models := g.queue.Models(nil)
	for _, it := range g.queue.Expire(now, nil) {
		g.waiters[it.ID] <- deadlineFault()
		delete(g.waiters, it.ID)
	}
	g.mu.Unlock()
	for _, m := range models {
		g.admitQueued(now, m)
	}
	return len(models) > 0
}

// deadlineFault returns the fault of a request that was queued until its deadline.
func deadlineFault() *fault.Fault {
	return fault.New(fault.DeadlinePassed, "no replica became free before the deadline").WithRetry(time.Second)
}

// refusalFault returns the fault for a request that the queue refused.
func refusalFault(d admit.Refused) *fault.Fault {
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
