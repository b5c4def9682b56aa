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

// noteFault records an injected fault for the result.
func (env *Env) noteFault(format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.notedFaults = append(env.notedFaults, fmt.Sprintf(format, args...))
}

// expect records an unmet expectation unless ok.
func (env *Env) expect(ok bool, format string, args ...any) {
	if ok {
		return
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.unmet = append(env.unmet, fmt.Sprintf(format, args...))
}

// Numbers of random sequences. The seed of the scenario and the number determine
// the sequence; the background load uses the numbers of its workers.
const (
	// warmUpSequence is the first one of awaitModelsServed.
	warmUpSequence = 90
	// scenarioSequence is the number of newRand(0).
	scenarioSequence = 1000
	// sendSequence is the argument of newRand for send.
	sendSequence = 7
	// coldLoadSequence is the first argument of newRand for the requests that
	// wait for a load while a daemon is killed.
	coldLoadSequence = 20
	// sequencesPerDaemon separates the requests through different daemons
	// around a pause.
	sequencesPerDaemon = 40
)

const (
	// recoveryLimit is the time within which each daemon must serve again after
	// the faults.
	recoveryLimit = 5 * time.Second
	// recoveryRetryInterval separates the requests of expectServed.
	recoveryRetryInterval = 200 * time.Millisecond
	// terminationTimeout bounds the time between SIGTERM and the exit of a
	// daemon.
	terminationTimeout = 15 * time.Second
	// restartRetryInterval separates attempts to listen on the port of a
	// crashed engine.
	restartRetryInterval = 50 * time.Millisecond
)

// newRand returns the n-th random source of the scenario.
func (env *Env) newRand(n uint64) *rand.Rand {
	return rand.New(rand.NewPCG(env.Seed, scenarioSequence+n))
}

// sleep waits for d or until the scenario is cancelled.
func (env *Env) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-env.ctx.Done():
	}
}

// node returns the n-th daemon, counted from 1.
func (env *Env) node(n int) *node {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.nodes[n-1]
}

// kill sends SIGKILL to a daemon. Requests in progress see broken connections,
// and new requests go to other daemons.
func (env *Env) kill(n *node) {
	env.mu.Lock()
	env.history.Outages = append(env.history.Outages, verify.Outage{Daemon: n.Name, From: time.Now()})
	env.mu.Unlock()
	n.Kill()
	n.relay.Down()
	env.setHidden(n, true)
	env.noteFault("kill %s", n.Name)
}

// pause suspends a daemon with SIGSTOP and returns a function that continues it.
func (env *Env) pause(n *node) (resume func()) {
	env.mu.Lock()
	i := len(env.history.Outages)
	env.history.Outages = append(env.history.Outages, verify.Outage{Daemon: n.Name, From: time.Now()})
	env.mu.Unlock()
	_ = n.Signal(syscall.SIGSTOP)
	env.setHidden(n, true)
	env.noteFault("pause %s", n.Name)
	return func() {
		_ = n.Signal(syscall.SIGCONT)
		env.mu.Lock()
		env.history.Outages[i].To = time.Now()
		env.mu.Unlock()
		env.setHidden(n, false)
	}
}

// terminate sends SIGTERM to a daemon and expects it to exit with code 0.
func (env *Env) terminate(n *node) {
	env.mu.Lock()
	env.history.TerminatedAt[n.Name] = time.Now()
	env.mu.Unlock()
	_ = n.Signal(syscall.SIGTERM)
	env.setHidden(n, true)
	env.noteFault("SIGTERM %s", n.Name)
	code, err := n.Wait(terminationTimeout)
	n.relay.Down()
	env.expect(err == nil && code == 0, "%s exited with code %d after SIGTERM: %v", n.Name, code, err)
}

// membersOf returns the names of the daemons and upstreams of a failure domain.
func (env *Env) membersOf(domain string) (daemons, upstreams []string) {
	env.mu.Lock()
	for _, n := range env.nodes {
		if n.domain == domain {
			daemons = append(daemons, n.Name)
		}
	}
	env.mu.Unlock()
	for _, u := range env.site.Deployment.Upstreams {
		if u.FailureDomain == domain {
			upstreams = append(upstreams, u.Name)
		}
	}
	return daemons, upstreams
}

// cutOneWay holds back all traffic from the nodes of one failure domain to those
// of another. Traffic between upstreams needs no rule, because only daemons open
// connections.
func (env *Env) cutOneWay(from, to string) {
	fromDaemons, fromUpstreams := env.membersOf(from)
	toDaemons, toUpstreams := env.membersOf(to)
	for _, a := range fromDaemons {
		for _, b := range append(append([]string(nil), toDaemons...), toUpstreams...) {
			env.net.Cut(a, b)
		}
	}
	for _, a := range fromUpstreams {
		for _, b := range toDaemons {
			env.net.Cut(a, b)
		}
	}
}

// cutDomains cuts the traffic between two failure domains in both directions.
func (env *Env) cutDomains(a, b string) {
	env.cutOneWay(a, b)
	env.cutOneWay(b, a)
	env.noteFault("cut %s|%s", a, b)
}

// cutPlatform cuts the traffic between a failure domain and a part of the
// platform, which is "log" or "hosts".
func (env *Env) cutPlatform(domain, part string) {
	daemons, _ := env.membersOf(domain)
	for _, d := range daemons {
		env.net.Cut(d, part)
		env.net.Cut(part, d)
	}
	env.noteFault("cut %s|%s", domain, part)
}

// setPlatformFaults changes the faults of the platform. It records what as an
// injected fault unless what is empty.
func (env *Env) setPlatformFaults(what string, change func(*platsv.Faults)) {
	f := env.platform.Faults()
	change(&f)
	env.platform.SetFaults(f)
	if what != "" {
		env.noteFault("%s", what)
	}
}

// setEngineFaults changes the faults of an engine. It records what as an injected
// fault unless what is empty.
func (env *Env) setEngineFaults(name, what string, change func(*engsv.Faults)) {
	f := env.engines[name].Faults()
	change(&f)
	env.engines[name].SetFaults(f)
	if what != "" {
		env.noteFault("%s %s", name, what)
	}
}

// crashEngine crashes an engine and restarts it after the given time.
func (env *Env) crashEngine(name string, after time.Duration) {
	if env.engines[name] == nil {
		env.expect(false, "there is no engine %q to crash", name)
		return
	}
	env.killEngine(name)
	env.noteFault("kill %s", name)
	go func() {
		env.sleep(after)
		// Another process may have taken the port in the meantime.
		for env.ctx.Err() == nil && env.engines[name].Restart() != nil {
			env.sleep(restartRetryInterval)
		}
		for env.ctx.Err() == nil && env.upstreamRelays[name].Up() != nil {
			env.sleep(restartRetryInterval)
		}
	}()
}

// killEngine crashes an engine. Its address refuses connections from then on.
func (env *Env) killEngine(name string) {
	env.upstreamRelays[name].Down()
	env.engines[name].Kill()
}

// lastLoadedOn returns the engine on which the latest completed load of the model
// took place, or an empty string. The engine keeps the grant when the model is
// unloaded because it is idle.
func (env *Env) lastLoadedOn(model string) (name string) {
	var at int64
	for n, e := range env.engines {
		for _, x := range e.Records().Entries {
			if x.Kind == "load-end" && x.Model == model && x.TimeUS > at {
				at, name = x.TimeUS, n
			}
		}
	}
	return name
}

// loadCount returns the number of loads of a model that engines began.
func (env *Env) loadCount(model string) (n int) {
	for _, e := range env.engines {
		for _, x := range e.Records().Entries {
			if x.Kind == "load" && x.Model == model {
				n++
			}
		}
	}
	return n
}

// send sends one request, with its retries, and returns the outcome.
func (env *Env) send(p mixed.Plan) mixed.Result {
	return env.driver.Do(env.ctx, env.newRand(sendSequence), p)
}

// crashCount returns the number of crashes in the records of all engines.
func (env *Env) crashCount() (n int) {
	for _, e := range env.engines {
		for _, x := range e.Records().Entries {
			if x.Kind == "crash" {
				n++
			}
		}
	}
	return n
}

// ownershipMoved reports whether an engine of a failure domain had more than one
// owner, according to the records that the log accepted.
func (env *Env) ownershipMoved(domain string) bool {
	owners := map[string]map[string]bool{}
	for _, x := range env.platform.Entries() {
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

// noteLeaving records the time from which an upstream is leaving.
func (env *Env) noteLeaving(name string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.history.LeavingSince[name] = time.Now()
}

// chatPlan describes a short streamed chat, sent first through n, or through a
// random daemon if n is nil.
func chatPlan(n *node, model, prompt string) mixed.Plan {
	p := mixed.Plan{Kind: verify.Stream, Model: model, Prompt: prompt, Tokens: 24}
	if n != nil {
		p.FirstDaemon = n.Proc
	}
	return p
}

// expectServed expects that each daemon that callers use serves each model within
// limit.
func (env *Env) expectServed(limit time.Duration, models ...string) {
	for _, p := range env.callable() {
		for _, m := range models {
			end, last := time.Now().Add(limit), ""
			for n := 0; ; n++ {
				q := mixed.Plan{Kind: verify.Stream, Model: m, Prompt: fmt.Sprintf("probe %d of %s", n, p.Name), Tokens: 12, FirstDaemon: p}
				got := env.send(q)
				if got.Answered {
					break
				}
				last = got.Refusal
				if time.Now().After(end) {
					env.expect(false, "%s does not serve %s after the faults: %s", p.Name, m, last)
					break
				}
				env.sleep(recoveryRetryInterval)
			}
		}
	}
}

// backgroundLoad describes the load of most scenarios.
func (env *Env) backgroundLoad(workers int) mixed.Workload {
	return mixed.Workload{Models: []string{oneReplicaModel, twoReplicaModel, threeReplicaModel, adapterName}, Service: bookingService, Workers: workers}
}

// underLoad applies a background load while do runs, and expects that at least
// the given share of its requests is answered, retries included.
func (env *Env) underLoad(m mixed.Workload, share float64, do func()) {
	r := env.driver.Start(env.ctx, env.Seed, m)
	do()
	sent, answered := r.Stop()
	env.expect(float64(answered) >= share*float64(sent) && answered > 0, "%d of %d requests of the load were answered, expected a share of %.2f", answered, sent, share)
}
