package faults

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/azurespan/azurespan/internal/check/mixed"
	"github.com/azurespan/azurespan/internal/check/verify"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/platform/platsv"
)

// induce notes a failure for the report.
func (w *World) induce(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.induced = append(w.induced, fmt.Sprintf(format, args...))
}

// must notes a lack of progress unless ok.
func (w *World) must(ok bool, format string, args ...any) {
	if ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lacks = append(w.lacks, fmt.Sprintf(format, args...))
}

// rng returns the n-th random source of the scenario.
func (w *World) rng(n uint64) *rand.Rand { return rand.New(rand.NewPCG(w.Seed, 1000+n)) }

// sleep lets time pass in a scenario.
func (w *World) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.ctx.Done():
	}
}

// node returns the daemon with a number from 1.
func (w *World) node(n int) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[n-1]
}

// kill ends a daemon at once; callers learn of it from broken connections.
func (w *World) kill(n *node) {
	w.mu.Lock()
	w.history.Outages = append(w.history.Outages, verify.Outage{Daemon: n.Name, From: time.Now()})
	w.mu.Unlock()
	n.Kill()
	n.relay.Down()
	w.hide(n, true)
	w.induce("kill %s", n.Name)
}

// pause stops a daemon and returns the function that continues it.
func (w *World) pause(n *node) (resume func()) {
	w.mu.Lock()
	i := len(w.history.Outages)
	w.history.Outages = append(w.history.Outages, verify.Outage{Daemon: n.Name, From: time.Now()})
	w.mu.Unlock()
	_ = n.Signal(syscall.SIGSTOP)
	w.hide(n, true)
	w.induce("pause %s", n.Name)
	return func() {
		_ = n.Signal(syscall.SIGCONT)
		w.mu.Lock()
		w.history.Outages[i].To = time.Now()
		w.mu.Unlock()
		w.hide(n, false)
	}
}

// terminate sends SIGTERM and waits for a clean end.
func (w *World) terminate(n *node) {
	w.mu.Lock()
	w.history.TerminatedAt[n.Name] = time.Now()
	w.mu.Unlock()
	_ = n.Signal(syscall.SIGTERM)
	w.hide(n, true)
	w.induce("SIGTERM %s", n.Name)
	code, err := n.Wait(15 * time.Second)
	n.relay.Down()
	w.must(err == nil && code == 0, "%s ended with code %d after SIGTERM: %v", n.Name, code, err)
}

// inDomain returns the daemons and upstreams of a failure domain.
func (w *World) inDomain(domain string) (daemons, upstreams []string) {
	w.mu.Lock()
	for _, n := range w.nodes {
		if n.domain == domain {
			daemons = append(daemons, n.Name)
		}
	}
	w.mu.Unlock()
	for _, u := range w.site.Deployment.Upstreams {
		if u.FailureDomain == domain {
			upstreams = append(upstreams, u.Name)
		}
	}
	return daemons, upstreams
}

// oneWay holds all traffic from the nodes of one failure domain to those of
// another. Connections are opened by daemons only.
func (w *World) oneWay(from, to string) {
	fd, fu := w.inDomain(from)
	td, tu := w.inDomain(to)
	for _, a := range fd {
		for _, b := range append(append([]string(nil), td...), tu...) {
			w.net.Cut(a, b)
		}
	}
	for _, a := range fu {
		for _, b := range td {
			w.net.Cut(a, b)
		}
	}
}

// cut separates two failure domains.
func (w *World) cut(a, b string) {
	w.oneWay(a, b)
	w.oneWay(b, a)
	w.induce("cut %s|%s", a, b)
}

// cutPlatform separates a failure domain from a part of the platform, log or
// hosts.
func (w *World) cutPlatform(domain, part string) {
	daemons, _ := w.inDomain(domain)
	for _, d := range daemons {
		w.net.Cut(d, part)
		w.net.Cut(part, d)
	}
	w.induce("cut %s|%s", domain, part)
}

// platformFaults changes the faults of the platform.
func (w *World) platformFaults(what string, change func(*platsv.Faults)) {
	f := w.platform.Faults()
	change(&f)
	w.platform.SetFaults(f)
	if what != "" {
		w.induce("%s", what)
	}
}

// engineFaults changes the faults of an engine.
func (w *World) engineFaults(name, what string, change func(*engsv.Faults)) {
	f := w.engines[name].Faults()
	change(&f)
	w.engines[name].SetFaults(f)
	if what != "" {
		w.induce("%s %s", name, what)
	}
}

// crash ends an engine; it listens again after the given time.
func (w *World) crash(name string, after time.Duration) {
	if w.engines[name] == nil {
		w.must(false, "there is no engine to kill")
		return
	}
	w.end(name)
	w.induce("kill %s", name)
	go func() {
		w.sleep(after)
		// Another process may hold a port for a moment.
		for w.ctx.Err() == nil && w.engines[name].Restart() != nil {
			w.sleep(50 * time.Millisecond)
		}
		for w.ctx.Err() == nil && w.relays[name].Up() != nil {
			w.sleep(50 * time.Millisecond)
		}
	}()
}

// end ends an engine; its host refuses connections from then on.
func (w *World) end(name string) {
	w.relays[name].Down()
	w.engines[name].Kill()
}

// lastAt returns the engine on which a load of the model ended last. Its grant
// stays there when the model is unloaded because it is idle.
func (w *World) lastAt(model string) (name string) {
	var at int64
	for n, e := range w.engines {
		for _, x := range e.Records().Entries {
			if x.Kind == "load-end" && x.Model == model && x.TimeUS > at {
				at, name = x.TimeUS, n
			}
		}
	}
	return name
}

// loads counts the loads of a model that began.
func (w *World) loads(model string) (n int) {
	for _, e := range w.engines {
		for _, x := range e.Records().Entries {
			if x.Kind == "load" && x.Model == model {
				n++
			}
		}
	}
	return n
}

// ask sends one request and returns its end.
func (w *World) ask(p mixed.Plan) mixed.Result { return w.driver.Do(w.ctx, w.rng(7), p) }

// crashes counts the crashes in the records of all engines.
func (w *World) crashes() (n int) {
	for _, e := range w.engines {
		for _, x := range e.Records().Entries {
			if x.Kind == "crash" {
				n++
			}
		}
	}
	return n
}

// tookOver reports whether an upstream of a failure domain had two owners, by
// the records that the platform accepted.
func (w *World) tookOver(domain string) bool {
	owners := map[string]map[string]bool{}
	for _, x := range w.platform.Entries() {
		if x.Kind != "append" || x.Stream != "control" {
			continue
		}
		r, err := record.Decode(x.Data)
		t, ok := r.(record.TakeOwnership)
		if err != nil || !ok {
			continue
		}
		if owners[t.Upstream] == nil {
			owners[t.Upstream] = map[string]bool{}
		}
		owners[t.Upstream][t.Daemon] = true
	}
	for n := 1; n <= enginesPerDomain; n++ {
		if len(owners[engineName(domain, n)]) > 1 {
			return true
		}
	}
	return false
}

// leave notes that an upstream begins to leave.
func (w *World) leave(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.LeavingSince[name] = time.Now()
}

// chat is a short streamed chat through one daemon.
func chat(n *node, model, prompt string) mixed.Plan {
	p := mixed.Plan{Kind: verify.Stream, Model: model, Prompt: prompt, Tokens: 24}
	if n != nil {
		p.First = n.Proc
	}
	return p
}

// probe requires that each callable daemon serves each model again within the
// limit.
func (w *World) probe(limit time.Duration, models ...string) {
	for _, p := range w.callable() {
		for _, m := range models {
			end, last := time.Now().Add(limit), ""
			for n := 0; ; n++ {
				q := mixed.Plan{Kind: verify.Stream, Model: m, Prompt: fmt.Sprintf("probe %d of %s", n, p.Name), Tokens: 12, First: p}
				got := w.ask(q)
				if got.Answered {
					break
				}
				last = got.Refusal
				if time.Now().After(end) {
					w.must(false, "%s does not serve %s after the faults: %s", p.Name, m, last)
					break
				}
				w.sleep(200 * time.Millisecond)
			}
		}
	}
}

// mix is the background load of most scenarios.
func (w *World) mix(workers int) mixed.Mix {
	return mixed.Mix{Models: []string{solo, pair, trio, adapter}, Service: desk, Workers: workers}
}

// during runs a background load while do runs, and requires that at least the
// given share of its requests is answered in the end.
func (w *World) during(m mixed.Mix, share float64, do func()) {
	r := w.driver.Start(w.ctx, w.Seed, m)
	do()
	sent, answered := r.Stop()
	w.must(float64(answered) >= share*float64(sent) && answered > 0, "%d of %d requests of the load were answered, expected a share of %.2f", answered, sent, share)
}
