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
	// World is what one scenario runs in.
	World struct {
		ctx  context.Context
		Seed uint64
		// secret keeps daemons of other scenarios out, which may have had the
		// same ports.
		secret   string
		site     *fleet.Site
		net      *relay.Net
		platform *platsv.Server
		engines  map[string]*engsv.Server
		desks    map[string]*servsv.Server
		// relays are those of the upstreams.
		relays map[string]*relay.Relay
		driver *mixed.Driver

		mu      sync.Mutex
		nodes   []*node
		history verify.History
		induced []string
		lacks   []string
	}

	// node is one daemon.
	node struct {
		*fleet.Proc
		domain string
		relay  *relay.Relay
		// silent is set while callers don't know of the daemon.
		silent bool
	}

	fencing string

	// Tuning changes the stand-ins of a scenario.
	Tuning struct {
		// StoreBytesPerSecond of the weight store; default 40e9, at which a
		// replica takes about half a second.
		StoreBytesPerSecond float64
		// TokensPerSecond of an engine; default 800.
		TokensPerSecond float64
		// Poison crashes an engine that runs a prompt with it.
		Poison string
		// Daemons is the number started; default 4.
		Daemons int
		// Fencing makes all engines check fencing numbers or ignore them;
		// empty for one of each in a failure domain.
		Fencing fencing
		HostLag time.Duration
	}
)

// Behaviours of engines towards old fencing numbers.
const (
	checked fencing = "checked"
	ignored fencing = "ignored"
)

// timing shortens the daemons' intervals, so that a takeover fits into a
// scenario.
var timing = []string{
	"gossip-interval = 200ms", "cross-domain-interval = 400ms", "suspect-after = 1s", "report-interval = 200ms",
	"cache-events-interval = 500ms", "hosts-interval = 300ms", "log-poll-wait = 2s", "log-timeout = 1s", "peer-timeout = 1s",
}

// start builds the platform, upstreams and daemons and publishes the
// configuration.
func start(ctx context.Context, bin, dir string, seed uint64, t Tuning) (*World, error) {
	if t.StoreBytesPerSecond == 0 {
		t.StoreBytesPerSecond = 40e9
	}
	if t.Daemons == 0 {
		t.Daemons = 4
	}
	if t.HostLag == 0 {
		t.HostLag = 200 * time.Millisecond
	}
	w := &World{
		ctx: ctx, Seed: seed, secret: crand.Text(), net: relay.New(), engines: map[string]*engsv.Server{}, desks: map[string]*servsv.Server{}, relays: map[string]*relay.Relay{},
		site: &fleet.Site{Fleet: fleet.New(bin, dir), Deployment: deployment(), Timing: timing},
	}
	w.driver = mixed.New(w.callable)
	w.history = verify.History{
		ReplicaLimits: limits(w.site.Deployment), Targets: targets(w.site.Deployment),
		TerminatedAt: map[string]time.Time{}, LeavingSince: map[string]time.Time{},
	}
	if err := w.standins(t); err != nil {
		return w, err
	}
	for i := range t.Daemons {
		if _, err := w.daemon(fmt.Sprintf("entry-%d", i+1), domains[i%len(domains)]); err != nil {
			return w, err
		}
	}
	if err := w.site.Publish(ctx, "haneul"); err != nil {
		return w, err
	}
	for _, n := range w.nodes {
		if err := w.ready(n); err != nil {
			return w, err
		}
	}
	return w, w.settled()
}

// standins starts the platform and the upstreams, each behind a relay.
func (w *World) standins(t Tuning) error {
	var err error
	w.platform, err = platsv.Start("", platsv.Config{HostListLag: t.HostLag, StoreBytesPerSecond: t.StoreBytesPerSecond, StoreLoadsPerSecond: 8})
	if err != nil {
		return err
	}
	w.site.Platform = &fleet.Proc{Name: "platform", Addresses: map[string]string{"address": w.platform.Address()}}
	for i := range w.site.Deployment.Upstreams {
		u := &w.site.Deployment.Upstreams[i]
		if u.Service != desk && t.Fencing != "" {
			u.IgnoresFencing = t.Fencing == ignored
		}
		var address string
		if u.Service == desk {
			s, err := servsv.Start("", servsv.Config{Name: u.Name})
			if err != nil {
				return err
			}
			w.desks[u.Name], address = s, s.Address()
		} else {
			s, err := engsv.Start("", engsv.Config{
				Name: u.Name, MemoryBytes: u.MemoryBytes, Sequences: u.Sequences, TokensPerSecond: t.TokensPerSecond,
				IgnoresFencing: u.IgnoresFencing, Store: w.site.URL(), ReportLag: 200 * time.Millisecond,
				CacheEventLag: 500 * time.Millisecond, CacheEventDropInterval: 10, Poison: t.Poison,
				DiskLoad: 300 * time.Millisecond, MemoryLoad: 100 * time.Millisecond,
			})
			if err != nil {
				return err
			}
			w.engines[u.Name], address = s, s.Address()
		}
		r, err := w.behind(u.Name, "", address)
		if err != nil {
			return err
		}
		w.relays[u.Name], u.Address = r, r.Address()
	}
	return nil
}

func (w *World) behind(name, from, target string) (*relay.Relay, error) {
	r, err := w.net.Listen(name, from)
	if err == nil {
		r.Target(target)
	}
	return r, err
}

// daemon starts a daemon whose peers reach it through a relay.
func (w *World) daemon(host, domain string) (*node, error) {
	r, err := w.net.Listen(host, "")
	if err != nil {
		return nil, err
	}
	log, err := w.behind("log", host, w.platform.Address())
	if err != nil {
		return nil, err
	}
	hosts, err := w.behind("hosts", host, w.platform.Address())
	if err != nil {
		return nil, err
	}
	d := fleet.Daemon{
		Host: host, Domain: domain, Platform: "http://" + log.Address(), Hosts: "http://" + hosts.Address(),
		Advertise: r.Address(), Timing: timing, Secret: w.secret,
	}
	w.mu.Lock()
	for _, n := range w.nodes {
		d.Seeds = append(d.Seeds, n.relay.Address())
	}
	w.mu.Unlock()
	p, err := w.site.RunDaemon(w.ctx, d)
	if err != nil {
		return nil, err
	}
	w.net.Node(host, p.Pid())
	r.Target(p.Addresses["peer"])
	n := &node{Proc: p, domain: domain, relay: r}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	w.platform.SetHost(platsv.Host{Name: host, Address: r.Address(), FailureDomain: domain, State: "live"})
	return n, nil
}

// callable returns the daemons that callers send to.
func (w *World) callable() []*fleet.Proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*fleet.Proc
	for _, n := range w.nodes {
		if !n.silent {
			out = append(out, n.Proc)
		}
	}
	return out
}

// hide tells callers whether to send to a daemon.
func (w *World) hide(n *node, hidden bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.silent = hidden
}

// ready waits until a daemon answers readiness with success.
func (w *World) ready(n *node) error {
	return w.until(fmt.Sprintf("%s is not ready", n.Name), 8*time.Second, func() bool {
		resp, err := http.Get("http://" + n.Addresses["caller"] + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// settled waits until the models of the background load are loaded, so that
// each scenario starts with owners for all upstreams.
func (w *World) settled() error {
	models := []string{solo, pair, trio}
	errs := make([]error, len(models))
	var wg sync.WaitGroup
	for i, m := range models {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(w.Seed, 90+uint64(i)))
			p := mixed.Plan{Kind: verify.Stream, Model: m, Prompt: "warm up", Tokens: 8, Attempts: 20}
			if got := w.driver.Do(w.ctx, rng, p); !got.Answered {
				errs[i] = &lack{fmt.Sprintf("%s was not served before the faults: %s", m, got.Refusal)}
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// until polls cond, and fails with text after limit.
func (w *World) until(text string, limit time.Duration, cond func() bool) error {
	end := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(end) || w.ctx.Err() != nil {
			return &lack{text}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// close ends everything that the World started.
func (w *World) close() {
	w.net.Heal()
	w.site.KillAll()
	w.net.Close()
	for _, e := range w.engines {
		e.Kill()
	}
	for _, s := range w.desks {
		s.Kill()
	}
	if w.platform != nil {
		w.platform.Kill()
	}
}

// collect completes the history with the stand-ins' own records.
func (w *World) collect() *verify.History {
	h := w.history
	for _, u := range w.site.Deployment.Upstreams {
		if e := w.engines[u.Name]; e != nil {
			h.Engines = append(h.Engines, verify.Engine{Name: u.Name, MemoryBytes: u.MemoryBytes, Records: e.Records()})
		}
		if s := w.desks[u.Name]; s != nil {
			h.Services = append(h.Services, verify.Service{Name: u.Name, Entries: s.Entries()})
		}
	}
	h.Requests = w.driver.Requests()
	return &h
}

// lack reports progress that was expected and not made.
type lack struct{ text string }

// Error says what did not happen.
func (l *lack) Error() string { return l.text }
