package faults

import (
	"fmt"
	"time"

	"github.com/azurespan/azurespan/internal/check/mixed"
	"github.com/azurespan/azurespan/internal/check/verify"
	"github.com/azurespan/azurespan/standin/platform/platsv"
)

func logScenarios() []Scenario {
	return []Scenario{
		{
			Name: "log-outage", Covers: "I3 I5 I6, log down", Must: "loaded models, look-ups and wakes within grants during the outage, also at a daemon started then; bookings refused, run no",
			Run: logOutage,
		},
		{
			Name: "log-slow", Covers: "I3 I6, log slow", Must: "0.95 of the load and a cold model",
			Run: logSlow,
		},
		{
			Name: "append-answers-lost", Covers: "I1 I6 I9, answers to appends lost", Must: "0.95 of the load and four cold models; one publication accepted",
			Run: answersLost,
		},
		{
			Name: "store-slow", Covers: "I3, weight store slow", Must: "all of the load, on loaded models; cold models are answered or refused in time",
			Run: storeSlow, Tuning: Tuning{StoreBytesPerSecond: 20e9},
		},
		{
			Name: "hosts-missing", Covers: "I1 I3, host list missing", Must: "0.98 of the load; cold models after a daemon died",
			Run: hostsMissing,
		},
	}
}

func booking(n *node, text string) mixed.Plan {
	return mixed.Plan{Kind: verify.Call, Service: desk, Prompt: fmt.Sprintf(`{"for":%q}`, text), First: n.Proc}
}

func lookup(n *node) mixed.Plan {
	return mixed.Plan{Kind: verify.Call, Service: desk, Lookup: true, First: n.Proc}
}

func logOutage(w *World) error {
	p := chat(w.node(1), coldName(1), "before the outage")
	p.Attempts = 5
	got := w.ask(p)
	w.must(got.Answered, "a cold model was not served before the outage: %s", got.Refusal)
	m := w.mix(8)
	m.Kinds = []verify.Kind{verify.Stream, verify.NonStreaming}
	w.during(m, 0.98, func() {
		w.platformFaults("log outage", func(f *platsv.Faults) { f.LogOutage = true })
		w.sleep(1500 * time.Millisecond)
		for n := 1; n <= 4; n++ {
			q := booking(w.node(n), "during the outage")
			q.Deadline = 3 * time.Second
			got := w.ask(q)
			w.must(!got.Answered && got.Refusal == "log-unavailable" && got.Run == "no", "a booking at %s in the outage: answered %v, %s, run %q", w.node(n).Name, got.Answered, got.Refusal, got.Run)
			got = w.ask(lookup(w.node(n)))
			w.must(got.Answered, "a look-up at %s in the outage: %s", w.node(n).Name, got.Refusal)
		}
		// The crash leaves the grants, within which the models can be loaded.
		h := w.lastAt(coldName(1))
		w.crash(h, 500*time.Millisecond)
		p := chat(w.node(1), coldName(1), "wake within a grant")
		p.Attempts = 3
		got := w.ask(p)
		w.must(got.Answered, "no wake within the grant of %s in the outage: %s", h, got.Refusal)
		n, err := w.daemon("entry-5", "south")
		w.must(err == nil, "a daemon did not start in the outage: %v", err)
		if err == nil {
			w.induce("start in outage")
			err = w.ready(n)
			w.must(err == nil, "the daemon started in the outage: %v", err)
			q := chat(n, trio, "at the new daemon")
			q.Attempts = 1
			got = w.ask(q)
			w.must(got.Answered, "the daemon started in the outage does not serve: %s", got.Refusal)
		}
		w.platformFaults("", func(f *platsv.Faults) { f.LogOutage = false })
		w.sleep(time.Second)
	})
	q := booking(w.node(2), "after the outage")
	q.Attempts = 20
	got = w.ask(q)
	w.must(got.Answered, "a booking after the outage: %s", got.Refusal)
	return nil
}

func logSlow(w *World) error {
	w.during(w.mix(10), 0.95, func() {
		w.platformFaults("log slow", func(f *platsv.Faults) { f.LogLatencyMS = 300 })
		w.sleep(time.Second)
		p := chat(w.node(2), coldName(1), "with a slow log")
		p.Attempts = 3
		got := w.ask(p)
		w.must(got.Answered, "a cold model with a slow log: %s", got.Refusal)
		w.sleep(2 * time.Second)
		// Longer than the daemons' time limit for a call of the log.
		w.platformFaults("log slower than its time limit", func(f *platsv.Faults) { f.LogLatencyMS = 1500 })
		w.sleep(2 * time.Second)
		w.platformFaults("", func(f *platsv.Faults) { f.LogLatencyMS = 0 })
	})
	q := booking(w.node(2), "after the slow time")
	q.Attempts = 20
	got := w.ask(q)
	w.must(got.Answered, "a booking after the slow time: %s", got.Refusal)
	return nil
}

func answersLost(w *World) error {
	o := w.operators()
	stop := o.watch()
	w.during(w.mix(12), 0.95, func() {
		for i := range 4 {
			w.platformFaults("answers of 6 appends lost", func(f *platsv.Faults) { f.LoseAppendResponses = 6 })
			p := chat(w.node(1+i%4), coldName(1+i), "with lost answers")
			p.Attempts = 4
			got := w.ask(p)
			w.must(got.Answered, "%s with lost answers: %s", p.Model, got.Refusal)
			w.sleep(400 * time.Millisecond)
		}
		w.platformFaults("answer of a publication lost", func(f *platsv.Faults) { f.LoseAppendResponses = 2 })
		o.round()
		w.platformFaults("", func(f *platsv.Faults) { f.LoseAppendResponses = 0 })
		w.sleep(time.Second)
	})
	stop()
	return nil
}

func storeSlow(w *World) error {
	w.during(w.mix(8), 1, func() {
		w.platformFaults("weight store 10 times slower", func(f *platsv.Faults) { f.StoreSlowdown = 10 })
		for i := 1; i <= 6; i++ {
			p := chat(w.node(1+i%4), coldName(i), "with a slow store")
			p.Deadline = 4 * time.Second
			go w.driver.Do(w.ctx, w.rng(uint64(i)), p)
		}
		w.sleep(6 * time.Second)
		w.platformFaults("", func(f *platsv.Faults) { f.StoreSlowdown = 1 })
	})
	w.probe(6*time.Second, coldName(1))
	return nil
}

func hostsMissing(w *World) error {
	w.platformFaults("host list missing", func(f *platsv.Faults) { f.HostListUnavailable = true })
	w.during(w.mix(8), 0.98, func() {
		w.sleep(300 * time.Millisecond)
		w.kill(w.node(2))
		w.sleep(3 * time.Second)
		for i := 1; i <= 3; i++ {
			p := chat(w.node(3), coldName(i), "after the death")
			p.Attempts = 4
			got := w.ask(p)
			w.must(got.Answered, "%s after a daemon died: %s", p.Model, got.Refusal)
		}
	})
	return nil
}
