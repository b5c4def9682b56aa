package faults

import (
	"sync"
	"time"

	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/platform/platsv"
)

// pairScenarios returns scenarios with two concurrent faults.
func pairScenarios() []Scenario {
	return []Scenario{
		{
			Name: "pair-outage-kill", Covers: "I3 I5 I6, log down and a daemon dies", Requires: "0.9 of the load on loaded models; each daemon after it",
			Run: outageAndKill,
		},
		{
			Name: "pair-pause-crash", Covers: "I1 I2 I4, owner paused and its engine crashes", Requires: "0.95 of the load; each daemon after it",
			Run: pauseAndCrash, Setup: Setup{StoreBytesPerSecond: 10e9, Fencing: fencingIgnored},
		},
		{
			Name: "pair-cut-lost", Covers: "I1 I5 I6, domains cut off and answers of appends lost", Requires: "0.85 of the load; each daemon after it",
			Run: cutAndLost,
		},
		{
			Name: "pair-store-engine", Covers: "I1 I2 I3, weight store slow and an engine dies during a load", Requires: "0.98 of the load on loaded models",
			Run: storeAndEngine, Setup: Setup{StoreBytesPerSecond: 20e9},
		},
		{
			Name: "pair-sigterm-slow", Covers: "I3 I8, planned stop while the log is slow", Requires: "all of the load; no stream is cut",
			Run: sigtermAndSlow,
		},
		{
			Name: "pair-hosts-crash", Covers: "I1 I3 I4, host list missing and engines crash", Requires: "0.98 of the load; each daemon after it",
			Run: hostsAndCrash,
		},
		{
			Name: "pair-publish-kill", Covers: "I9, two operators while daemons die", Requires: "one of two publications in each round; 0.95 of the load",
			Run: publishAndKill,
		},
	}
}

func outageAndKill(env *Env) error {
	env.underLoad(env.backgroundLoad(10), 0.9, func() {
		env.sleep(300 * time.Millisecond)
		env.setPlatformFaults("log outage", func(f *platsv.Faults) { f.LogOutage = true })
		env.sleep(300 * time.Millisecond)
		env.kill(env.node(3))
		env.sleep(3 * time.Second)
		for _, m := range []string{oneReplicaModel, threeReplicaModel} {
			p := chatPlan(env.node(1), m, "log down, one daemon less")
			p.Attempts = 4
			got := env.send(p)
			env.expect(got.Answered, "%s with the log down and one daemon less: %s", m, got.Refusal)
		}
		env.setPlatformFaults("", func(f *platsv.Faults) { f.LogOutage = false })
		env.sleep(2 * time.Second)
	})
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

func pauseAndCrash(env *Env) error {
	env.underLoad(env.backgroundLoad(8), 0.95, func() {
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
		env.crashEngine(engineName("east", 1), 300*time.Millisecond)
		env.sleep(2800 * time.Millisecond)
		ask(3, 4, 8)
		env.crashEngine(engineName("east", 2), 300*time.Millisecond)
		env.sleep(time.Second)
		resume()
		wg.Wait()
	})
	env.expect(env.ownershipMoved("east"), "no other daemon took over an engine of the paused owner")
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

func cutAndLost(env *Env) error {
	env.underLoad(env.backgroundLoad(10), 0.85, func() {
		env.sleep(300 * time.Millisecond)
		env.cutDomains("east", "south")
		for i := range 5 {
			env.setPlatformFaults("answers of 5 appends lost", func(f *platsv.Faults) { f.LoseAppendResponses = 5 })
			p := chatPlan(env.node(1+i%defaultDaemons), coldModel(1+i), "cut off, with lost answers")
			p.Deadline = 3 * time.Second
			env.send(p)
			env.sleep(300 * time.Millisecond)
		}
		env.setPlatformFaults("", func(f *platsv.Faults) { f.LoseAppendResponses = 0 })
		env.net.Heal()
		env.sleep(time.Second)
	})
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

func storeAndEngine(env *Env) error {
	env.underLoad(env.backgroundLoad(8), 0.98, func() {
		env.setPlatformFaults("weight store 4 times slower", func(f *platsv.Faults) { f.StoreSlowdown = 4 })
		var wg sync.WaitGroup
		for m := 1; m <= 5; m++ {
			p := chatPlan(env.node(1+m%defaultDaemons), coldModel(m), "with a slow store")
			p.Deadline, p.Attempts = 5*time.Second, 2
			wg.Go(func() { env.driver.Do(env.ctx, env.newRand(uint64(m)), p) })
		}
		env.sleep(1200 * time.Millisecond)
		for m := 1; m <= 3; m++ {
			if name := env.loadingOn(coldModel(m)); name != "" {
				env.crashEngine(name, 400*time.Millisecond)
			}
		}
		wg.Wait()
		env.setPlatformFaults("", func(f *platsv.Faults) { f.StoreSlowdown = 1 })
	})
	return nil
}

func sigtermAndSlow(env *Env) error {
	env.underLoad(env.backgroundLoad(10), 1, func() {
		env.setPlatformFaults("log slow", func(f *platsv.Faults) { f.LogLatencyMS = 300 })
		env.sleep(500 * time.Millisecond)
		env.terminate(env.node(2))
		env.terminate(env.node(4))
		env.sleep(time.Second)
		env.setPlatformFaults("", func(f *platsv.Faults) { f.LogLatencyMS = 0 })
	})
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

func hostsAndCrash(env *Env) error {
	env.setPlatformFaults("host list missing", func(f *platsv.Faults) { f.HostListUnavailable = true })
	env.underLoad(env.backgroundLoad(8), 0.98, func() {
		env.sleep(500 * time.Millisecond)
		for i := range 3 {
			env.crashEngine(env.lastLoadedOn([]string{oneReplicaModel, threeReplicaModel, twoReplicaModel}[i]), 700*time.Millisecond)
			env.sleep(1200 * time.Millisecond)
		}
	})
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

func publishAndKill(env *Env) error {
	pub := env.newPublisher()
	stop := pub.observe()
	env.underLoad(env.backgroundLoad(6), 0.95, func() {
		for i := range 8 {
			if i == 2 || i == 5 {
				env.kill(env.node(i/2 + 1))
			}
			pub.publishConcurrently()
			env.setEngineFaults(engineName(domains[i%3], 1), "", func(f *engsv.Faults) { f.Mode, f.Times = "cut", 2 })
		}
		env.noteFault("8 pairs of publications, cut streams")
		env.sleep(5 * time.Second)
	})
	stop()
	n := len(env.history.Observations)
	env.expect(n > 0, "no configuration of a daemon was observed")
	return nil
}
