package faults

import (
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/check/mixed"
	"github.com/azurespan/azurespan/internal/check/verify"
)

func daemonScenarios() []Scenario {
	return []Scenario{
		{
			Name: "kill-daemon-streams", Covers: "I3 I4 I6, daemon dies", Requires: "all requests, some only after a resume",
			Run: killDuringStreams,
		},
		{
			Name: "kill-daemon-load", Covers: "I1 I2 I3, process dies during a load", Requires: "all requests; the cold model within 10 s",
			Run: killDuringLoad, Setup: Setup{StoreBytesPerSecond: 10e9},
		},
		{
			Name: "pause-owner-checked", Covers: "I1 I2 I6, paused daemon, engines that check fencing", Requires: "all requests of the load; cold models after the takeover",
			Run: pauseOwner, Setup: Setup{StoreBytesPerSecond: 10e9, Fencing: fencingChecked},
		},
		{
			Name: "pause-owner-unchecked", Covers: "I1 I2 I6, paused daemon, engines that ignore fencing", Requires: "all requests of the load",
			Run: pauseOwner, Setup: Setup{StoreBytesPerSecond: 10e9, Fencing: fencingIgnored},
		},
		{
			Name: "sigterm-one-by-one", Covers: "I3 I4 I8, planned stops", Requires: "all requests; no stream is cut",
			Run: terminateOneByOne,
		},
		{
			Name: "burst", Covers: "I1 I3, burst of first requests", Requires: "all requests, with one load",
			Run: burst, Setup: Setup{StoreBytesPerSecond: 20e9},
		},
	}
}

// killAfterTokens is the number of tokens of the observed stream after which its
// daemon is killed.
const killAfterTokens = 20

func killDuringStreams(env *Env) error {
	env.underLoad(env.backgroundLoad(12), 0.98, func() {
		env.sleep(500 * time.Millisecond)
		var once sync.Once
		p := chatPlan(env.node(1), threeReplicaModel, "a long story")
		p.Tokens, p.Attempts = 200, 6
		p.OnEvent = func(n int) {
			if n == killAfterTokens {
				once.Do(func() { env.kill(env.node(1)) })
			}
		}
		got := env.send(p)
		env.expect(got.Answered, "the stream through the killed daemon was not completed: %s", got.Refusal)
		env.sleep(time.Second)
		env.kill(env.node(3))
		env.sleep(3 * time.Second)
	})
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

func killDuringLoad(env *Env) error {
	env.underLoad(env.backgroundLoad(6), 0.98, func() {
		var wg sync.WaitGroup
		// Requests at each of the other daemons wait for loads that the killed
		// daemon may coordinate or order.
		for i := range 8 {
			p := chatPlan(env.node(2+i%(defaultDaemons-1)), coldModel(1+i/2), "first question")
			p.Attempts, p.Deadline = 4, 8*time.Second
			wg.Go(func() {
				got := env.driver.Do(env.ctx, env.newRand(uint64(coldLoadSequence+i)), p)
				env.expect(got.Answered, "%s was not served: %s", p.Model, got.Refusal)
			})
		}
		env.sleep(700 * time.Millisecond)
		env.kill(env.node(1))
		wg.Wait()
	})
	return nil
}

// pauseOwner pauses the only daemon of the failure domain east, which owns the
// engines there, while it has load orders in flight. It continues the daemon
// after others have taken over the engines and loaded models on them.
func pauseOwner(env *Env) error {
	env.underLoad(env.backgroundLoad(8), 0.95, func() {
		env.sleep(300 * time.Millisecond)
		var wg sync.WaitGroup
		ask := func(n, from, to int) {
			for m := from; m <= to; m++ {
				p := chatPlan(env.node(n), coldModel(m), "asked around the pause")
				p.Deadline = 3500 * time.Millisecond
				wg.Go(func() { env.driver.Do(env.ctx, env.newRand(uint64(sequencesPerDaemon*n+m)), p) })
			}
		}
		ask(2, 1, 4)
		env.sleep(600 * time.Millisecond)
		resume := env.pause(env.node(2))
		env.sleep(2800 * time.Millisecond)
		ask(3, 3, 7)
		ask(1, 5, coldModels)
		env.sleep(1200 * time.Millisecond)
		resume()
		ask(2, 1, 3)
		wg.Wait()
	})
	env.expect(env.ownershipMoved("east"), "no other daemon took over an engine of the paused owner")
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

func terminateOneByOne(env *Env) error {
	env.underLoad(env.backgroundLoad(12), 1, func() {
		env.sleep(500 * time.Millisecond)
		for n := defaultDaemons; n > 1; n-- {
			env.terminate(env.node(n))
			env.sleep(700 * time.Millisecond)
		}
	})
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

// burstRequests is the number of concurrent first requests for one model.
const burstRequests = 40

func burst(env *Env) error {
	var wg sync.WaitGroup
	for i := range burstRequests {
		p := mixed.Plan{Kind: verify.Stream, Model: coldModel(1), Prompt: "burst", Tokens: 16, FirstDaemon: env.node(1 + i%defaultDaemons).Proc, Attempts: 3}
		wg.Go(func() {
			got := env.driver.Do(env.ctx, env.newRand(uint64(i)), p)
			env.expect(got.Answered, "request %d of the burst was not answered: %s", i, got.Refusal)
		})
	}
	wg.Wait()
	env.noteFault("burst of %d at %d daemons", burstRequests, defaultDaemons)
	n := env.loadCount(coldModel(1))
	env.expect(n == 1, "%d loads for the burst instead of 1", n)
	return nil
}
