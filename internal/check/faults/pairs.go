package faults

import (
	"sync"
	"time"

	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/platform/platsv"
)

// pairScenarios have two failures at once.
func pairScenarios() []Scenario {
	return []Scenario{
		{
			Name: "pair-outage-kill", Covers: "I3 I5 I6, log down and a daemon dies", Must: "0.9 of the load on loaded models; each daemon after it",
			Run: outageAndKill,
		},
		{
			Name: "pair-pause-crash", Covers: "I1 I2 I4, owner paused and its engine crashes", Must: "0.95 of the load; each daemon after it",
			Run: pauseAndCrash, Tuning: Tuning{StoreBytesPerSecond: 10e9, Fencing: ignored},
		},
		{
			Name: "pair-cut-lost", Covers: "I1 I5 I6, domains cut off and answers of appends lost", Must: "0.85 of the load; each daemon after it",
			Run: cutAndLost,
		},
		{
			Name: "pair-store-engine", Covers: "I1 I2 I3, weight store slow and an engine dies during a load", Must: "0.98 of the load on loaded models",
			Run: storeAndEngine, Tuning: Tuning{StoreBytesPerSecond: 20e9},
		},
		{
			Name: "pair-sigterm-slow", Covers: "I3 I8, planned stop while the log is slow", Must: "all of the load; no stream is cut",
			Run: sigtermAndSlow,
		},
		{
			Name: "pair-hosts-crash", Covers: "I1 I3 I4, host list missing and engines crash", Must: "0.98 of the load; each daemon after it",
			Run: hostsAndCrash,
		},
		{
			Name: "pair-publish-kill", Covers: "I9, two operators while daemons die", Must: "one of two publications in each round; 0.95 of the load",
			Run: publishAndKill,
		},
	}
}

func outageAndKill(w *World) error {
	w.during(w.mix(10), 0.9, func() {
		w.sleep(300 * time.Millisecond)
		w.platformFaults("log outage", func(f *platsv.Faults) { f.LogOutage = true })
		w.sleep(300 * time.Millisecond)
		w.kill(w.node(3))
		w.sleep(3 * time.Second)
		for _, m := range []string{solo, trio} {
			p := chat(w.node(1), m, "log down, one daemon less")
			p.Attempts = 4
			got := w.ask(p)
			w.must(got.Answered, "%s with the log down and one daemon less: %s", m, got.Refusal)
		}
		w.platformFaults("", func(f *platsv.Faults) { f.LogOutage = false })
		w.sleep(2 * time.Second)
	})
	w.probe(5*time.Second, solo, trio)
	return nil
}

func pauseAndCrash(w *World) error {
	w.during(w.mix(8), 0.95, func() {
		var wg sync.WaitGroup
		ask := func(n, from, to int) {
			for m := from; m <= to; m++ {
				p := chat(w.node(n), coldName(m), "asked around the pause")
				p.Deadline = 3500 * time.Millisecond
				wg.Go(func() { w.driver.Do(w.ctx, w.rng(uint64(40*n+m)), p) })
			}
		}
		ask(2, 1, 4)
		w.sleep(600 * time.Millisecond)
		resume := w.pause(w.node(2))
		w.crash(engineName("east", 1), 300*time.Millisecond)
		w.sleep(2800 * time.Millisecond)
		ask(3, 4, 8)
		w.crash(engineName("east", 2), 300*time.Millisecond)
		w.sleep(time.Second)
		resume()
		wg.Wait()
	})
	w.must(w.tookOver("east"), "no other daemon took over an engine of the paused owner")
	w.probe(5*time.Second, solo, trio)
	return nil
}

func cutAndLost(w *World) error {
	w.during(w.mix(10), 0.85, func() {
		w.sleep(300 * time.Millisecond)
		w.cut("east", "south")
		for i := range 5 {
			w.platformFaults("answers of 5 appends lost", func(f *platsv.Faults) { f.LoseAppendResponses = 5 })
			p := chat(w.node(1+i%4), coldName(1+i), "cut off, with lost answers")
			p.Deadline = 3 * time.Second
			w.ask(p)
			w.sleep(300 * time.Millisecond)
		}
		w.platformFaults("", func(f *platsv.Faults) { f.LoseAppendResponses = 0 })
		w.net.Heal()
		w.sleep(time.Second)
	})
	w.probe(5*time.Second, solo, trio)
	return nil
}

func storeAndEngine(w *World) error {
	w.during(w.mix(8), 0.98, func() {
		w.platformFaults("weight store 4 times slower", func(f *platsv.Faults) { f.StoreSlowdown = 4 })
		var wg sync.WaitGroup
		for m := 1; m <= 5; m++ {
			p := chat(w.node(1+m%4), coldName(m), "with a slow store")
			p.Deadline, p.Attempts = 5*time.Second, 2
			wg.Go(func() { w.driver.Do(w.ctx, w.rng(uint64(m)), p) })
		}
		w.sleep(1200 * time.Millisecond)
		for m := 1; m <= 3; m++ {
			if name := w.loading(coldName(m)); name != "" {
				w.crash(name, 400*time.Millisecond)
			}
		}
		wg.Wait()
		w.platformFaults("", func(f *platsv.Faults) { f.StoreSlowdown = 1 })
	})
	return nil
}

func sigtermAndSlow(w *World) error {
	w.during(w.mix(10), 1, func() {
		w.platformFaults("log slow", func(f *platsv.Faults) { f.LogLatencyMS = 300 })
		w.sleep(500 * time.Millisecond)
		w.terminate(w.node(2))
		w.terminate(w.node(4))
		w.sleep(time.Second)
		w.platformFaults("", func(f *platsv.Faults) { f.LogLatencyMS = 0 })
	})
	w.probe(5*time.Second, solo, trio)
	return nil
}

func hostsAndCrash(w *World) error {
	w.platformFaults("host list missing", func(f *platsv.Faults) { f.HostListUnavailable = true })
	w.during(w.mix(8), 0.98, func() {
		w.sleep(500 * time.Millisecond)
		for i := range 3 {
			w.crash(w.lastAt([]string{solo, trio, pair}[i]), 700*time.Millisecond)
			w.sleep(1200 * time.Millisecond)
		}
	})
	w.probe(5*time.Second, solo, trio)
	return nil
}

func publishAndKill(w *World) error {
	o := w.operators()
	stop := o.watch()
	w.during(w.mix(6), 0.95, func() {
		for i := range 8 {
			if i == 2 || i == 5 {
				w.kill(w.node(i/2 + 1))
			}
			o.round()
			w.engineFaults(engineName(domains[i%3], 1), "", func(f *engsv.Faults) { f.Mode, f.Times = "cut", 2 })
		}
		w.induce("8 pairs of publications, cut streams")
		w.sleep(5 * time.Second)
	})
	stop()
	n := len(w.history.Observations)
	w.must(n > 0, "no daemon was asked for its configuration")
	return nil
}
