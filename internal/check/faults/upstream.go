package faults

import (
	"fmt"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/check/verify"
	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/platform/platsv"
	"github.com/azurespan/azurespan/standin/service/servsv"
)

func upstreamScenarios() []Scenario {
	return []Scenario{
		{
			Name: "engine-kill-load", Covers: "I1 I2 I3, upstream dies during a load", Requires: "0.98 of the load and the model that was being loaded",
			Run: engineKillLoad, Setup: Setup{StoreBytesPerSecond: 10e9},
		},
		{
			Name: "engine-crash-streams", Covers: "I3 I4, upstream dies", Requires: "0.98 of the load; long streams continue elsewhere",
			Run: engineCrash, Setup: Setup{TokensPerSecond: 300},
		},
		{
			Name: "engine-leaving", Covers: "I7, upstream leaves by its own report", Requires: "0.98 of the load and the models of the leaving engine",
			Run: engineLeaving,
		},
		{
			Name: "host-leaving", Covers: "I7, upstream leaves by the host list", Requires: "0.98 of the load",
			Run: hostLeaving,
		},
		{
			Name: "desk-leaving", Covers: "I6 I7, plain service leaves", Requires: "0.95 of the load",
			Run: plainServiceLeaving,
		},
		{
			Name: "engine-reclaimed", Covers: "I1 I3, host reclaimed", Requires: "0.95 of the load; the model with one replica elsewhere within 8 s",
			Run: engineReclaimed,
		},
		{
			Name: "engine-misbehaves", Covers: "I4, garbage, half, cut, foreign id, duplicate, skip", Requires: "0.95 of the load",
			Run: engineMisbehaves,
		},
		{
			Name: "poison", Covers: "I3 I5, request that crashes upstreams", Requires: "the innocent requests; the poisonous one is quarantined after two crashes",
			Run: crashingRequest, Setup: Setup{CrashPrompt: "crash-the-engine", TokensPerSecond: 400},
		},
		{
			Name: "desk-drops", Covers: "I5 I6, plain service drops the connection after running", Requires: "look-ups; bookings are answered or their outcome is unknown",
			Run: plainServiceDrops,
		},
	}
}

func engineKillLoad(env *Env) error {
	env.underLoad(env.backgroundLoad(8), 0.98, func() {
		var wg sync.WaitGroup
		for m := 1; m <= 4; m++ {
			p := chatPlan(env.node(m), coldModel(m), "killed while loading")
			// The grant is released only when the owner has detected the end of
			// the process, so the request is retried for a few seconds.
			p.Attempts, p.Deadline = 30, 8*time.Second
			wg.Go(func() {
				got := env.driver.Do(env.ctx, env.newRand(uint64(m)), p)
				env.expect(got.Answered, "%s was not served after its engine died: %s", p.Model, got.Refusal)
			})
		}
		env.sleep(800 * time.Millisecond)
		for m := 1; m <= 2; m++ {
			if name := env.loadingOn(coldModel(m)); name != "" {
				env.crashEngine(name, time.Duration(m)*time.Second)
			}
		}
		wg.Wait()
	})
	return nil
}

// loadingOn returns an engine that is loading the model, or an empty string.
func (env *Env) loadingOn(model string) string {
	for name, e := range env.engines {
		open := false
		for _, x := range e.Records().Entries {
			if x.Model == model && x.Kind == "load" {
				open = true
			}
			if x.Model == model && x.Kind == "load-end" || x.Kind == "crash" {
				open = false
			}
		}
		if open {
			return name
		}
	}
	return ""
}

func engineCrash(env *Env) error {
	env.underLoad(env.backgroundLoad(10), 0.98, func() {
		var wg sync.WaitGroup
		for n := 1; n <= defaultDaemons; n++ {
			p := chatPlan(env.node(n), threeReplicaModel, fmt.Sprintf("long answer %d", n))
			p.Tokens, p.Attempts, p.Deadline = 150, 3, 12*time.Second
			wg.Go(func() {
				got := env.driver.Do(env.ctx, env.newRand(uint64(n)), p)
				env.expect(got.Answered, "a long stream was not completed: %s", got.Refusal)
			})
		}
		env.sleep(time.Second)
		env.crashEngine(env.lastLoadedOn(threeReplicaModel), time.Second)
		env.sleep(1500 * time.Millisecond)
		env.crashEngine(env.lastLoadedOn(oneReplicaModel), 300*time.Millisecond)
		wg.Wait()
	})
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

func engineLeaving(env *Env) error {
	env.underLoad(env.backgroundLoad(10), 0.98, func() {
		env.sleep(300 * time.Millisecond)
		h := env.lastLoadedOn(oneReplicaModel)
		env.noteLeaving(h)
		env.setEngineFaults(h, "leaves", func(f *engsv.Faults) { f.Leaving = true })
		env.sleep(5500 * time.Millisecond)
	})
	return nil
}

func hostLeaving(env *Env) error {
	env.underLoad(env.backgroundLoad(10), 0.98, func() {
		env.sleep(300 * time.Millisecond)
		h := env.lastLoadedOn(threeReplicaModel)
		env.noteLeaving(h)
		env.platform.SetHost(platsv.Host{Name: h, Address: "127.0.0.1", FailureDomain: "east", State: "leaving"})
		env.noteFault("%s leaves by the host list", h)
		env.sleep(5500 * time.Millisecond)
	})
	return nil
}

func plainServiceLeaving(env *Env) error {
	m := env.backgroundLoad(10)
	m.Kinds = []verify.Kind{verify.Call, verify.Call, verify.Stream}
	env.underLoad(m, 0.95, func() {
		env.sleep(300 * time.Millisecond)
		name := bookingUpstream("east")
		env.noteLeaving(name)
		s := env.plainServices[name]
		f := s.Faults()
		f.Leaving = true
		s.SetFaults(f)
		env.noteFault("%s leaves", name)
		env.sleep(5 * time.Second)
	})
	return nil
}

func engineReclaimed(env *Env) error {
	env.underLoad(env.backgroundLoad(8), 0.95, func() {
		env.sleep(300 * time.Millisecond)
		h := env.lastLoadedOn(oneReplicaModel)
		env.platform.SetHost(platsv.Host{Name: h, Address: "127.0.0.1", State: "gone"})
		env.killEngine(h)
		env.noteFault("%s is reclaimed", h)
		p := chatPlan(nil, oneReplicaModel, "after the host is gone")
		p.Attempts, p.Deadline = 40, 3*time.Second
		began := time.Now()
		got := env.send(p)
		env.expect(got.Answered, "%s was not served after its host was gone: %s", oneReplicaModel, got.Refusal)
		env.expect(time.Since(began) < reclaimLimit, "%s was served again only after %v", oneReplicaModel, time.Since(began))
	})
	return nil
}

func engineMisbehaves(env *Env) error {
	env.underLoad(env.backgroundLoad(10), 0.95, func() {
		for _, mode := range []string{"garbage", "half", "cut", "foreign-id", "duplicate", "skip"} {
			for _, u := range env.site.Deployment.Upstreams {
				if env.engines[u.Name] != nil {
					env.setEngineFaults(u.Name, "", func(f *engsv.Faults) { f.Mode, f.Times = mode, 4 })
				}
			}
			env.noteFault("%s", mode)
			env.sleep(900 * time.Millisecond)
		}
	})
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

const (
	// crashingSends is how often the request that crashes engines is sent.
	crashingSends = 6
	// crashLimit is the number of crashes after which the request must be in
	// quarantine.
	crashLimit = 2
	// reclaimLimit is the time within which a model must be served again after
	// the host of its only replica was reclaimed.
	reclaimLimit = 8 * time.Second
)

func crashingRequest(env *Env) error {
	m := env.backgroundLoad(8)
	m.Kinds = []verify.Kind{verify.Stream, verify.NonStreaming}
	env.underLoad(m, 1, func() {
		env.sleep(500 * time.Millisecond)
		for i := range crashingSends {
			p := chatPlan(env.node(1+i%defaultDaemons), threeReplicaModel, "please crash-the-engine now")
			p.Deadline = 8 * time.Second
			got := env.send(p)
			env.expect(!got.Answered, "a request that crashes engines was answered")
			if i > 0 {
				env.expect(got.Refusal == "request-quarantined", "attempt %d of the request that crashes engines ended with %q", i+1, got.Refusal)
			}
			env.sleep(800 * time.Millisecond)
		}
		env.noteFault("crashing request sent %d times", crashingSends)
	})
	n := env.crashCount()
	env.expect(n <= crashLimit, "%d crashes by one request, expected at most %d", n, crashLimit)
	env.expect(n > 0, "the request crashed no engine")
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

func plainServiceDrops(env *Env) error {
	m := env.backgroundLoad(6)
	m.Kinds = []verify.Kind{verify.Call}
	env.underLoad(m, 0.5, func() {
		for i := range 6 {
			for _, domain := range domains {
				s := env.plainServices[bookingUpstream(domain)]
				f := s.Faults()
				f.DropAfter, f.CrashAfter, f.CrashBefore, f.Fail = 1, 0, 0, 0
				switch i % 3 {
				case 1:
					f.CrashAfter = 1
				case 2:
					f.CrashBefore = 1
				}
				s.SetFaults(f)
			}
			env.noteFault("three services drop a connection")
			p := bookingPlan(env.node(1+i%defaultDaemons), "dropped")
			p.Attempts = 3
			env.send(p)
			env.sleep(700 * time.Millisecond)
		}
		for _, s := range env.plainServices {
			s.SetFaults(servsv.Faults{})
		}
	})
	for n := 1; n <= defaultDaemons; n++ {
		got := env.send(lookupPlan(env.node(n)))
		env.expect(got.Answered, "a look-up at %s after the faults: %s", env.node(n).Name, got.Refusal)
	}
	return nil
}
