package faults

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/check/fleet"
	"github.com/azurespan/azurespan/internal/check/mixed"
	"github.com/azurespan/azurespan/internal/check/relay"
	"github.com/azurespan/azurespan/internal/check/verify"
	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/platform/platsv"
	"github.com/azurespan/azurespan/standin/service/servsv"
)

type (
	// Env is the test environment of one scenario: the simulated platform and
	// upstreams, the daemons, the relays between them, and what was observed.
	Env struct {
		ctx  context.Context
		Seed uint64
		// secret is unique to the scenario, so that daemons of other scenarios
		// that had the same ports before are rejected.
		secret        string
		site          *fleet.Site
		net           *relay.Network
		platform      *platsv.Server
		engines       map[string]*engsv.Server
		plainServices map[string]*servsv.Server
		// upstreamRelays holds the relay of each upstream by its name.
		upstreamRelays map[string]*relay.Relay
		driver         *mixed.Driver

		mu          sync.Mutex
		nodes       []*node
		history     verify.History
		notedFaults []string
		// unmet describes the expectations that were not met.
		unmet []string
	}

	// node is one daemon.
	node struct {
		*fleet.Proc
		domain string
		relay  *relay.Relay
		// hidden is set while callers do not send to the daemon.
		hidden bool
	}

	// fencingMode is how engines treat outdated fencing tokens.
	fencingMode string

	// Setup overrides the defaults of a scenario's platform and upstreams.
	Setup struct {
		// StoreBytesPerSecond is the bandwidth of the weight store; default
		// 40e9, at which loading a replica takes about half a second.
		StoreBytesPerSecond float64
		// TokensPerSecond is the speed of an engine; default 800.
		TokensPerSecond float64
		// CrashPrompt is a text that crashes an engine when a prompt contains
		// it.
		CrashPrompt string
		// Daemons is the number of daemons to start; default 4.
		Daemons int
		// Fencing applies to all engines. If it is empty, each failure domain
		// has one engine that checks fencing tokens and one that ignores them.
		Fencing fencingMode
		// HostListLag is the delay after which the host list shows a change;
		// default 200 ms.
		HostListLag time.Duration
	}
)

const (
	fencingChecked fencingMode = "checked"
	fencingIgnored fencingMode = "ignored"
)

// Defaults of Setup.
const (
	defaultStoreBytesPerSecond = 40e9
	defaultDaemons             = 4
	defaultHostListLag         = 200 * time.Millisecond
)

// readyTimeout bounds the time until a started daemon reports that it is ready.
const readyTimeout = 8 * time.Second

// pollInterval is the interval at which waitUntil evaluates its condition.
const pollInterval = 20 * time.Millisecond

// daemonTiming shortens the daemons' intervals so that a change of owner
// completes within a scenario.
var daemonTiming = []string{
	"gossip-interval = 200ms", "cross-domain-interval = 400ms", "suspect-after = 1s", "report-interval = 200ms",
	"cache-events-interval = 500ms", "hosts-interval = 300ms", "log-poll-wait = 2s", "log-timeout = 1s", "peer-timeout = 1s",
}

// startEnv starts the platform, the upstreams and the daemons, publishes the
// configuration, and waits until the models of the background load are served.
// The Env is valid for close even if an error is returned.
func startEnv(ctx context.Context, bin, dir string, seed uint64, setup Setup) (*Env, error) {
	if setup.StoreBytesPerSecond == 0 {
		setup.StoreBytesPerSecond = defaultStoreBytesPerSecond
	}
	if setup.Daemons == 0 {
		setup.Daemons = defaultDaemons
	}
	if setup.HostListLag == 0 {
		setup.HostListLag = defaultHostListLag
	}
	env := &Env{
		ctx: ctx, Seed: seed, secret: crand.Text(), net: relay.New(), engines: map[string]*engsv.Server{}, plainServices: map[string]*servsv.Server{}, upstreamRelays: map[string]*relay.Relay{},
		site: &fleet.Site{Fleet: fleet.New(bin, dir), Deployment: deployment(), Timing: daemonTiming},
	}
	env.driver = mixed.New(env.callable)
	env.history = verify.History{
		ReplicaLimits: replicaLimits(env.site.Deployment), Targets: versionTargets(env.site.Deployment),
		TerminatedAt: map[string]time.Time{}, LeavingSince: map[string]time.Time{},
	}
	if err := env.startStandins(setup); err != nil {
		return env, err
	}
	for i := range setup.Daemons {
		if _, err := env.startDaemon(fmt.Sprintf("entry-%d", i+1), domains[i%len(domains)]); err != nil {
			return env, err
		}
	}
	if err := env.site.Publish(ctx, "haneul"); err != nil {
		return env, err
	}
	for _, n := range env.nodes {
		if err := env.awaitReady(n); err != nil {
			return env, err
		}
	}
	return env, env.awaitModelsServed()
}

// startStandins starts the simulated platform and the simulated upstreams, the
// latter each behind a relay.
func (env *Env) startStandins(setup Setup) error {
	var err error
	env.platform, err = platsv.Start("", platsv.Config{HostListLag: setup.HostListLag, StoreBytesPerSecond: setup.StoreBytesPerSecond, StoreLoadsPerSecond: 8})
	if err != nil {
		return err
	}
	env.site.Platform = &fleet.Proc{Name: "platform", Addresses: map[string]string{"address": env.platform.Address()}}
	for i := range env.site.Deployment.Upstreams {
		u := &env.site.Deployment.Upstreams[i]
		if u.Service != bookingService && setup.Fencing != "" {
			u.IgnoresFencing = setup.Fencing == fencingIgnored
		}
		var address string
		if u.Service == bookingService {
			s, err := servsv.Start("", servsv.Config{Name: u.Name})
			if err != nil {
				return err
			}
			env.plainServices[u.Name], address = s, s.Address()
		} else {
			s, err := engsv.Start("", engsv.Config{
				Name: u.Name, MemoryBytes: u.MemoryBytes, Sequences: u.Sequences, TokensPerSecond: setup.TokensPerSecond,
				IgnoresFencing: u.IgnoresFencing, Store: env.site.URL(), ReportLag: 200 * time.Millisecond,
				CacheEventLag: 500 * time.Millisecond, CacheEventDropInterval: 10, Poison: setup.CrashPrompt,
				DiskLoad: 300 * time.Millisecond, MemoryLoad: 100 * time.Millisecond,
			})
			if err != nil {
				return err
			}
			env.engines[u.Name], address = s, s.Address()
		}
		r, err := env.startRelay(u.Name, "", address)
		if err != nil {
			return err
		}
		env.upstreamRelays[u.Name], u.Address = r, r.Address()
	}
	return nil
}

// startRelay starts a relay that forwards to target, as Network.Listen does.
func (env *Env) startRelay(name, from, target string) (*relay.Relay, error) {
	r, err := env.net.Listen(name, from)
	if err == nil {
		r.SetTarget(target)
	}
	return r, err
}

// startDaemon starts a daemon that reaches the platform through relays and that
// its peers reach through a relay.
func (env *Env) startDaemon(host, domain string) (*node, error) {
	r, err := env.net.Listen(host, "")
	if err != nil {
		return nil, err
	}
	log, err := env.startRelay("log", host, env.platform.Address())
	if err != nil {
		return nil, err
	}
	hosts, err := env.startRelay("hosts", host, env.platform.Address())
	if err != nil {
		return nil, err
	}
	d := fleet.Daemon{
		Host: host, Domain: domain, Platform: "http://" + log.Address(), Hosts: "http://" + hosts.Address(),
		Advertise: r.Address(), Timing: daemonTiming, Secret: env.secret,
	}
	env.mu.Lock()
	for _, n := range env.nodes {
		d.Seeds = append(d.Seeds, n.relay.Address())
	}
	env.mu.Unlock()
	p, err := env.site.RunDaemon(env.ctx, d)
	if err != nil {
		return nil, err
	}
	env.net.RegisterProcess(host, p.Pid())
	r.SetTarget(p.Addresses["peer"])
	n := &node{Proc: p, domain: domain, relay: r}
	env.mu.Lock()
	env.nodes = append(env.nodes, n)
	env.mu.Unlock()
	env.platform.SetHost(platsv.Host{Name: host, Address: r.Address(), FailureDomain: domain, State: "live"})
	return n, nil
}

// callable returns the daemons to which callers send requests.
func (env *Env) callable() []*fleet.Proc {
	env.mu.Lock()
	defer env.mu.Unlock()
	var out []*fleet.Proc
	for _, n := range env.nodes {
		if !n.hidden {
			out = append(out, n.Proc)
		}
	}
	return out
}

// setHidden excludes a daemon from those to which callers send requests, or
// includes it again.
func (env *Env) setHidden(n *node, hidden bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	n.hidden = hidden
}

// awaitReady waits until the readiness endpoint of a daemon reports success.
func (env *Env) awaitReady(n *node) error {
	return env.waitUntil(fmt.Sprintf("%s is not ready", n.Name), readyTimeout, func() bool {
		resp, err := http.Get("http://" + n.Addresses["caller"] + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// awaitModelsServed sends a request to each model of the background load until
// it is answered, so that each scenario starts with the models loaded and with
// an owner for each upstream.
func (env *Env) awaitModelsServed() error {
	models := []string{oneReplicaModel, twoReplicaModel, threeReplicaModel}
	errs := make([]error, len(models))
	var wg sync.WaitGroup
	for i, m := range models {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(env.Seed, warmUpSequence+uint64(i)))
			p := mixed.Plan{Kind: verify.Stream, Model: m, Prompt: "warm up", Tokens: 8, Attempts: 20}
			if got := env.driver.Do(env.ctx, rng, p); !got.Answered {
				errs[i] = &unmetError{fmt.Sprintf("%s was not served before the faults: %s", m, got.Refusal)}
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// waitUntil polls cond and returns an error with text if cond is still false
// after limit.
func (env *Env) waitUntil(text string, limit time.Duration, cond func() bool) error {
	end := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(end) || env.ctx.Err() != nil {
			return &unmetError{text}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// close stops everything that the Env started.
func (env *Env) close() {
	env.net.Heal()
	env.site.KillAll()
	env.net.Close()
	for _, e := range env.engines {
		e.Kill()
	}
	for _, s := range env.plainServices {
		s.Kill()
	}
	if env.platform != nil {
		env.platform.Kill()
	}
}

// completeHistory returns the history with the requests of the callers and with
// the records of the simulated engines and services.
func (env *Env) completeHistory() *verify.History {
	h := env.history
	for _, u := range env.site.Deployment.Upstreams {
		if e := env.engines[u.Name]; e != nil {
			h.Engines = append(h.Engines, verify.Engine{Name: u.Name, MemoryBytes: u.MemoryBytes, Records: e.Records()})
		}
		if s := env.plainServices[u.Name]; s != nil {
			h.Services = append(h.Services, verify.Service{Name: u.Name, Entries: s.Entries()})
		}
	}
	h.Requests = env.driver.Requests()
	return &h
}

// unmetError reports an expectation of a scenario that was not met.
type unmetError struct{ text string }

// Error describes what did not happen.
func (l *unmetError) Error() string { return l.text }
