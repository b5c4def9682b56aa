package relay

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// TestFewerDaemons guards against retry budgets that grow in a network partition
// while the daemons on the other side still use theirs.
func TestFewerDaemons(t *testing.T) {
	f := newFixture(t, route(fleet.Safe, 2, false), respondOK)
	now := time.Now()
	report := func(after time.Duration, n int) {
		f.relay.ApplyWatchReply(now.Add(after), &hub.WatchReply{Running: map[string]int{}, Daemons: n})
	}
	report(0, 4)
	must.Eq(t, 4, f.relay.daemons)
	report(time.Second, 2)
	must.Eq(t, 4, f.relay.daemons)
	report(2*time.Second, 6)
	must.Eq(t, 6, f.relay.daemons)
	report(3*time.Second, 2)
	report(2*time.Second+shrinkDelay, 2)
	must.Eq(t, 2, f.relay.daemons)
}

// TestBudgetOverRestarts guards against retries beyond the budget that all daemons
// share, because restarted daemons begin with a budget of their own: all daemons
// retry as much as they can, are restarted together, and learn only some time later
// how many they are.
func TestBudgetOverRestarts(t *testing.T) {
	const (
		step         = 100 * time.Millisecond
		requests     = 2 // of a daemon in each step
		restartAfter = 4 * time.Second
		knownAfter   = 500 * time.Millisecond
	)
	set := Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second}
	for _, c := range []struct {
		daemons int
		slack   float64
	}{{4, 52}, {33, 210}, {320, 1600}} {
		set.RetrySlack = c.slack
		start := time.Unix(1000, 0)
		now := start
		metrics := metric.New(nil)
		relays := make([]*Relay, c.daemons)
		restart := func() {
			for i := range relays {
				relays[i] = New(set, testCodec{}, nil, nil, nil, newTestOrigins(), metrics, nil, func() time.Time { return now })
			}
		}
		restart()
		sent, retried, restartedAt := 0, 0, start
		for ; now.Sub(start) < set.RetryWindow; now = now.Add(step) {
			if now.Sub(start) == restartAfter {
				restart()
				restartedAt = now
			}
			for _, r := range relays {
				if now.Sub(restartedAt) >= knownAfter {
					r.setDaemons(now, c.daemons)
				}
				for range requests {
					r.budget(now, "s").AddRequest()
					sent++
				}
				for r.takeRetryToken(now, "s") {
					retried++
				}
			}
		}
		limit := set.RetryRatio*float64(sent) + c.slack
		must.LessEq(t, limit, float64(retried), must.Sprint(c.daemons))
		// The budget isn't left unused either.
		must.GreaterEq(t, limit/2, float64(retried), must.Sprint(c.daemons))
	}
}

// TestRetryBudget guards against retries beyond this daemon's part of the retry
// budget when all upstreams are overloaded and reject requests.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, route(fleet.Safe, 2, false), respondNotRun, respondNotRun, respondNotRun, respondNotRun)
	f.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{Running: map[string]int{}, Daemons: 10})
	var wg sync.WaitGroup
	const n = 60
	for i := range n {
		wg.Go(func() { f.send(http.MethodGet, fmt.Sprint(i), "") })
	}
	wg.Wait()
	total := 0
	for i := range f.requests {
		total += f.requestCount(i)
	}
	// The retry ratio of 0.2 and a tenth of the slack of 100.
	must.LessEq(t, n+n/5+10, total)
	must.Greater(t, n, total)
}
