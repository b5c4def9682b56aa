package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/super"
	"github.com/azurespan/azurespan/internal/core/blame"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/lease"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/link/intake"
	"github.com/azurespan/azurespan/internal/link/tunnel"
	"github.com/azurespan/azurespan/internal/node/dialer"
	"github.com/azurespan/azurespan/internal/node/elect"
	"github.com/azurespan/azurespan/internal/node/eras"
	"github.com/azurespan/azurespan/internal/node/feed"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/loader"
	"github.com/azurespan/azurespan/internal/node/loans"
	"github.com/azurespan/azurespan/internal/node/logjob"
	"github.com/azurespan/azurespan/internal/node/olog"
	"github.com/azurespan/azurespan/internal/node/qlog"
	"github.com/azurespan/azurespan/internal/node/relay"
	"github.com/azurespan/azurespan/internal/node/shelf"
	"github.com/azurespan/azurespan/internal/node/syncer"
	"github.com/azurespan/azurespan/internal/rule/issuer"
	"github.com/azurespan/azurespan/internal/rule/paths"
	"github.com/azurespan/azurespan/internal/rule/plan"
)

type (
	// Settings of an Entry.
	Settings struct {
		Host, FailureDomain string
		// Callers, Readiness, Peers and Metrics are the IP:port to listen on
		// for each.
		Callers, Readiness, Peers, Metrics string
		// Forward is the IP:port to listen on for other daemons' connections to
		// upstreams.
		Forward    string
		FirstStart bool
		// Grace is the time from SIGTERM to the end of the process.
		Grace time.Duration
		// Drain is the time within which a leaving upstream gets no more
		// requests.
		Drain time.Duration
		// ConfigDeadline is the time within which a new configuration must be
		// in force.
		ConfigDeadline time.Duration
		// HolderPause is the minimum time between the orders of two holders.
		HolderPause time.Duration
		// RetryRatio, RetryWindow and RetrySlack bound the retries to a
		// service, summed over all daemons.
		RetryRatio  float64
		RetryWindow time.Duration
		RetrySlack  float64
		// StoreWindow is the time window of the weight store's rate limit.
		StoreWindow time.Duration
		// Processors is the host's processor time in cores, and LinkBytes what its network
		// link carries a second; 0 if unknown.
		Processors, LinkBytes float64
		// Memory is the memory of the process in bytes, and Descriptors its number of
		// file descriptors; 0 stands for a default.
		Memory, Descriptors int
		// RevokeTime is the time after which no daemon may serve a key that has
		// been removed, whether or not it reaches the log; 0 if there is no such
		// bound.
		RevokeTime time.Duration
		// Allowances are the bounds on the use of accounts.
		Allowances issuer.Settings
	}

	// Platform is an Entry's interface to the platform.
	Platform struct {
		Configuration, Upstreams feed.Source
		Holder                   elect.Topic
		Quarantine               qlog.Topic
		Origins                  olog.Topic
		Engines                  loader.Engines
		Wire                     relay.Codec
		DecodeConfig             func(b []byte) (*fleet.Config, error)
		DecodeUpstream           func(id string, b []byte) (fleet.Upstream, error)
		// ConfigKey is the key of the configuration in its topic.
		ConfigKey string
		// BootClock includes the time in which the machine is suspended.
		BootClock func() time.Time
		// DialUpstream establishes a connection to an upstream; nil stands for
		// http1.DialTCP.
		DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	}

	// Entry is the daemon of an entry host.
	Entry struct {
		settings Settings
		platform Platform
		now      func() time.Time
		relay    *relay.Relay
		crashes  *poison.Table
		blame    *blame.Table
		origins  *origin.Table
		// paths holds what is known of the network paths to upstreams, and forwarder
		// serves daemons that have none.
		paths      *paths.Table
		forwarder  *tunnel.Server
		olog       *olog.Store
		loader     *loader.Loader
		elector    *elect.Elector
		dispatcher *logjob.Dispatcher
		syncer     *syncer.Syncer
		shelf      *shelf.Shelf
		reg        *prometheus.Registry
		config     *configSink
		// configured is closed when the first configuration is in force.
		configured chan struct{}
		topics     *topicView
		eras       *eras.Tracker
		guards     *guards

		stopping atomic.Bool
		ready    atomic.Bool
		active   atomic.Int64
		metrics  *metric.Metrics
	}
)

const (
	// leaseTTL, renewInterval and leaseMargin are short enough that a failed
	// holder is replaced within seconds, and longer than the log's usual
	// latency peaks.
	leaseTTL      = 2500 * time.Millisecond
	renewInterval = 600 * time.Millisecond
	leaseMargin   = 250 * time.Millisecond
	// maxStagger bounds the stagger of the candidates for the lease.
	maxStagger = 300 * time.Millisecond
	// ampleProcessors is the processor time, in cores, from which a host is a candidate for
	// the lease without a handicap: at 75 daemons, the holder spends some 0.15 cores on
	// their calls, and several times that while engines crash. A host with half of it waits
	// for handicapStep longer, at most maxHandicap: candidates notice the loss of a holder
	// up to 0.2 s apart.
	ampleProcessors = 0.75
	handicapStep    = 300 * time.Millisecond
	maxHandicap     = 600 * time.Millisecond
	// pauseSlack is added to HolderPause for orders in transit.
	pauseSlack = 400 * time.Millisecond
	// dialTimeout and upstreamIdleTimeout apply to connections to upstreams;
	// dialTimeout leaves time for a forwarder after the daemon's own path has failed.
	dialTimeout         = 450 * time.Millisecond
	upstreamIdleTimeout = 1500 * time.Millisecond
	// idlePerUpstream bounds the idle connections to one upstream.
	idlePerUpstream = 8
	// headerTimeout bounds the time until a request's header is complete, and
	// callerIdleTimeout the time that a connection is idle. The deployments'
	// limits make callers close connections earlier.
	headerTimeout     = 10 * time.Second
	callerIdleTimeout = 75 * time.Second
	// headerBytes bounds a request's header.
	headerBytes = 64 << 10
	// rotationDelay is the time from SIGTERM until the platform has taken the
	// daemon out of rotation: after two failed checks at one a second.
	rotationDelay = 2500 * time.Millisecond
	// maxSpread bounds the delay after which a daemon reads a topic anew when the
	// log has returned from a copy, and maxConfigSpread that for the configuration, a
	// record that all read at once after each change, too. 300 daemons without contact
	// make 900 calls for three topics.
	maxSpread       = 500 * time.Millisecond
	maxConfigSpread = 100 * time.Millisecond
	// maxSpreadInContact replaces maxSpread for topics whose content the holder tells.
	// It tells the register only after the settle time.
	maxSpreadInContact = settleTime + time.Second
	// registerTTL is the age of the register up to which an upstream runs as it is
	// registered: three reads of the holder, which orders the load that an engine needs
	// after a start.
	registerTTL = 3 * holderReadInterval
	// maxConfigPrecedence bounds the time by which the first read of the crash histories
	// is put off for that of the configuration.
	maxConfigPrecedence = time.Second
	// contactTTL is the age of the holder's last reply up to which a daemon is in
	// contact with it.
	contactTTL = 1500 * time.Millisecond
	// tunnelCheckInterval is the interval at which a stopping daemon checks whether
	// connections are still forwarded.
	tunnelCheckInterval = 20 * time.Millisecond
	// graceMargin is the part of the grace period that is reserved for the end
	// of the process.
	graceMargin = 700 * time.Millisecond
	// intakeTimeout bounds the time in which a daemon that is out of rotation accepts
	// the connections that the system has completed.
	intakeTimeout = time.Second
	// endTimeout is how long the callers of requests that were ended are waited for,
	// and endCheckInterval the interval at which they are counted.
	endTimeout       = 300 * time.Millisecond
	endCheckInterval = 20 * time.Millisecond
	// quietTime is the time without a request after which a daemon that is out of
	// rotation reads no further ones: many round trips to callers.
	quietTime = 200 * time.Millisecond
	// releaseMargin is the part of the grace period before whose end the lease is
	// released, and releaseTimeout bounds the wait for the log's answer.
	releaseMargin  = 1500 * time.Millisecond
	releaseTimeout = time.Second
	// releaseWait is how long a released lease is left to a process that is being
	// restarted.
	releaseWait = 2 * time.Second
)

// New returns an Entry that Run starts.
func New(settings Settings, platform Platform, now func() time.Time) *Entry {
	e := &Entry{settings: settings, platform: platform, now: now, reg: prometheus.NewRegistry(), configured: make(chan struct{})}
	metrics := metric.New(e.reg)
	e.metrics = metrics
	countOmitted(metrics)
	e.guards = newGuards(settings, e.limits, metrics)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e.paths = paths.New(settings.Forward, settings.FailureDomain)
	if platform.DialUpstream == nil {
		platform.DialUpstream = http1.DialTCP
	}
	dial := dialer.New(e.paths, platform.DialUpstream, metrics, now)
	pool := http1.New(http1.Settings{DialTimeout: dialTimeout, IdleTimeout: upstreamIdleTimeout, MaxIdlePerUpstream: idlePerUpstream, Dial: dial.Dial}, now)
	e.crashes = poison.New(poison.Settings{}, rng.Uint64())
	e.blame = blame.New(e.crashes)
	e.origins = origin.New(settings.HolderPause)
	e.eras = eras.New(metrics, now)
	e.olog = olog.New(settings.Host, platform.Origins, e.origins, holderView{e}, e.eras, now, platform.BootClock)
	e.eras.Subscribe(e.olog.NoticeEra)
	e.relay = relay.New(relay.Settings{
		FailureDomain: settings.FailureDomain, RetryRatio: settings.RetryRatio, RetryWindow: settings.RetryWindow, RetrySlack: settings.RetrySlack,
		ConfigTTL: time.Duration(maxAgeShare * float64(settings.ConfigDeadline)), KeyTTL: time.Duration(maxAgeShare * float64(settings.RevokeTime)),
		Freshness:   func() fleet.Freshness { return e.topics.freshness() },
		RegisterAge: func() time.Duration { return e.topics.registerAge(e.now()) }, RegisterTTL: registerTTL,
		BodyMemory: e.guards.bounds.Responses, Account: e.guards.bounds.Account, Allowances: settings.Allowances, BootClock: platform.BootClock,
	}, platform.Wire, pool, e.crashes, e.blame, e.olog, metrics, rng, now)
	e.forwarder = tunnel.New(forwarding{e.relay, dial}, now)
	earliestRead := now()
	if settings.FirstStart {
		earliestRead = earliestRead.Add(firstHolderWait)
	}
	e.topics = newTopicView(settings.Drain, settings.ConfigDeadline, settings.RevokeTime, earliestRead, platform.BootClock,
		func() bool { _, holds := e.elector.Holds(); return holds },
		func(now time.Time, ups []fleet.Upstream) {
			e.registerVersions(now, ups)
			e.relay.SetUpstreams(now, ups)
			e.loader.SetUpstreams(now, ups)
		},
		func(knownAt time.Time, n int) {
			for range n {
				e.metrics.DrainLagSeconds.Observe(e.now().Sub(knownAt).Seconds())
			}
		})
	// The holder calls the log through other daemons if it can't reach it. The
	// loader's replies bring them the jobs.
	e.dispatcher = logjob.New(platform.Holder, func() { e.loader.NotifyWatchers() }, now)
	e.elector = elect.New(lease.Settings{
		Self: settings.Host, Address: settings.Peers, TTL: leaseTTL, Renew: renewInterval, Margin: leaseMargin,
		Pause: settings.HolderPause + pauseSlack, ReleaseWait: min(releaseWait, settings.HolderPause+pauseSlack), MaxStagger: maxStagger, Handicap: handicap(settings.Processors), FirstStart: settings.FirstStart,
	}, e.dispatcher, storeEstimate{e}, e.eras, platform.BootClock)
	e.eras.Subscribe(e.elector.NoticeEra)
	e.topics.eras = e.eras
	e.eras.Subscribe(func(time.Time, int64) eras.Loss { return e.topics.positionsInForce() })
	e.loader = loader.New(settings.Host, settings.LinkBytes, plan.Settings{StoreWindow: settings.StoreWindow}, platform.Engines, e.elector, e.dispatcher, e.topics, e.crashes, e.origins, metrics, settings.Allowances, now, platform.BootClock)
	e.shelf = shelf.New(settings.Peers, now, platform.BootClock)
	e.syncer = syncer.New(settings.Host, e.elector, e.relay, e.topics, e.crashes, e.origins, e.paths, e.shelf, e.loader, e.loader.SetStoreAtOnce, platform.Holder, syncer.Dial, e.relay.ReportNow, now, platform.BootClock)
	e.topics.daemons = func() int { return e.syncer.Daemons() }
	e.topics.keys = func() bool {
		cfg := e.relay.Config()
		return cfg != nil && len(cfg.Accounts) > 0
	}
	e.config = &configSink{entry: e}
	return e
}

// handicap returns how much later than others a host with so many cores tries to acquire
// the lease, 0 if they aren't known.
func handicap(processors float64) time.Duration {
	if processors <= 0 || processors >= ampleProcessors {
		return 0
	}
	return min(time.Duration((ampleProcessors/processors-1)*float64(handicapStep)), maxHandicap)
}

// Run serves until ctx ends and then shuts down within the grace period.
func (e *Entry) Run(ctx context.Context) error {
	callers, err := listen(e.settings.Callers)
	if err != nil {
		return err
	}
	readiness, err := listen(e.settings.Readiness)
	if err != nil {
		return err
	}
	peers, err := listen(e.settings.Peers)
	if err != nil {
		return err
	}
	metrics, err := listen(e.settings.Metrics)
	if err != nil {
		return err
	}
	forward, err := listen(e.settings.Forward)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tree := super.New("entry")
	e.addState(tree)
	tree.Add("relay", e.relay.Run)
	tree.Add("peers", func(ctx context.Context) error {
		return hub.Serve(ctx, e.guards.control.Wrap(peers), e.loader, e.shelf, e.relay, e.now)
	})
	tree.Add("forward", serveHTTP(forward, e.guards.forward, e.forwarder))
	tree.Add("metrics", serveHTTP(metrics, e.guards.metrics, e.operatorHandler()))
	tree.Add("readiness", serveHTTP(readiness, e.guards.readiness, http.HandlerFunc(e.serveReadiness)))
	e.guards.addTo(tree)
	go func() {
		if err := tree.Serve(work); err != nil && work.Err() == nil {
			event.ComponentFailed.Log("component", "entry", "cause", err.Error())
		}
	}()
	server := &http.Server{
		Handler: http.HandlerFunc(e.serveCaller), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: headerBytes, ErrorLog: event.StdLogger(event.CallerConnectionError),
	}
	e.guards.callers.Attach(server)
	failed := make(chan error, 1)
	accepting := intake.New(callers)
	go func() { failed <- server.Serve(e.guards.callers.Wrap(accepting)) }()
	select {
	case err := <-failed:
		return merry.Wrap(err)
	case <-ctx.Done():
	}
	e.stop(server, accepting)
	return nil
}

// limits returns those of the configuration, zero while there is none.
func (e *Entry) limits() fleet.Limits {
	if cfg := e.relay.Config(); cfg != nil {
		return cfg.Limits
	}
	return fleet.Limits{}
}

// registerVersions records the software versions of the registered upstreams.
func (e *Entry) registerVersions(now time.Time, ups []fleet.Upstream) {
	for _, u := range ups {
		e.origins.Registered(now, u.Service, u.Version)
	}
}

// addState adds the components that follow the log and the holder. They don't
// listen.
func (e *Entry) addState(tree *super.Tree) {
	tree.Add("configuration", feed.New(feed.Settings{
		Name: "configuration", Wait: e.topics.configWait, Delay: e.topics.configDelay, Eras: e.eras, Spread: e.spread("configuration", maxConfigSpread, maxConfigSpread),
	}, e.platform.Configuration, e.config, e.now).Run)
	register := &registerSink{entry: e, topics: e.topics}
	tree.Add("upstreams", feed.New(feed.Settings{
		Name: "upstreams", Delay: e.topics.registerDelay, Eras: e.eras, Spread: e.spread("upstreams", maxSpread, maxSpreadInContact),
	}, e.platform.Upstreams, register, e.now).Run)
	tree.Add("right", e.elector.Run)
	tree.Add("tie", e.syncer.Run)
	tree.Add("loader", e.loader.Run)
	tree.Add("loans", loans.New(e.settings.Host, e.relay, e.relay.Unmetered, loans.Dial, e.metrics, e.now).Run)
	quarantine := qlog.New(e.settings.Host, e.platform.Quarantine, e.crashes, e.blame, holderView{e}, e.eras, e.spread("quarantine", maxSpread, maxSpreadInContact), e.now)
	e.eras.Subscribe(quarantine.NoticeEra)
	tree.Add("quarantine-read", func(ctx context.Context) error {
		// The configuration goes first: without it nothing is served, and after a start
		// of all daemons they read both over the same links.
		select {
		case <-e.configured:
		case <-time.After(maxConfigPrecedence):
		case <-ctx.Done():
			return ctx.Err()
		}
		return quarantine.RunFeed(ctx)
	})
	tree.Add("quarantine-write", quarantine.Run)
	tree.Add("origins", e.olog.Run)
	tree.Add("roster", register.expireLoop)
}

// spread returns the delay after which this daemon reads a topic anew when the log
// has returned from a copy: none for the holder, on whose reads the others rely, and
// up to inContact for a daemon that hears from the holder, alone for one that doesn't.
func (e *Entry) spread(topic string, alone, inContact time.Duration) func() time.Duration {
	return func() time.Duration {
		limit := alone
		if _, holds := e.elector.Holds(); holds {
			return 0
		}
		if e.now().Sub(e.relay.LastReply()) < contactTTL {
			limit = inContact
		}
		return eras.Spread(e.settings.Host, topic, limit)
	}
}

// setGauges sets the gauges of the topics' ages and of open tunnels.
func (e *Entry) setGauges(now time.Time) {
	e.metrics.OpenTunnels.Set(float64(e.forwarder.Open()))
	register, config := e.topics.currentAt()
	if !register.IsZero() {
		e.metrics.RegisterAgeSeconds.Set(now.Sub(register).Seconds())
	}
	if !config.IsZero() {
		e.metrics.ConfigAgeSeconds.Set(now.Sub(config).Seconds())
	}
}

// configTopicRead records a read of the configuration's topic and notifies the
// other daemons of new records.
func (e *Entry) configTopicRead(p *feed.Page) {
	e.topics.configRead(p.EndAt, p.Next, p.End)
	if len(p.Records) > 0 {
		e.loader.NotifyWatchers()
	}
}
