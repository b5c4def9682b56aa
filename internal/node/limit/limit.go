package limit

import (
	"context"
	"sync"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/rule/pacer"
)

type (
	// Facts reads and reports the facts that daemons exchange by gossip.
	Facts interface {
		Report(now time.Time, facts ...member.Fact)
		Do(func(m *member.Set))
	}

	// Limiter limits the loads of one daemon. It is safe for concurrent use.
	Limiter struct {
		self, domain string
		facts        Facts

		mu    sync.Mutex
		pacer *pacer.Pacer
		// lastID is the identifier of the last load.
		lastID uint64
		// waiters holds a channel for each waiting load, which is closed when
		// the load may start.
		waiters map[uint64]chan struct{}
		// enqueued wakes Run after a load was enqueued.
		enqueued chan struct{}
	}
)

const (
	// startInterval is the time between attempts to start waiting loads.
	startInterval = 25 * time.Millisecond
	// peerFactsInterval is the time between reads of the peers' facts.
	peerFactsInterval = time.Second
	// adapterRetryDelay is the pause between attempts to start an adapter load;
	// a load takes a few milliseconds.
	adapterRetryDelay = 2 * time.Millisecond
)

// New returns a Limiter for the daemon self. The default limits apply until
// Configure is called.
func New(self, domain string, f Facts) *Limiter {
	l := &Limiter{self: self, domain: domain, facts: f, waiters: map[uint64]chan struct{}{}, enqueued: make(chan struct{}, 1)}
	l.pacer = pacer.New(pacer.Settings{Owner: self, FailureDomain: domain, FailureDomains: []string{domain}})
	return l
}

// Configure applies the limits and failure domains of a configuration. Waiting
// and running loads are kept.
func (l *Limiter) Configure(d *declare.Deployment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.Configure(d.FailureDomains, d.Limits)
}

// Acquire waits until a load from the weight store may start. The caller calls
// release at the end of the load, with ok false for a failed one.
func (l *Limiter) Acquire(ctx context.Context, class declare.Class, deadline time.Time, bytes int64) (release func(ok bool), err error) {
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	ready := make(chan struct{})
	l.waiters[id] = ready
	l.pacer.Enqueue(pacer.Load{ID: id, Class: class, Deadline: deadline, Bytes: bytes})
	l.startReady(time.Now())
	l.mu.Unlock()
	select {
	case l.enqueued <- struct{}{}:
	default:
	}
	l.reportLoads(time.Now())
	select {
	case <-ready:
	case <-ctx.Done():
		l.mu.Lock()
		cancelled := l.pacer.Cancel(id)
		delete(l.waiters, id)
		l.mu.Unlock()
		if cancelled {
			return nil, ctx.Err()
		}
	}
	return func(ok bool) {
		now := time.Now()
		l.mu.Lock()
		l.pacer.Finish(now, id, ok)
		l.startReady(now)
		l.mu.Unlock()
		l.reportLoads(now)
	}, nil
}

// startReady starts the waiting loads that the Pacer admits. l.mu must be held.
func (l *Limiter) startReady(now time.Time) {
	for {
		load, ok := l.pacer.Next(now)
		if !ok {
			return
		}
		if w := l.waiters[load.ID]; w != nil {
			close(w)
			delete(l.waiters, load.ID)
		}
	}
}

// AcquireAdapter waits until an adapter load may start. The caller calls release
// at the end of the load.
func (l *Limiter) AcquireAdapter(ctx context.Context) (release func(), err error) {
	for {
		l.mu.Lock()
		ok := l.pacer.StartAdapterLoad(time.Now())
		l.mu.Unlock()
		if ok {
			return func() {
				l.mu.Lock()
				l.pacer.EndAdapterLoad()
				l.mu.Unlock()
			}, nil
		}
		if !pause.For(ctx, adapterRetryDelay) {
			return nil, ctx.Err()
		}
	}
}

// Run starts waiting loads as the limits allow, until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	peerFacts := time.NewTicker(peerFactsInterval)
	defer peerFacts.Stop()
	// The ticker runs only while loads wait.
	var ticker *time.Ticker
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-peerFacts.C:
			l.readPeerFacts(time.Now())
		case <-l.enqueued:
			if ticker == nil {
				ticker = time.NewTicker(startInterval)
				due = ticker.C
			}
		case <-due:
			if !l.startWaiting(time.Now()) {
				ticker.Stop()
				ticker, due = nil, nil
			}
		}
	}
}

// startWaiting starts the waiting loads that the Pacer admits, and reports
// whether others still wait.
func (l *Limiter) startWaiting(now time.Time) bool {
	l.mu.Lock()
	before := len(l.waiters)
	if before > 0 {
		l.startReady(now)
	}
	after := len(l.waiters)
	l.mu.Unlock()
	if after != before {
		l.reportLoads(now)
	}
	return after > 0
}

// readPeerFacts passes the peers' facts to the Pacer. A fact stays valid until
// its daemon reports another one or dies, so all facts are passed each time.
func (l *Limiter) readPeerFacts(now time.Time) {
	var owners []pacer.Owner
	var statuses []pacer.Status
	l.facts.Do(func(m *member.Set) {
		m.Each(member.Daemon, func(f member.Fact) {
			if f.Status < member.Dead {
				owners = append(owners, pacer.Owner{Name: f.Name, FailureDomain: f.Domain})
			}
		})
		m.Each(member.ModelLoads, func(f member.Fact) {
			statuses = append(statuses, pacer.Status{
				Owner: f.Name, Running: f.Running, QueuedUrgent: f.Queued, QueuedBackground: f.Background, AdapterLoads: f.AdapterLoads,
			})
		})
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.SetOwners(owners)
	for _, o := range owners {
		l.pacer.MarkReachable(now, o.FailureDomain)
	}
	for _, s := range statuses {
		l.pacer.SetPeerStatus(now, s)
	}
}

// reportLoads reports this daemon's loads to the peers. It is not called when
// only the number of adapter loads changes, because that would send a fact for
// each request.
func (l *Limiter) reportLoads(now time.Time) {
	l.mu.Lock()
	s := l.pacer.Status(now)
	l.mu.Unlock()
	l.facts.Report(now, member.Fact{
		Kind: member.ModelLoads, Name: l.self, Domain: l.domain, Status: member.Alive,
		Running: s.Running, Queued: s.QueuedUrgent, Background: s.QueuedBackground, AdapterLoads: s.AdapterLoads,
	})
}
