package daemon

import (
	"context"
	crand "crypto/rand"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/setup"
	"github.com/azurespan/azurespan/internal/base/super"
	"github.com/azurespan/azurespan/internal/core/claims"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/link/hosts"
	"github.com/azurespan/azurespan/internal/link/logsvc"
	"github.com/azurespan/azurespan/internal/link/peer"
	"github.com/azurespan/azurespan/internal/node/audit"
	"github.com/azurespan/azurespan/internal/node/claim"
	"github.com/azurespan/azurespan/internal/node/dedup"
	"github.com/azurespan/azurespan/internal/node/follow"
	"github.com/azurespan/azurespan/internal/node/front"
	"github.com/azurespan/azurespan/internal/node/gossip"
	"github.com/azurespan/azurespan/internal/node/limit"
	"github.com/azurespan/azurespan/internal/node/owner"
	"github.com/azurespan/azurespan/internal/node/router"
	"github.com/azurespan/azurespan/internal/node/waker"
)

type (
	// Daemon is one running daemon.
	Daemon struct {
		set     *setup.Settings
		name    string
		traffic map[string]*peer.Traffic // by source
		metrics *metric.Metrics
		reg     *prometheus.Registry
		trail   *audit.Trail
		hosts   *hosts.Client
		follow  *follow.Follower
		gossip  *gossip.Gossip
		owner   *owner.Owner
		orders  *engine.Client
		pacing  *limit.Limiter
		waker   *waker.Waker
		keeper  *dedup.Server
		claims  *claim.Client
		router  *router.Router
		front   *front.Server
		client  *peer.Client
		server  *peer.Server
		// applied mirrors the follower's offset without its lock, because the
		// gossip reads it under its own.
		applied atomic.Uint64
		// hostsFailing is set while the last read of the host list failed.
		hostsFailing atomic.Bool

		callers, peers, admin net.Listener
		adminSrv              *http.Server
	}

	// Addresses are where a Daemon listens.
	Addresses struct{ Caller, Peer, Admin string }
)

const (
	// engineSilence is how long an open stream may send nothing, not even the
	// comment of a waiting one, before the answer is continued elsewhere. The
	// target's gap between tokens is 79 ms.
	engineSilence = 5 * time.Second
	// controlDial bounds connecting to the platform or an engine.
	controlDial = 2 * time.Second
	// controlIdle keeps a connection for each claims stream and for the
	// control stream, which are read at the same time.
	controlIdle = 80
)

// New binds the listeners and assembles a Daemon. It fails if an address can't
// be bound.
func New(now time.Time, s *setup.Settings) (*Daemon, error) {
	d := &Daemon{
		set: s, name: s.Daemon.Name + "/" + ulid.Make().String(),
		traffic: map[string]*peer.Traffic{}, trail: audit.New(s.Limits.Decisions), reg: prometheus.NewRegistry(),
	}
	d.metrics = metric.New(d.reg)
	for _, source := range metric.Sources {
		d.traffic[source] = new(peer.Traffic)
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	secret := []byte(s.Secret.SharedSecret)
	peerTLS, callerTLS, err := tlsConfigs(s)
	if err != nil {
		return nil, err
	}
	if callerTLS != nil {
		d.callers = wrapTLS(d.callers, callerTLS)
	}
	log := logsvc.New(s.Platform.LogAddress, controlClient(d.traffic[metric.SourceLog]))
	log.Timeout = s.Timing.LogTimeout
	d.hosts = hosts.New(s.Platform.HostsAddress, controlClient(d.traffic[metric.SourceHosts]))
	d.client = peer.NewClient(secret, peerTLS, d.traffic[metric.SourcePeers])
	if d.server, err = peer.NewServer(secret, peerTLS, &service{d: d}, d.traffic[metric.SourcePeers]); err != nil {
		return nil, err
	}
	d.follow = follow.New(log, peerRecords{d}, follow.Settings{PollWait: s.Timing.LogPollWait, AppendTimeout: s.Timing.LogTimeout, SnapshotInterval: s.Timing.SnapshotInterval})
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.gossip = gossip.New(now, member.Fact{
		Name: d.name, Domain: s.Daemon.FailureDomain, Address: d.advertised(),
	}, member.Settings{SuspicionTimeout: s.Timing.SuspectAfter}, gossip.Settings{
		Interval: s.Timing.GossipInterval, CrossDomainInterval: s.Timing.CrossDomainInterval, Timeout: s.Timing.PeerTimeout, Seeds: s.Peers.Addresses,
	}, d.client, rng, d.applied.Load, d.onFacts)
	eng := engine.New(nil)
	eng.IdleTimeout = engineSilence
	d.orders = engine.New(controlClient(d.traffic[metric.SourceEngines]))
	d.pacing = limit.New(d.name, s.Daemon.FailureDomain, d.gossip)
	d.owner = owner.New(now, owner.Settings{
		Self: d.name, FailureDomain: s.Daemon.FailureDomain, ReportInterval: s.Timing.ReportInterval,
		FixedPort: fixedPort(s.Daemon.PeerAddress),
	}, d.follow, d.orders, d.gossip, d.pacing, observer{d})
	d.waker = waker.New(waker.Settings{Self: d.name, FailureDomain: s.Daemon.FailureDomain, Decided: observer{d}.Woken}, d.follow, d.gossip, d.client, d.owner)
	d.keeper = dedup.New(dedup.Settings{
		Daemon: d.name, Limits: claims.Limits{Window: s.Timing.KeyWindow}, PollWait: s.Timing.LogPollWait, AppendTimeout: s.Timing.LogTimeout,
	}, claimsLog{log}, crand.Reader)
	d.claims = claim.New(d.name, d.keeper, d.gossip, d.client)
	d.router = router.New(router.Settings{FailureDomain: s.Daemon.FailureDomain, QuarantineDuration: s.Timing.Quarantine, MaxQueued: s.Limits.Queue},
		d.follow, d.gossip, d.waker, eng, d.claims, nil, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), observer{d})
	d.front, err = front.New(front.Settings{
		Secret: secret, MaxBodyBytes: s.Limits.Body, MaxHeaderBytes: int(s.Limits.Headers),
		MaxStreams: s.Limits.Streams, MaxConnections: s.Limits.Connections, StreamBufferBytes: int(s.Limits.StreamBuffer),
		HeaderTimeout: s.Limits.HeaderTimeout, IdleTimeout: s.Limits.IdleTimeout, Metrics: d.metrics,
		OnRefusal: observer{d}.Refused,
	}, backend{d.router, d})
	if err != nil {
		return nil, err
	}
	d.adminSrv = &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	return d, nil
}

// controlClient returns an HTTP client whose bytes t counts.
func controlClient(t *peer.Traffic) *http.Client {
	dialer := net.Dialer{Timeout: controlDial}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return t.Conn(c), nil
		},
		MaxIdleConnsPerHost: controlIdle,
		IdleConnTimeout:     time.Minute,
	}}
}

// fixedPort reports whether the system does not choose the port.
func fixedPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != "0"
}

// Addresses returns where d listens.
func (d *Daemon) Addresses() Addresses {
	return Addresses{Caller: d.callers.Addr().String(), Peer: d.peers.Addr().String(), Admin: d.admin.Addr().String()}
}

// advertised returns the address at which peers call d.
func (d *Daemon) advertised() string {
	if a := d.set.Daemon.AdvertiseAddress; a != "" {
		return a
	}
	return d.peers.Addr().String()
}

// Name returns the daemon's name, which is unique to the process.
func (d *Daemon) Name() string { return d.name }

// Run serves until ctx ends, then drains: it takes no new requests, resigns
// its ownerships, finishes the requests in progress and returns.
func (d *Daemon) Run(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tree := super.New(d.name)
	tree.Add("follow", d.follow.Run)
	tree.Add("mirror", d.mirror)
	tree.Add("gossip", d.gossip.Run)
	tree.Add("peers", func(ctx context.Context) error { return d.server.Serve(ctx, d.peers) })
	tree.Add("hosts", d.watchHosts)
	tree.Add("owner", d.owner.Run)
	tree.Add("keeper", d.keeper.Serve)
	tree.Add("duties", d.duties)
	tree.Add("queue", d.router.Run)
	tree.Add("pacing", d.pacing.Run)
	tree.Add("cache-events", d.watchCache)
	tree.Add("callers", func(ctx context.Context) error { return serveHTTP(ctx, d.front.Serve(d.callers)) })
	tree.Add("admin", func(ctx context.Context) error { return serveHTTP(ctx, d.adminSrv.Serve(d.admin)) })
	a := d.Addresses()
	event.DaemonStarted.Log("daemon", d.name, "failure-domain", d.set.Daemon.FailureDomain, "caller", a.Caller, "peer", a.Peer, "admin", a.Admin)
	done := make(chan error, 1)
	go func() { done <- tree.Serve(run) }()
	select {
	case err := <-done:
		return merry.Wrap(err)
	case <-ctx.Done():
	}
	d.drain(run)
	cancel()
	_ = d.adminSrv.Close()
	<-done
	d.client.Close()
	return nil
}

// drain finishes what is in progress, within the drain timeout.
func (d *Daemon) drain(ctx context.Context) {
	event.DrainStarted.Log("daemon", d.name)
	ctx, cancel := context.WithTimeout(ctx, d.set.Timing.DrainTimeout)
	defer cancel()
	d.front.Drain()
	d.gossip.AnnounceLeaving(ctx, time.Now())
	d.keeper.Assign(nil)
	left := make(chan struct{})
	go func() {
		defer close(left)
		d.owner.ResignAll(ctx)
	}()
	err := d.front.Wait(ctx)
	d.claims.Wait(ctx)
	<-left
	if err != nil {
		event.DrainTimedOut.Log("daemon", d.name, "err", err)
		return
	}
	event.DrainFinished.Log("daemon", d.name)
}

// serveHTTP waits for the end of ctx after a server was closed, because the
// supervisor starts a component that returns earlier again.
func serveHTTP(ctx context.Context, err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return nil
	}
	return merry.Wrap(err)
}

// onFacts passes changed facts on.
func (d *Daemon) onFacts(now time.Time, changed []member.Fact) {
	d.router.OnFacts(now, changed)
	for _, f := range changed {
		if f.Kind == member.Daemon {
			d.assign()
			return
		}
	}
}

// assign tells the keeper which daemons share the claims partitions. It waits
// for news of other daemons after the start.
func (d *Daemon) assign() {
	live := d.gossip.Live("")
	for _, n := range live {
		if n == d.name {
			d.keeper.Assign(live)
			return
		}
	}
}

// mirror keeps the applied offset and the router's tables current.
func (d *Daemon) mirror(ctx context.Context) error {
	for {
		changed := d.follow.Changed()
		applied, _, _ := d.follow.Status()
		d.applied.Store(applied)
		d.router.Refresh(time.Now())
		if x := d.router.Config(); x != nil {
			d.pacing.Configure(x.Deployment)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Config returns the configuration in force, nil before the first.
func (d *Daemon) Config() *declare.Index { return d.router.Config() }

// View calls fn with the daemon's ledger.
func (d *Daemon) View(fn func(l *ctrl.State)) { d.follow.View(fn) }
