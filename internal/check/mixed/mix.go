package mixed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/check/verify"
)

type (
	// Mix is a background load.
	Mix struct {
		Models []string
		// Service is the plain service for bookings and look-ups.
		Service string
		Workers int
		// Attempts bounds the sends of one request; default 12.
		Attempts int
		// Deadline of each attempt; default Deadline.
		Deadline time.Duration
		// Kinds limits the kinds of request; empty for all.
		Kinds []verify.Kind
	}

	// Running is a Mix in progress.
	Running struct {
		stop context.CancelFunc
		wg   sync.WaitGroup
		mu   sync.Mutex
		sent int
		done int
	}
)

// Start sends a Mix until Stop. Each worker has one request at a time.
func (d *Driver) Start(ctx context.Context, seed uint64, m Mix) *Running {
	c, stop := context.WithCancel(ctx)
	r := &Running{stop: stop}
	if m.Attempts == 0 {
		m.Attempts = 12
	}
	if len(m.Kinds) == 0 {
		m.Kinds = []verify.Kind{verify.Stream, verify.Stream, verify.NonStreaming, verify.Call}
	}
	for w := range m.Workers {
		rng := rand.New(rand.NewPCG(seed, uint64(w)))
		r.wg.Go(func() {
			for n := 0; c.Err() == nil; n++ {
				// A request that has begun is brought to its end.
				got := d.Do(ctx, rng, m.plan(rng, w, n))
				r.mu.Lock()
				r.sent++
				if got.Answered {
					r.done++
				}
				r.mu.Unlock()
				wait(c, time.Duration(20+rng.IntN(60))*time.Millisecond)
			}
		})
	}
	return r
}

// Stop ends the load, waits for the requests in progress, and returns how many
// were sent and answered.
func (r *Running) Stop() (sent, answered int) {
	r.stop()
	r.wg.Wait()
	return r.sent, r.done
}

func (m *Mix) plan(rng *rand.Rand, worker, n int) Plan {
	p := Plan{
		Kind: m.Kinds[rng.IntN(len(m.Kinds))], Service: m.Service, Attempts: m.Attempts, Deadline: m.Deadline,
		Model: m.Models[rng.IntN(len(m.Models))], Tokens: 20 + rng.IntN(60),
		Prompt: fmt.Sprintf("worker %d asks question %d", worker, n),
	}
	if p.Kind == verify.Call {
		p.Prompt = fmt.Sprintf(`{"rack":%d,"trays":%d}`, worker, n)
		p.Lookup, p.Again = rng.IntN(3) == 0, rng.IntN(2) == 0
	}
	if rng.IntN(4) == 0 {
		p.Class = "background"
	}
	return p
}
