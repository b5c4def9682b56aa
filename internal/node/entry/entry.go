package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/base/super"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/lease"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/node/elect"
	"github.com/azurespan/azurespan/internal/node/feed"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/loader"
	"github.com/azurespan/azurespan/internal/node/logjob"
	"github.com/azurespan/azurespan/internal/node/relay"
	"github.com/azurespan/azurespan/internal/node/syncer"
	"github.com/azurespan/azurespan/internal/rule/plan"
)

type (
	// Settings of an Entry.
	Settings struct {
		Host, FailureDomain string
		// Callers, Readiness, Peers and Metrics are IP:port to listen on.
		Callers, Readiness, Peers, Metrics string
		FirstStart                         bool
		// Grace is the time from SIGTERM to the end of the process.
		Grace time.Duration
		// Drain is the time within which a leaving upstream gets nothing.
		Drain time.Duration
		// ConfigDeadline is the time within which a configuration is in force.
		ConfigDeadline time.Duration
		// HolderPause must lie between the orders of two holders.
		HolderPause time.Duration
		// RetryRatio, RetryWindow and RetrySlack bound the repeated sends to
		// a service, summed over all daemons.
		RetryRatio  float64
		RetryWindow time.Duration
		RetrySlack  float64
		// StoreWindow is the window of the weight store's rate.
		StoreWindow time.Duration
	}

	// Platform is what an Entry needs of the platform.
	Platform struct {
		Configuration, Upstreams feed.Source
		Holder                   elect.Topic
		Engines                  loader.Engines
		Wire                     relay.Codec
		DecodeConfig             func(b []byte) (*fleet.Config, error)
		DecodeUpstream           func(id string, b []byte) (fleet.Upstream, error)
		// ConfigKey is the key of the configuration in its topic.
		ConfigKey string
		// Boot is a clock that counts the time in which the machine is
		// suspended.
		BootClock func() time.Time
	}

	// Entry is one daemon.
	Entry struct {
		set     Settings
		plat    Platform
		now     func() time.Time
		relay   *relay.Relay
		loader  *loader.Loader
		right   *elect.Elector
		tie     *syncer.Syncer
		reg     *prometheus.Registry
		config  *configSink
		beliefs *topicView

		stopping atomic.Bool
		ready    atomic.Bool
		active   atomic.Int64
		met      *metric.Metrics
	}
)

const (
	// tenure, renewal and margin of the right to order loads: short, so that
	// a lost holder is replaced within seconds, and longer than the log is
	// slow on an ordinary day.
	tenure  = 2500 * time.Millisecond
	renewal = 600 * time.Millisecond
	margin  = 250 * time.Millisecond
	// spread of candidates for the right.
	spread = 300 * time.Millisecond
	// pauseSlack is added to the pause between two holders for orders that
	// are on their way.
	pauseSlack = 400 * time.Millisecond
	// dialTime and idleTime tune connections to upstreams.
	dialTime = 200 * time.Millisecond
	idleTime = 1500 * time.Millisecond
	// idlePerUpstream bounds kept connections to one upstream.
	idlePerUpstream = 8
	// headerTimeout bounds the head of a caller's request, callerIdle an idle
	// connection; callers leave sooner by the deployments' limits.
	headerTimeout = 10 * time.Second
	callerIdle    = 75 * time.Second
	// headerBytes bounds the head of a request.
	headerBytes = 64 << 10
	// outOfRotation is the time from SIGTERM until the platform's checks have
	// taken the daemon out: two misses at one a second.
	outOfRotation = 2500 * time.Millisecond
	// graceMargin is kept from the grace period for the end of the process.
	graceMargin = 700 * time.Millisecond
)

// New returns an Entry that doesn't run yet.
func New(set Settings, plat Platform, now func() time.Time) *Entry {
	e := &Entry{set: set, plat: plat, now: now, reg: prometheus.NewRegistry()}
	met := metric.New(e.reg)
	e.met = met
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	pool := http1.New(http1.Settings{Dial: dialTime, Idle: idleTime, PerUpstream: idlePerUpstream}, now)
	e.relay = relay.New(relay.Settings{
		FailureDomain: set.FailureDomain, RetryRatio: set.RetryRatio, RetryWindow: set.RetryWindow, RetrySlack: set.RetrySlack,
	}, plat.Wire, pool, met, rng, now)
	firstRead := now()
	if set.FirstStart {
		firstRead = firstRead.Add(firstWait)
	}
	e.beliefs = newBeliefs(set.Drain, set.ConfigDeadline, firstRead,
		func() bool { _, holds := e.right.Holds(); return holds },
		func(now time.Time, ups []fleet.Upstream) {
			e.relay.SetUpstreams(now, ups)
			e.loader.SetUpstreams(now, ups)
		})
	// The holder reaches the log through other daemons if it must; they are
	// told by the loader.
	desk := logjob.New(plat.Holder, func() { e.loader.NotifyWatchers() }, now)
	e.right = elect.New(lease.Settings{
		Self: set.Host, Address: set.Peers, TTL: tenure, Renew: renewal, Margin: margin,
		Pause: set.HolderPause + pauseSlack, MaxStagger: spread, FirstStart: set.FirstStart,
	}, desk, learned{e}, plat.BootClock)
	e.loader = loader.New(set.Host, plan.Settings{StoreWindow: set.StoreWindow}, plat.Engines, e.right, desk, e.beliefs, met, now)
	e.tie = syncer.New(set.Host, e.right, e.relay, e.beliefs, e.loader, e.loader.SetStoreAtOnce, plat.Holder, e.relay.ReportNow, now)
	e.config = &configSink{entry: e}
	return e
}

// Run serves until ctx ends, then shuts down within the grace period.
func (e *Entry) Run(ctx context.Context) error {
	callers, err := listen(e.set.Callers)
	if err != nil {
		return err
	}
	readiness, err := listen(e.set.Readiness)
	if err != nil {
		return err
	}
	peers, err := listen(e.set.Peers)
	if err != nil {
		return err
	}
	metrics, err := listen(e.set.Metrics)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tree := super.New("entry")
	tree.Add("configuration", feed.New(feed.Settings{Name: "configuration", Wait: e.beliefs.configWait, Delay: e.beliefs.configDue}, e.plat.Configuration, e.config, e.now).Run)
	register := &rosterSink{e, e.beliefs}
	tree.Add("upstreams", feed.New(feed.Settings{Name: "upstreams", Delay: e.beliefs.registerDue}, e.plat.Upstreams, register, e.now).Run)
	tree.Add("right", e.right.Run)
	tree.Add("tie", e.tie.Run)
	tree.Add("loader", e.loader.Run)
	tree.Add("relay", e.relay.Run)
	tree.Add("roster", register.run)
	tree.Add("peers", func(ctx context.Context) error { return hub.Serve(ctx, peers, e.loader, e.now) })
	tree.Add("metrics", serveHTTP(metrics, promhttp.HandlerFor(e.reg, promhttp.HandlerOpts{})))
	tree.Add("readiness", serveHTTP(readiness, http.HandlerFunc(e.serveReadiness)))
	go func() {
		if err := tree.Serve(work); err != nil && work.Err() == nil {
			event.ComponentFailed.Log("component", "entry", "cause", err.Error())
		}
	}()
	server := &http.Server{
		Handler: http.HandlerFunc(e.serveCaller), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle,
		MaxHeaderBytes: headerBytes, ErrorLog: event.StdLogger(event.CallerConnectionError),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(callers) }()
	select {
	case err := <-failed:
		return merry.Wrap(err)
	case <-ctx.Done():
	}
	e.stop(server)
	return nil
}

// observe sets the ages of what the daemon believes.
func (e *Entry) observe(now time.Time) {
	register, config := e.beliefs.ages()
	if !register.IsZero() {
		e.met.RegisterAgeSeconds.Set(now.Sub(register).Seconds())
	}
	if !config.IsZero() {
		e.met.ConfigAgeSeconds.Set(now.Sub(config).Seconds())
	}
}

// announce tells the other daemons of a read of the configuration's topic.
func (e *Entry) announce(now time.Time, p *feed.Page) {
	e.beliefs.readConfig(now, p.Next, p.End)
	if len(p.Records) > 0 {
		e.loader.NotifyWatchers()
	}
}

// stop takes the daemon out of rotation and finishes what it has.
func (e *Entry) stop(server *http.Server) {
	began := e.now()
	e.stopping.Store(true)
	event.EntryStopping.Log("active", e.active.Load(), "grace", e.set.Grace)
	e.right.Resign()
	ctx, cancel := context.WithTimeout(context.Background(), e.set.Grace-graceMargin)
	defer cancel()
	pause.For(ctx, outOfRotation)
	e.relay.Stop()
	if err := server.Shutdown(ctx); err != nil {
		event.EntryStopped.Log("took", e.now().Sub(began), "cut", e.active.Load(), "cause", err.Error())
		_ = server.Close() // the process ends anyway
		return
	}
	event.EntryStopped.Log("took", e.now().Sub(began), "cut", 0)
}

// serveCaller counts a request and passes it to the relay.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e.relay.ServeHTTP(w, r)
}

// serveReadiness answers whether callers should be sent here.
func (e *Entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	ready := !e.stopping.Load() && e.relay.Config() != nil && e.beliefs.loaded()
	if e.ready.Swap(ready) != ready {
		event.EntryReady.Log("ready", ready, "stopping", e.stopping.Load(), "configured", e.relay.Config() != nil, "upstreams", e.beliefs.loaded())
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// listen opens a listener on an IP:port.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return l, nil
}

// serveHTTP returns a component that serves h on l.
func serveHTTP(l net.Listener, h http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, ErrorLog: event.StdLogger(event.CallerConnectionError)}
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		return merry.Wrap(s.Serve(l))
	}
}
