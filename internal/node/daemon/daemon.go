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
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/link/guard"
	"github.com/azurespan/azurespan/internal/link/hosts"
	"github.com/azurespan/azurespan/internal/link/logsvc"
	"github.com/azurespan/azurespan/internal/link/peer"
	"github.com/azurespan/azurespan/internal/node/audit"
	"github.com/azurespan/azurespan/internal/node/bounds"
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
	// Daemon is a daemon with all its components.
	Daemon struct {
		settings      *setup.Settings
		name          string
		traffic       map[string]*peer.Traffic // by source
		metrics       *metric.Metrics
		registry      *prometheus.Registry
		trail         *audit.Trail
		hosts         *hosts.Client
		follower      *follow.Follower
		gossip        *gossip.Gossip
		owner         *owner.Owner
		engineControl *engine.Client
		limiter       *limit.Limiter
		waker         *waker.Waker
		dedup         *dedup.Server
		claims        *claim.Client
		router        *router.Router
		front         *front.Server
		peerClient    *peer.Client
		peerServer    *peer.Server
		// applied is a copy of the follower's applied offset that is read
		// without the follower's lock, because the gossip reads it under its
		// own lock.
		applied atomic.Uint64
		// hostListFailing is set if the last read of the host list failed.
		hostListFailing atomic.Bool

		callerListener, peerListener, adminListener net.Listener
		adminServer                                 *http.Server
		// callers, peers and operators bound what the clients of these listeners take.
		callers, peers, operators *guard.Guard
	}

	// Addresses are the addresses of a Daemon's listeners.
	Addresses struct{ Caller, Peer, Admin string }
)

const (
	// engineSilenceTimeout bounds the time for which an engine may send nothing,
	// not even the comment that a waiting stream sends, before the answer is
	// asked for on another engine as well. The gap between tokens at the target
	// is 79 ms.
	engineSilenceTimeout = 5 * time.Second
	// controlDialTimeout bounds connecting to the platform or an engine.
	controlDialTimeout = 2 * time.Second
	// controlIdleConns allows an idle connection for each claims stream and for
	// the control stream, which are read at the same time.
	controlIdleConns = 80
	// controlIdleTimeout is the time after which an idle connection to the
	// platform or an engine is closed.
	controlIdleTimeout = time.Minute
	// adminHeaderTimeout and adminMaxHeaderBytes bound the headers of a request
	// to the admin listener.
	adminHeaderTimeout  = 5 * time.Second
	adminMaxHeaderBytes = 16 << 10
)

// New binds the listeners and assembles a Daemon. It fails if an address can't
// be bound or the TLS files can't be read.
func New(now time.Time, s *setup.Settings) (*Daemon, error) {
	d := &Daemon{
		settings: s, name: s.Daemon.Name + "/" + ulid.Make().String(),
		traffic: map[string]*peer.Traffic{}, trail: audit.New(s.Limits.Decisions), registry: prometheus.NewRegistry(),
	}
	d.metrics = metric.New(d.registry)
	b := bounds.New(int(s.Limits.Memory), s.Limits.Descriptors, int(s.Limits.Body))
	d.callers = b.Guard(s.Limits.Connections, front.ConnectionRefusal, callerLimits(s), d.metrics)
	d.peers, d.operators = b.Inner(bounds.Control, d.metrics), b.Inner(bounds.Admin, d.metrics)
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
		d.callerListener = wrapTLS(d.callerListener, callerTLS)
	}
	log := logsvc.New(s.Platform.LogAddress, controlClient(d.traffic[metric.SourceLog]))
	log.Timeout = s.Timing.LogTimeout
	d.hosts = hosts.New(s.Platform.HostsAddress, controlClient(d.traffic[metric.SourceHosts]))
	d.peerClient = peer.NewClient(secret, peerTLS, d.traffic[metric.SourcePeers])
	if d.peerServer, err = peer.NewServer(secret, peerTLS, &service{d: d}, d.traffic[metric.SourcePeers]); err != nil {
		return nil, err
	}
	d.follower = follow.New(log, controlPeers{d}, follow.Settings{PollWait: s.Timing.LogPollWait, AppendTimeout: s.Timing.LogTimeout, SnapshotInterval: s.Timing.SnapshotInterval})
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.gossip = gossip.New(now, member.Fact{
		Name: d.name, Domain: s.Daemon.FailureDomain, Address: d.advertised(),
	}, member.Settings{SuspicionTimeout: s.Timing.SuspectAfter}, gossip.Settings{
		Interval: s.Timing.GossipInterval, CrossDomainInterval: s.Timing.CrossDomainInterval, Timeout: s.Timing.PeerTimeout, Seeds: s.Peers.Addresses,
	}, d.peerClient, rng, d.applied.Load, d.onFacts)
	eng := engine.New(nil)
	d.engineControl = engine.New(controlClient(d.traffic[metric.SourceEngines]))
	d.limiter = limit.New(d.name, s.Daemon.FailureDomain, d.gossip)
	d.owner = owner.New(now, owner.Settings{
		Self: d.name, FailureDomain: s.Daemon.FailureDomain, ReportInterval: s.Timing.ReportInterval,
		FixedPort: fixedPort(s.Daemon.PeerAddress),
	}, d.follower, d.engineControl, d.gossip, d.limiter, observer{d})
	d.waker = waker.New(waker.Settings{Self: d.name, FailureDomain: s.Daemon.FailureDomain, Decided: observer{d}.Woken}, d.follower, d.gossip, d.peerClient, d.owner)
	d.dedup = dedup.New(dedup.Settings{
		Daemon: d.name, Limits: claims.Limits{Window: s.Timing.KeyWindow}, PollWait: s.Timing.LogPollWait, AppendTimeout: s.Timing.LogTimeout,
	}, claimsLog{log}, crand.Reader)
	d.claims = claim.New(d.name, d.dedup, d.gossip, d.peerClient)
	d.router = router.New(router.Settings{FailureDomain: s.Daemon.FailureDomain, QuarantineDuration: s.Timing.Quarantine, MaxQueued: s.Limits.Queue, SilenceTimeout: engineSilenceTimeout},
		d.follower, d.gossip, d.waker, eng, d.claims, nil, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), observer{d})
	d.front, err = front.New(front.Settings{
		Secret: secret, MaxBodyBytes: s.Limits.Body, MaxHeaderBytes: int(s.Limits.Headers),
		MaxStreams: s.Limits.Streams, MaxConnections: s.Limits.Connections, StreamBufferBytes: int(s.Limits.StreamBuffer),
		HeaderTimeout: s.Limits.HeaderTimeout, IdleTimeout: s.Limits.IdleTimeout, Metrics: d.metrics,
		Guard: d.callers, Account: b.Account, Buffers: b.Responses,
		OnRefusal: observer{d}.Refused, Freshness: d.freshness,
	}, backend{d.router, d})
	if err != nil {
		return nil, err
	}
	d.adminServer = &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: adminHeaderTimeout, MaxHeaderBytes: adminMaxHeaderBytes}
	d.operators.Attach(d.adminServer)
	return d, nil
}

// callerLimits returns what the settings allow a caller's request.
func callerLimits(s *setup.Settings) func() fleet.Limits {
	limits := fleet.Limits{HeaderBytes: int(s.Limits.Headers), IdleTimeout: s.Limits.IdleTimeout}
	return func() fleet.Limits { return limits }
}

// controlClient returns an HTTP client for control traffic, which t counts.
func controlClient(t *peer.Traffic) *http.Client {
	dialer := net.Dialer{Timeout: controlDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return t.Conn(c), nil
		},
		MaxIdleConnsPerHost: controlIdleConns,
		IdleConnTimeout:     controlIdleTimeout,
	}}
}

// fixedPort reports whether address has a port that is not chosen by the
// operating system.
func fixedPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != "0"
}

// Addresses returns the addresses of d's listeners.
func (d *Daemon) Addresses() Addresses {
	return Addresses{Caller: d.callerListener.Addr().String(), Peer: d.peerListener.Addr().String(), Admin: d.adminListener.Addr().String()}
}

// advertised returns the address at which peers call d.
func (d *Daemon) advertised() string {
	if a := d.settings.Daemon.AdvertiseAddress; a != "" {
		return a
	}
	return d.peerListener.Addr().String()
}

// Name returns the daemon's name, which is unique to the process.
func (d *Daemon) Name() string { return d.name }

// Run serves until ctx ends, and then drains: it accepts no new requests,
// resigns its ownerships, finishes the requests in progress and returns.
func (d *Daemon) Run(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tree := super.New(d.name)
	tree.Add("follow", d.follower.Run)
	tree.Add("mirror", d.mirrorControl)
	tree.Add("gossip", d.gossip.Run)
	tree.Add("peers", func(ctx context.Context) error { return d.peerServer.Serve(ctx, d.peers.Wrap(d.peerListener)) })
	for _, g := range []*guard.Guard{d.callers, d.peers, d.operators} {
		tree.Add("clients-"+g.Name(), func(ctx context.Context) error { return g.Run(ctx) })
	}
	tree.Add("hosts", d.watchHosts)
	tree.Add("owner", d.owner.Run)
	tree.Add("keeper", d.dedup.Serve)
	tree.Add("duties", d.runPeriodic)
	tree.Add("queue", d.router.Run)
	tree.Add("pacing", d.limiter.Run)
	tree.Add("cache-events", d.pollCacheEvents)
	tree.Add("callers", func(ctx context.Context) error { return serveHTTP(ctx, d.front.Serve(d.callerListener)) })
	tree.Add("admin", func(ctx context.Context) error {
		return serveHTTP(ctx, d.adminServer.Serve(d.operators.Wrap(d.adminListener)))
	})
	a := d.Addresses()
	event.DaemonStarted.Log("daemon", d.name, "failure-domain", d.settings.Daemon.FailureDomain, "caller", a.Caller, "peer", a.Peer, "admin", a.Admin)
	done := make(chan error, 1)
	go func() { done <- tree.Serve(run) }()
	select {
	case err := <-done:
		return merry.Wrap(err)
	case <-ctx.Done():
	}
	d.drain(run)
	cancel()
	_ = d.adminServer.Close()
	<-done
	d.peerClient.Close()
	return nil
}

// drain resigns ownerships and finishes the requests in progress, within the
// drain timeout.
func (d *Daemon) drain(ctx context.Context) {
	event.DrainStarted.Log("daemon", d.name)
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timing.DrainTimeout)
	defer cancel()
	d.front.Drain()
	d.gossip.AnnounceLeaving(ctx, time.Now())
	d.dedup.Assign(nil)
	resigned := make(chan struct{})
	go func() {
		defer close(resigned)
		d.owner.ResignAll(ctx)
	}()
	err := d.front.Wait(ctx)
	d.claims.Wait(ctx)
	<-resigned
	if err != nil {
		event.DrainTimedOut.Log("daemon", d.name, "err", err)
		return
	}
	event.DrainFinished.Log("daemon", d.name)
}

// serveHTTP handles the error with which an HTTP server ended. If the server was
// closed, it waits for the end of ctx, because the supervisor restarts a
// component that returns earlier.
func serveHTTP(ctx context.Context, err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return nil
	}
	return merry.Wrap(err)
}

// onFacts passes changed facts to the router, and reassigns the claims
// partitions if a daemon has changed.
func (d *Daemon) onFacts(now time.Time, changed []member.Fact) {
	d.router.OnFacts(now, changed)
	for _, f := range changed {
		if f.Kind == member.Daemon {
			d.assignClaims()
			return
		}
	}
}

// assignClaims tells the dedup server which daemons share the claims
// partitions. It does nothing unless this daemon counts as live: a leaving
// daemon takes no partitions.
func (d *Daemon) assignClaims() {
	live := d.gossip.Live("")
	for _, n := range live {
		if n == d.name {
			d.dedup.Assign(live)
			return
		}
	}
}

// mirrorControl updates the applied offset, the router's tables and the limits
// at each change of the control state.
func (d *Daemon) mirrorControl(ctx context.Context) error {
	for {
		changed := d.follower.Changed()
		applied, _, _ := d.follower.Status()
		d.applied.Store(applied)
		d.router.Refresh(time.Now())
		if index := d.router.Config(); index != nil {
			d.limiter.Configure(index.Deployment)
			d.configureAccounts(index.Deployment)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Config returns the configuration in force, or nil if there is none yet.
func (d *Daemon) Config() *declare.Index { return d.router.Config() }

// View calls fn with the daemon's control state, which fn must neither change
// nor retain.
func (d *Daemon) View(fn func(state *ctrl.State)) { d.follower.View(fn) }
