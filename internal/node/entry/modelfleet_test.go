package entry

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/azurespan/azurespan/internal/base/super"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/relay"
	"github.com/azurespan/azurespan/internal/node/shelf"
	"github.com/azurespan/azurespan/internal/node/syncer"
)

type (
	// modelFleet is a fleet of daemons without a network, for use in a bubble of
	// testing/synctest. The daemons run all that follows the log and the holder.
	modelFleet struct {
		log *modelLog
		// deadline is that of both kinds of change.
		deadline time.Duration

		mu      sync.Mutex
		rng     *rand.Rand
		daemons []*modelDaemon
		changes []*modelChange
		// version is that of the last configuration.
		version int64
	}

	// modelDaemon is a daemon of a modelFleet. Its clock is off by skew.
	modelDaemon struct {
		*Entry
		fleet *modelFleet
		host  string
		skew  time.Duration
		// logCut is set while it can't reach the log, peerCut while it and the
		// other daemons can't reach each other.
		logCut, peerCut atomic.Bool
		running         atomic.Bool
		// logCalls counts its calls to the log.
		logCalls atomic.Int64
		stop     func()

		// startedAt is when the daemon was last started, contactAt when it last came
		// into contact with the log, inForce has the changes by their numbers. The
		// fleet's mu protects them.
		startedAt, contactAt time.Time
		inForce              map[int]modelForce
		// latest has, by kind, the earliest acknowledgement of the changes that came
		// into force last, and lags what the metrics stated of them.
		latest map[string]time.Time
		lags   []modelLag
	}

	// modelChange is a version of the configuration, or the end of an upstream.
	modelChange struct {
		version int64
		leaving string
		ackedAt time.Time
	}

	// modelForce is when a change came into force on a daemon, since when the daemon
	// had been in contact with the log, and whether it was cut off from it.
	modelForce struct {
		at, contactAt time.Time
		cut           bool
	}

	// modelLag is an observation of a metric and the time that it bounds.
	modelLag struct {
		kind           string
		stated, actual time.Duration
	}

	// lagRecorder is a Histogram that records observations.
	lagRecorder struct {
		prometheus.Histogram
		daemon *modelDaemon
		kind   string
	}

	modelCodec struct{ relay.Codec }
)

const (
	// modelDeadline is that of both kinds of change on the first sites.
	modelDeadline = 2 * time.Second
	// hopTime is the duration of a message between daemons, and hopTimeout when a
	// call without an answer ends.
	hopTime    = 2 * time.Millisecond
	hopTimeout = 600 * time.Millisecond
	// settleDuration is the time in which a fleet settles after its start.
	settleDuration = 10 * time.Second
	// maxSkew bounds the difference between a daemon's clock and the log's.
	maxSkew = time.Hour

	kindConfig, kindDrain = "configuration", "drain"
)

// runFleet runs f with a fleet of n daemons that have settled.
func runFleet(t *testing.T, n int, deadline time.Duration, seed uint64, f func(t *testing.T, fl *modelFleet)) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		fl := &modelFleet{log: newModelLog(seed), deadline: deadline, rng: rand.New(rand.NewPCG(seed, 1))}
		fl.configure()
		for i := range 10 {
			fl.register(fmt.Sprint("u", i))
		}
		defer func() {
			for _, d := range fl.daemons {
				d.halt()
			}
		}()
		for range n {
			fl.start()
		}
		time.Sleep(settleDuration)
		fl.forgetChanges()
		f(t, fl)
	})
}

// forgetChanges leaves the changes so far out of what is measured.
func (fl *modelFleet) forgetChanges() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.changes = nil
	for _, d := range fl.daemons {
		clear(d.inForce)
		clear(d.latest)
		d.lags = nil
	}
}

// start adds a daemon and starts it.
func (fl *modelFleet) start() *modelDaemon {
	fl.mu.Lock()
	d := &modelDaemon{fleet: fl, host: fmt.Sprint("d", len(fl.daemons)), skew: randUpTo(fl.rng, 2*maxSkew) - maxSkew, inForce: map[int]modelForce{}, latest: map[string]time.Time{}}
	fl.daemons = append(fl.daemons, d)
	fl.mu.Unlock()
	d.start()
	return d
}

// start starts the daemon without any state.
func (d *modelDaemon) start() {
	now := func() time.Time { return time.Now().Add(d.skew) }
	source := func(topic string) modelSource { return modelSource{d.fleet.log, topic, d} }
	settings := Settings{Host: d.host, FailureDomain: "a", Peers: d.host, Drain: d.fleet.deadline, ConfigDeadline: d.fleet.deadline, HolderPause: 3 * time.Second, RetryWindow: 10 * time.Second}
	e := New(settings, Platform{
		Configuration: source(modelConfig), Upstreams: source(modelUpstreams), Holder: source(modelLease), Quarantine: source(modelQuarantine), Origins: source(modelOrigins),
		Wire: modelCodec{}, DecodeConfig: decodeModelConfig, DecodeUpstream: decodeModelUpstream, ConfigKey: "config", BootClock: now,
	}, now)
	e.shelf = shelf.New(d.host, now, now)
	e.syncer = syncer.New(d.host, e.elector, e.relay, e.topics, e.crashes, e.origins, e.paths, e.shelf, e.loader, e.loader.SetStoreAtOnce, source(modelLease), d.dial, e.relay.ReportNow, now, now)
	e.metrics.ConfigLagSeconds = lagRecorder{e.metrics.ConfigLagSeconds, d, kindConfig}
	e.metrics.DrainLagSeconds = lagRecorder{e.metrics.DrainLagSeconds, d, kindDrain}
	publish := e.topics.onUpstreams
	e.topics.onUpstreams = func(now time.Time, ups []fleet.Upstream) {
		publish(now, ups)
		d.note(ups)
	}
	d.fleet.mu.Lock()
	d.startedAt, d.contactAt = time.Now(), time.Now()
	d.Entry = e
	d.fleet.mu.Unlock()
	tree := super.New(d.host)
	e.addState(tree)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = tree.Serve(ctx) // returns only the context's error
	}()
	d.running.Store(true)
	d.stop = func() {
		cancel()
		<-done
	}
}

// halt ends the daemon as a crash does.
func (d *modelDaemon) halt() {
	if d.running.Swap(false) {
		d.stop()
	}
}

// note records which changes are in force.
func (d *modelDaemon) note(ups []fleet.Upstream) {
	version := int64(0)
	if c := d.relay.Config(); c != nil {
		version = c.Version
	}
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	now := time.Now()
	clear(d.latest)
	for i, c := range d.fleet.changes {
		if _, known := d.inForce[i]; known {
			continue
		}
		in := c.leaving == "" && version >= c.version
		if c.leaving != "" {
			in = len(ups) > 0 && !slices.ContainsFunc(ups, func(up fleet.Upstream) bool { return up.ID == c.leaving && !up.Leaving })
		}
		if in {
			if ackedAt, ok := d.latest[c.kind()]; !ok || c.ackedAt.Before(ackedAt) {
				d.latest[c.kind()] = c.ackedAt
			}
			d.inForce[i] = modelForce{now, d.contactAt, d.logCut.Load()}
		}
	}
}

// Observe implements prometheus.Histogram.
func (r lagRecorder) Observe(seconds float64) {
	d := r.daemon
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if ackedAt, ok := d.latest[r.kind]; ok {
		d.lags = append(d.lags, modelLag{r.kind, time.Duration(math.Round(seconds * float64(time.Second))), time.Since(ackedAt)})
	}
}

// kind returns the kind of the change.
func (c *modelChange) kind() string {
	if c.leaving != "" {
		return kindDrain
	}
	return kindConfig
}

// setCut cuts the daemon off from the log, the other daemons or both, or ends that.
func (d *modelDaemon) setCut(log, peers bool) {
	if d.logCut.Swap(log) && !log {
		d.fleet.mu.Lock()
		d.contactAt = time.Now()
		d.fleet.mu.Unlock()
	}
	d.peerCut.Store(peers)
}

// holder returns the holder, nil if there is none.
func (fl *modelFleet) holder() *modelDaemon {
	for _, d := range fl.daemons {
		if _, holds := d.elector.Holds(); holds && d.running.Load() {
			return d
		}
	}
	return nil
}

// configure publishes a configuration.
func (fl *modelFleet) configure() {
	fl.mu.Lock()
	fl.version++
	version := fl.version
	fl.mu.Unlock()
	fl.log.put(modelConfig, "config", fleet.Config{Version: version, Services: map[string]fleet.Service{"s": {Name: "s", MaxConnections: 10}}})
	fl.acked(&modelChange{version: version})
}

// observed returns what the metrics stated of a kind of change.
func (fl *modelFleet) observed(kind string) (lags []modelLag) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, d := range fl.daemons {
		for _, lag := range d.lags {
			if lag.kind == kind {
				lags = append(lags, lag)
			}
		}
	}
	return lags
}

// register writes the entry of an upstream.
func (fl *modelFleet) register(id string) {
	fl.log.put(modelUpstreams, id, fleet.Upstream{ID: id, Born: 1, Service: "s", Address: id, FailureDomain: "a", Slots: 1})
}

// drain lets an upstream write that it is leaving.
func (fl *modelFleet) drain(id string) {
	fl.log.put(modelUpstreams, id, fleet.Upstream{ID: id, Born: 1, Service: "s", Address: id, FailureDomain: "a", Slots: 1, Leaving: true})
	fl.acked(&modelChange{leaving: id})
}

// isLeaving reports whether an upstream has written that it is leaving.
func (fl *modelFleet) isLeaving(id string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.ContainsFunc(fl.changes, func(c *modelChange) bool { return c.leaving == id })
}

func (fl *modelFleet) acked(c *modelChange) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	c.ackedAt = time.Now()
	fl.changes = append(fl.changes, c)
}

// times returns, for all daemons but some, the times from the later of each change's
// acknowledgement and the daemon's coming into contact with the log until it was in
// force, and describes those that never were.
func (fl *modelFleet) times(kind string, but ...*modelDaemon) (took []time.Duration, never []string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for i, c := range fl.changes {
		if c.kind() != kind {
			continue
		}
		for _, d := range fl.daemons {
			f, ok := d.inForce[i]
			switch {
			case slices.Contains(but, d):
			case c.ackedAt.Before(d.startedAt) || f.cut:
			case !ok:
				never = append(never, fmt.Sprintf("%s: %+v", d.host, *c))
			case f.contactAt.After(c.ackedAt):
				took = append(took, f.at.Sub(f.contactAt))
			default:
				took = append(took, f.at.Sub(c.ackedAt))
			}
		}
	}
	slices.Sort(took)
	return took, never
}
