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
			Name: "log-outage", Covers: "I3 I5 I6, log down", Requires: "loaded models, look-ups and wakes within grants during the outage, also at a daemon started then; bookings refused, run no",
			Run: logOutage,
		},
		{
			Name: "log-slow", Covers: "I3 I6, log slow", Requires: "0.95 of the load and a cold model",
			Run: logSlow,
		},
		{
			Name: "append-answers-lost", Covers: "I1 I6 I9, answers to appends lost", Requires: "0.95 of the load and four cold models; one publication accepted",
			Run: appendAnswersLost,
		},
		{
			Name: "store-slow", Covers: "I3, weight store slow", Requires: "all of the load, on loaded models; cold models are answered or refused in time",
			Run: storeSlow, Setup: Setup{StoreBytesPerSecond: 20e9},
		},
		{
			Name: "hosts-missing", Covers: "I1 I3, host list missing", Requires: "0.98 of the load; cold models after a daemon died",
			Run: hostListMissing,
		},
	}
}

// bookingPlan describes a booking, which is not idempotent, through one daemon.
func bookingPlan(n *node, text string) mixed.Plan {
	return mixed.Plan{Kind: verify.Call, Service: bookingService, Prompt: fmt.Sprintf(`{"for":%q}`, text), FirstDaemon: n.Proc}
}

// lookupPlan describes an idempotent look-up through one daemon.
func lookupPlan(n *node) mixed.Plan {
	return mixed.Plan{Kind: verify.Call, Service: bookingService, Lookup: true, FirstDaemon: n.Proc}
}

func logOutage(env *Env) error {
	p := chatPlan(env.node(1), coldModel(1), "before the outage")
	p.Attempts = 5
	got := env.send(p)
	env.expect(got.Answered, "a cold model was not served before the outage: %s", got.Refusal)
	m := env.backgroundLoad(8)
	m.Kinds = []verify.Kind{verify.Stream, verify.NonStreaming}
	env.underLoad(m, 0.98, func() {
		env.setPlatformFaults("log outage", func(f *platsv.Faults) { f.LogOutage = true })
		env.sleep(1500 * time.Millisecond)
		for n := 1; n <= defaultDaemons; n++ {
			q := bookingPlan(env.node(n), "during the outage")
			q.Deadline = 3 * time.Second
			got := env.send(q)
			env.expect(!got.Answered && got.Refusal == "log-unavailable" && got.Run == "no", "a booking at %s in the outage: answered %v, %s, run %q", env.node(n).Name, got.Answered, got.Refusal, got.Run)
			got = env.send(lookupPlan(env.node(n)))
			env.expect(got.Answered, "a look-up at %s in the outage: %s", env.node(n).Name, got.Refusal)
		}
		// The grants survive the crash, so that the models can be loaded again
		// without the log.
		h := env.lastLoadedOn(coldModel(1))
		env.crashEngine(h, 500*time.Millisecond)
		p := chatPlan(env.node(1), coldModel(1), "wake within a grant")
		p.Attempts = 3
		got := env.send(p)
		env.expect(got.Answered, "the model was not loaded again within the grant of %s in the outage: %s", h, got.Refusal)
		n, err := env.startDaemon("entry-5", "south")
		env.expect(err == nil, "a daemon did not start in the outage: %v", err)
		if err == nil {
			env.noteFault("start in outage")
			err = env.awaitReady(n)
			env.expect(err == nil, "the daemon started in the outage: %v", err)
			q := chatPlan(n, threeReplicaModel, "at the new daemon")
			q.Attempts = 1
			got = env.send(q)
			env.expect(got.Answered, "the daemon started in the outage does not serve: %s", got.Refusal)
		}
		env.setPlatformFaults("", func(f *platsv.Faults) { f.LogOutage = false })
		env.sleep(time.Second)
	})
	q := bookingPlan(env.node(2), "after the outage")
	q.Attempts = 20
	got = env.send(q)
	env.expect(got.Answered, "a booking after the outage: %s", got.Refusal)
	return nil
}

func logSlow(env *Env) error {
	env.underLoad(env.backgroundLoad(10), 0.95, func() {
		env.setPlatformFaults("log slow", func(f *platsv.Faults) { f.LogLatencyMS = 300 })
		env.sleep(time.Second)
		p := chatPlan(env.node(2), coldModel(1), "with a slow log")
		p.Attempts = 3
		got := env.send(p)
		env.expect(got.Answered, "a cold model with a slow log: %s", got.Refusal)
		env.sleep(2 * time.Second)
		// Longer than the daemons' log-timeout.
		env.setPlatformFaults("log slower than its time limit", func(f *platsv.Faults) { f.LogLatencyMS = 1500 })
		env.sleep(2 * time.Second)
		env.setPlatformFaults("", func(f *platsv.Faults) { f.LogLatencyMS = 0 })
	})
	q := bookingPlan(env.node(2), "after the slow time")
	q.Attempts = 20
	got := env.send(q)
	env.expect(got.Answered, "a booking after the slow time: %s", got.Refusal)
	return nil
}

func appendAnswersLost(env *Env) error {
	pub := env.newPublisher()
	stop := pub.observe()
	env.underLoad(env.backgroundLoad(12), 0.95, func() {
		for i := range 4 {
			env.setPlatformFaults("answers of 6 appends lost", func(f *platsv.Faults) { f.LoseAppendResponses = 6 })
			p := chatPlan(env.node(1+i%defaultDaemons), coldModel(1+i), "with lost answers")
			p.Attempts = 4
			got := env.send(p)
			env.expect(got.Answered, "%s with lost answers: %s", p.Model, got.Refusal)
			env.sleep(400 * time.Millisecond)
		}
		env.setPlatformFaults("answer of a publication lost", func(f *platsv.Faults) { f.LoseAppendResponses = 2 })
		pub.publishConcurrently()
		env.setPlatformFaults("", func(f *platsv.Faults) { f.LoseAppendResponses = 0 })
		env.sleep(time.Second)
	})
	stop()
	return nil
}

func storeSlow(env *Env) error {
	env.underLoad(env.backgroundLoad(8), 1, func() {
		env.setPlatformFaults("weight store 10 times slower", func(f *platsv.Faults) { f.StoreSlowdown = 10 })
		for i := 1; i <= 6; i++ {
			p := chatPlan(env.node(1+i%defaultDaemons), coldModel(i), "with a slow store")
			p.Deadline = 4 * time.Second
			go env.driver.Do(env.ctx, env.newRand(uint64(i)), p)
		}
		env.sleep(6 * time.Second)
		env.setPlatformFaults("", func(f *platsv.Faults) { f.StoreSlowdown = 1 })
	})
	env.expectServed(6*time.Second, coldModel(1))
	return nil
}

func hostListMissing(env *Env) error {
	env.setPlatformFaults("host list missing", func(f *platsv.Faults) { f.HostListUnavailable = true })
	env.underLoad(env.backgroundLoad(8), 0.98, func() {
		env.sleep(300 * time.Millisecond)
		env.kill(env.node(2))
		env.sleep(3 * time.Second)
		for i := 1; i <= 3; i++ {
			p := chatPlan(env.node(3), coldModel(i), "after the death")
			p.Attempts = 4
			got := env.send(p)
			env.expect(got.Answered, "%s after a daemon died: %s", p.Model, got.Refusal)
		}
	})
	return nil
}
