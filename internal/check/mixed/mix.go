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
	// Workload describes a background load.
	Workload struct {
		Models []string
		// Service is the plain service for bookings and look-ups.
		Service string
		// Workers is the number of requests in progress at the same time.
		Workers int
		// Attempts is the maximum number of attempts for one request; default
		// 12.
		Attempts int
		// Deadline is that of each attempt; default DefaultDeadline.
		Deadline time.Duration
		// Kinds holds the kinds of request, from which each request takes one
		// at random; empty for all, with streams twice as frequent.
		Kinds []verify.Kind
	}

	// ActiveWorkload is a Workload in progress.
	ActiveWorkload struct {
		stop     context.CancelFunc
		wg       sync.WaitGroup
		mu       sync.Mutex
		sent     int
		answered int
	}
)

const (
	// workloadAttempts is the default of Workload.Attempts.
	workloadAttempts = 12

	// A worker pauses between two requests for minPauseMS plus a random time
	// below pauseRangeMS, in milliseconds.
	minPauseMS   = 20
	pauseRangeMS = 60

	// A chat requests minTokens plus a random number below tokenRange of tokens.
	minTokens  = 20
	tokenRange = 60

	// lookupRatio, repeatRatio and backgroundRatio state that one in so many
	// calls is a look-up, one in so many calls is repeated, and one in so many
	// requests has the class background.
	lookupRatio     = 3
	repeatRatio     = 2
	backgroundRatio = 4
)

// Start applies a Workload until Stop. Each worker sends one request at a time.
func (d *Driver) Start(ctx context.Context, seed uint64, m Workload) *ActiveWorkload {
	c, stop := context.WithCancel(ctx)
	r := &ActiveWorkload{stop: stop}
	if m.Attempts == 0 {
		m.Attempts = workloadAttempts
	}
	if len(m.Kinds) == 0 {
		m.Kinds = []verify.Kind{verify.Stream, verify.Stream, verify.NonStreaming, verify.Call}
	}
	for w := range m.Workers {
		rng := rand.New(rand.NewPCG(seed, uint64(w)))
		r.wg.Go(func() {
			for n := 0; c.Err() == nil; n++ {
				// The request runs under ctx, so that Stop does not interrupt it.
				got := d.Do(ctx, rng, m.plan(rng, w, n))
				r.mu.Lock()
				r.sent++
				if got.Answered {
					r.answered++
				}
				r.mu.Unlock()
				sleep(c, time.Duration(minPauseMS+rng.IntN(pauseRangeMS))*time.Millisecond)
			}
		})
	}
	return r
}

// Stop ends the load, waits for the requests in progress, and returns how many
// were sent and answered.
func (r *ActiveWorkload) Stop() (sent, answered int) {
	r.stop()
	r.wg.Wait()
	return r.sent, r.answered
}

// plan returns a random request.
func (m *Workload) plan(rng *rand.Rand, worker, n int) Plan {
	p := Plan{
		Kind: m.Kinds[rng.IntN(len(m.Kinds))], Service: m.Service, Attempts: m.Attempts, Deadline: m.Deadline,
		Model: m.Models[rng.IntN(len(m.Models))], Tokens: minTokens + rng.IntN(tokenRange),
		Prompt: fmt.Sprintf("worker %d asks question %d", worker, n),
	}
	if p.Kind == verify.Call {
		p.Prompt = fmt.Sprintf(`{"rack":%d,"trays":%d}`, worker, n)
		p.Lookup, p.Repeat = rng.IntN(lookupRatio) == 0, rng.IntN(repeatRatio) == 0
	}
	if rng.IntN(backgroundRatio) == 0 {
		p.Class = "background"
	}
	return p
}
