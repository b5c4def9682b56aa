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
			Name: "kill-daemon-streams", Covers: "I3 I4 I6, daemon dies", Must: "all requests, some only after a resume",
			Run: killDuringStreams,
		},
		{
			Name: "kill-daemon-load", Covers: "I1 I2 I3, process dies during a load", Must: "all requests; the cold model within 10 s",
			Run: killDuringLoad, Tuning: Tuning{StoreBytesPerSecond: 10e9},
		},
		{
			Name: "pause-owner-checked", Covers: "I1 I2 I6, paused daemon, engines that check fencing", Must: "all requests of the load; cold models after the takeover",
			Run: pauseOwner, Tuning: Tuning{StoreBytesPerSecond: 10e9, Fencing: checked},
		},
		{
			Name: "pause-owner-unchecked", Covers: "I1 I2 I6, paused daemon, engines that ignore fencing", Must: "all requests of the load",
			Run: pauseOwner, Tuning: Tuning{StoreBytesPerSecond: 10e9, Fencing: ignored},
		},
		{
			Name: "sigterm-one-by-one", Covers: "I3 I4 I8, planned stops", Must: "all requests; no stream is cut",
			Run: sigterm,
		},
		{
			Name: "burst", Covers: "I1 I3, burst of first requests", Must: "all requests, with one load",
			Run: burst, Tuning: Tuning{StoreBytesPerSecond: 20e9},
		},
	}
}

func killDuringStreams(w *World) error {
	w.during(w.mix(12), 0.98, func() {
		w.sleep(500 * time.Millisecond)
		var once sync.Once
		p := chat(w.node(1), trio, "a long story")
		p.Tokens, p.Attempts = 200, 6
		p.OnEvent = func(n int) {
			if n == 20 {
				once.Do(func() { w.kill(w.node(1)) })
			}
		}
		got := w.ask(p)
		w.must(got.Answered, "the stream through the killed daemon did not come to its end: %s", got.Refusal)
		w.sleep(time.Second)
		w.kill(w.node(3))
		w.sleep(3 * time.Second)
	})
	w.probe(5*time.Second, solo, trio)
	return nil
}

func killDuringLoad(w *World) error {
	w.during(w.mix(6), 0.98, func() {
		var wg sync.WaitGroup
		// A request at each of the other daemons waits for a load that the
		// killed daemon may coordinate or order.
		for i := range 8 {
			p := chat(w.node(2+i%3), coldName(1+i/2), "first question")
			p.Attempts, p.Deadline = 4, 8*time.Second
			wg.Go(func() {
				got := w.driver.Do(w.ctx, w.rng(uint64(20+i)), p)
				w.must(got.Answered, "%s was not served: %s", p.Model, got.Refusal)
			})
		}
		w.sleep(700 * time.Millisecond)
		w.kill(w.node(1))
		wg.Wait()
	})
	return nil
}

// pauseOwner pauses the only daemon of the failure domain east, which owns its
// engines, while its orders for loads are in flight, until others have taken
// over and loaded models there, and continues it.
func pauseOwner(w *World) error {
	w.during(w.mix(8), 0.95, func() {
		w.sleep(300 * time.Millisecond)
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
		w.sleep(2800 * time.Millisecond)
		ask(3, 3, 7)
		ask(1, 5, cold)
		w.sleep(1200 * time.Millisecond)
		resume()
		ask(2, 1, 3)
		wg.Wait()
	})
	w.must(w.tookOver("east"), "no other daemon took over an engine of the paused owner")
	w.probe(5*time.Second, solo, trio)
	return nil
}

func sigterm(w *World) error {
	w.during(w.mix(12), 1, func() {
		w.sleep(500 * time.Millisecond)
		for n := 4; n > 1; n-- {
			w.terminate(w.node(n))
			w.sleep(700 * time.Millisecond)
		}
	})
	w.probe(5*time.Second, solo, trio)
	return nil
}

func burst(w *World) error {
	var wg sync.WaitGroup
	for i := range 40 {
		p := mixed.Plan{Kind: verify.Stream, Model: coldName(1), Prompt: "burst", Tokens: 16, First: w.node(1 + i%4).Proc, Attempts: 3}
		wg.Go(func() {
			got := w.driver.Do(w.ctx, w.rng(uint64(i)), p)
			w.must(got.Answered, "request %d of the burst was not answered: %s", i, got.Refusal)
		})
	}
	wg.Wait()
	w.induce("burst of 40 at 4 daemons")
	n := w.loads(coldName(1))
	w.must(n == 1, "%d loads for the burst instead of 1", n)
	return nil
}
