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
			Name: "engine-kill-load", Covers: "I1 I2 I3, upstream dies during a load", Must: "0.98 of the load and the model that was being loaded",
			Run: engineKillLoad, Tuning: Tuning{StoreBytesPerSecond: 10e9},
		},
		{
			Name: "engine-crash-streams", Covers: "I3 I4, upstream dies", Must: "0.98 of the load; long streams continue elsewhere",
			Run: engineCrash, Tuning: Tuning{TokensPerSecond: 300},
		},
		{
			Name: "engine-leaving", Covers: "I7, upstream leaves by its own report", Must: "0.98 of the load and the models of the leaving engine",
			Run: engineLeaving,
		},
		{
			Name: "host-leaving", Covers: "I7, upstream leaves by the host list", Must: "0.98 of the load",
			Run: hostLeaving,
		},
		{
			Name: "desk-leaving", Covers: "I6 I7, plain service leaves", Must: "0.95 of the load",
			Run: deskLeaving,
		},
		{
			Name: "engine-reclaimed", Covers: "I1 I3, host reclaimed", Must: "0.95 of the load; the model with one replica elsewhere within 8 s",
			Run: engineReclaimed,
		},
		{
			Name: "engine-misbehaves", Covers: "I4, garbage, half, cut, foreign id, duplicate, skip", Must: "0.95 of the load",
			Run: engineMisbehaves,
		},
		{
			Name: "poison", Covers: "I3 I5, request that crashes upstreams", Must: "the innocent requests; the poisonous one is quarantined after two crashes",
			Run: poisonous, Tuning: Tuning{Poison: "crash-the-engine", TokensPerSecond: 400},
		},
		{
			Name: "desk-drops", Covers: "I5 I6, plain service drops the connection after running", Must: "look-ups; bookings are answered or their outcome is unknown",
			Run: deskDrops,
		},
	}
}

func engineKillLoad(w *World) error {
	w.during(w.mix(8), 0.98, func() {
		var wg sync.WaitGroup
		for m := 1; m <= 4; m++ {
			p := chat(w.node(m), coldName(m), "killed while loading")
			// The grant is freed once the owner has seen that the process is
			// gone, so the request is sent again for a few seconds.
			p.Attempts, p.Deadline = 30, 8*time.Second
			wg.Go(func() {
				got := w.driver.Do(w.ctx, w.rng(uint64(m)), p)
				w.must(got.Answered, "%s was not served after its engine died: %s", p.Model, got.Refusal)
			})
		}
		w.sleep(800 * time.Millisecond)
		for m := 1; m <= 2; m++ {
			if name := w.loading(coldName(m)); name != "" {
				w.crash(name, time.Duration(m)*time.Second)
			}
		}
		wg.Wait()
	})
	return nil
}

// loading returns an engine on which the load of a model has begun and not
// ended, empty if there is none.
func (w *World) loading(model string) string {
	for name, e := range w.engines {
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

func engineCrash(w *World) error {
	w.during(w.mix(10), 0.98, func() {
		var wg sync.WaitGroup
		for n := 1; n <= 4; n++ {
			p := chat(w.node(n), trio, fmt.Sprintf("long answer %d", n))
			p.Tokens, p.Attempts, p.Deadline = 150, 3, 12*time.Second
			wg.Go(func() {
				got := w.driver.Do(w.ctx, w.rng(uint64(n)), p)
				w.must(got.Answered, "a long stream did not come to its end: %s", got.Refusal)
			})
		}
		w.sleep(time.Second)
		w.crash(w.lastAt(trio), time.Second)
		w.sleep(1500 * time.Millisecond)
		w.crash(w.lastAt(solo), 300*time.Millisecond)
		wg.Wait()
	})
	w.probe(5*time.Second, solo, trio)
	return nil
}

func engineLeaving(w *World) error {
	w.during(w.mix(10), 0.98, func() {
		w.sleep(300 * time.Millisecond)
		h := w.lastAt(solo)
		w.leave(h)
		w.engineFaults(h, "leaves", func(f *engsv.Faults) { f.Leaving = true })
		w.sleep(5500 * time.Millisecond)
	})
	return nil
}

func hostLeaving(w *World) error {
	w.during(w.mix(10), 0.98, func() {
		w.sleep(300 * time.Millisecond)
		h := w.lastAt(trio)
		w.leave(h)
		w.platform.SetHost(platsv.Host{Name: h, Address: "127.0.0.1", FailureDomain: "east", State: "leaving"})
		w.induce("%s leaves by the host list", h)
		w.sleep(5500 * time.Millisecond)
	})
	return nil
}

func deskLeaving(w *World) error {
	m := w.mix(10)
	m.Kinds = []verify.Kind{verify.Call, verify.Call, verify.Stream}
	w.during(m, 0.95, func() {
		w.sleep(300 * time.Millisecond)
		name := deskName("east")
		w.leave(name)
		s := w.desks[name]
		f := s.Faults()
		f.Leaving = true
		s.SetFaults(f)
		w.induce("%s leaves", name)
		w.sleep(5 * time.Second)
	})
	return nil
}

func engineReclaimed(w *World) error {
	w.during(w.mix(8), 0.95, func() {
		w.sleep(300 * time.Millisecond)
		h := w.lastAt(solo)
		w.platform.SetHost(platsv.Host{Name: h, Address: "127.0.0.1", State: "gone"})
		w.end(h)
		w.induce("%s is reclaimed", h)
		p := chat(nil, solo, "after the host is gone")
		p.Attempts, p.Deadline = 40, 3*time.Second
		began := time.Now()
		got := w.ask(p)
		w.must(got.Answered, "%s was not served after its host was gone: %s", solo, got.Refusal)
		w.must(time.Since(began) < 8*time.Second, "%s was served again only after %v", solo, time.Since(began))
	})
	return nil
}

func engineMisbehaves(w *World) error {
	w.during(w.mix(10), 0.95, func() {
		for _, mode := range []string{"garbage", "half", "cut", "foreign-id", "duplicate", "skip"} {
			for _, u := range w.site.Deployment.Upstreams {
				if w.engines[u.Name] != nil {
					w.engineFaults(u.Name, "", func(f *engsv.Faults) { f.Mode, f.Times = mode, 4 })
				}
			}
			w.induce("%s", mode)
			w.sleep(900 * time.Millisecond)
		}
	})
	w.probe(5*time.Second, solo, trio)
	return nil
}

func poisonous(w *World) error {
	m := w.mix(8)
	m.Kinds = []verify.Kind{verify.Stream, verify.NonStreaming}
	w.during(m, 1, func() {
		w.sleep(500 * time.Millisecond)
		for i := range 6 {
			p := chat(w.node(1+i%4), trio, "please crash-the-engine now")
			p.Deadline = 8 * time.Second
			got := w.ask(p)
			w.must(!got.Answered, "a request that crashes engines was answered")
			if i > 0 {
				w.must(got.Refusal == "request-quarantined", "send %d of the poisonous request ended with %q", i+1, got.Refusal)
			}
			w.sleep(800 * time.Millisecond)
		}
		w.induce("poison sent 6 times")
	})
	n := w.crashes()
	w.must(n <= 2, "%d crashes by one request instead of 2 at most", n)
	w.must(n > 0, "the request crashed no engine")
	w.probe(5*time.Second, solo, trio)
	return nil
}

func deskDrops(w *World) error {
	m := w.mix(6)
	m.Kinds = []verify.Kind{verify.Call}
	w.during(m, 0.5, func() {
		for i := range 6 {
			for _, domain := range domains {
				s := w.desks[deskName(domain)]
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
			w.induce("three services drop a connection")
			p := booking(w.node(1+i%4), "dropped")
			p.Attempts = 3
			w.ask(p)
			w.sleep(700 * time.Millisecond)
		}
		for _, s := range w.desks {
			s.SetFaults(servsv.Faults{})
		}
	})
	for n := 1; n <= 4; n++ {
		got := w.ask(lookup(w.node(n)))
		w.must(got.Answered, "a look-up at %s after the faults: %s", w.node(n).Name, got.Refusal)
	}
	return nil
}
