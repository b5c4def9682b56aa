package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestReadsInContactAtLargestFleets guards against a log that all daemons read although
// they are in contact with the holder, because its answers come so seldom, or state such
// ages, that their views are older than 0.6 of a deadline of 2 s (288 calls a second of
// 300 daemons); and against a configuration too old to tell which keys are unknown.
func TestReadsInContactAtLargestFleets(t *testing.T) {
	// The holder makes 6.4 calls a second.
	const fewCalls = 6.6
	// It makes some more where it can't tell the others as often, or where keys are
	// proven: it reads each of two topics each minHolderInterval at most, renews its
	// lease and looks for histories that others have stored. Of each kind, a call more
	// may fall into the time over which they are counted.
	const kinds = 4
	manyCalls := 2*perSecond(minHolderInterval) + perSecond(renewInterval) + perSecond(historiesInterval) + kinds*perSecond(modelRun)
	for _, keys := range []bool{false, true} {
		for _, n := range []int{4, 50, 100, 175, 250, 300, 320} {
			t.Run(fmt.Sprintf("%d daemons, keys %t", n, keys), func(t *testing.T) {
				runFleet(t, 4, modelDeadline, 1, func(t *testing.T, fl *modelFleet) {
					limit := float64(fewCalls)
					if n > 200 || keys {
						limit = manyCalls
					}
					if keys {
						fl.configureKeys()
					}
					calls, oldest := fl.playContact(t, n)
					t.Logf("%.1f calls a second, oldest configuration %v", calls, oldest)
					must.LessEq(t, limit, calls)
					if keys {
						must.LessEq(t, time.Duration(maxAgeShare*float64(modelDeadline)), oldest)
					}
				})
			})
		}
	}
}

// historiesInterval is the interval at which the holder looks for stored histories
// (node/qlog).
const historiesInterval = 5 * time.Second

// perSecond returns the number of intervals in a second.
func perSecond(interval time.Duration) float64 { return float64(time.Second) / float64(interval) }

// playContact plays daemons of a number that are in contact, checks that none but the
// holder calls the log, and returns the calls a second and the highest age to which the
// configuration was proven.
func (fl *modelFleet) playContact(t *testing.T, n int) (calls float64, oldest time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { fl.tellForOthers(ctx, n, 0) })
	time.Sleep(settleDuration)
	holder, before := fl.holder(), map[*modelDaemon]int64{}
	for _, d := range fl.daemons {
		before[d] = d.logCalls.Load()
	}
	tasks.Go(func() {
		for pause.For(ctx, 10*time.Millisecond) {
			for _, d := range fl.daemons {
				oldest = max(oldest, d.topics.freshness().Age)
			}
		}
	})
	calls = fl.idle()
	cancel()
	tasks.Wait()
	for _, d := range fl.daemons {
		if d != holder {
			must.Eq(t, before[d], d.logCalls.Load(), must.Sprint("calls of a daemon in contact"))
		}
	}
	return calls, oldest
}

// configureKeys publishes a configuration with an account.
func (fl *modelFleet) configureKeys() {
	fl.mu.Lock()
	fl.version++
	cfg := fleet.Config{Version: fl.version, Services: map[string]fleet.Service{"s": {Name: "s", MaxConnections: 10}}, Accounts: []fleet.Account{{Name: "a"}}}
	fl.mu.Unlock()
	fl.log.put(modelConfig, "config", cfg)
}

// TestAgeOfHeldReply guards against a reply that counts as older than it is because the
// holder, or the log in the holder's reads, has held it, and against one that counts as
// younger because a machine was suspended meanwhile.
func TestAgeOfHeldReply(t *testing.T) {
	v := newTestView()
	v.configRead(at(90), 5, 5)
	v.boot = at(100)
	v.AskBegins()
	r := reply(10, 5, 700*time.Millisecond)
	r.Held, r.Config.EndAge = 300*time.Millisecond, 200*time.Millisecond
	v.Apply(at(100), r)
	register, config := v.currentAt()
	must.Eq(t, at(100.3).Add(-700*time.Millisecond), register)
	must.Eq(t, at(100.1), config)
	must.Eq(t, 400*time.Millisecond, v.freshness().Age)
	// A holder of an earlier version states neither.
	v = newTestView()
	v.configRead(at(90), 5, 5)
	v.Apply(at(100), reply(10, 5, 700*time.Millisecond))
	_, config = v.currentAt()
	must.Eq(t, at(99.3), config)

	v = newTestView()
	v.holder, v.boot = true, at(100)
	v.configDelay(at(100))
	v.boot = at(100.5)
	v.configRead(at(100.5), 5, 5) // the log held the read for its whole wait
	state := v.Config(at(100.6))
	must.Eq(t, 500*time.Millisecond, state.Age)
	must.Eq(t, 100*time.Millisecond, state.EndAge)
	v.boot = at(104.6)
	must.Eq(t, 4100*time.Millisecond, v.Config(at(100.6)).EndAge)
}
