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
	// Facts is the part of the gossip that a Pacing needs.
	Facts interface {
		Report(now time.Time, facts ...member.Fact)
		Do(func(m *member.Set))
	}

	// Pacing is safe for concurrent use.
	Limiter struct {
		self, domain string
		facts        Facts

		mu      sync.Mutex
		pacer   *pacer.Pacer
		next    uint64
		waiters map[uint64]chan struct{}
		// filled wakes Run after a load began to wait.
		filled chan struct{}
	}
)

const (
	// tick is the interval at which waiting loads are looked at.
	tick = 25 * time.Millisecond
	// hearInterval is the time between looks at the peers' news.
	hearInterval = time.Second
	// adapterPause is the pause before an adapter load tries for a place
	// again; a load takes a handful of milliseconds.
	adapterPause = 2 * time.Millisecond
)

// New returns a Pacing of the daemon self, with default limits until Configure.
func New(self, domain string, f Facts) *Limiter {
	p := &Limiter{self: self, domain: domain, facts: f, waiters: map[uint64]chan struct{}{}, filled: make(chan struct{}, 1)}
	p.pacer = pacer.New(pacer.Settings{Owner: self, FailureDomain: domain, FailureDomains: []string{domain}})
	return p
}

// Configure takes the limits and failure domains of a configuration. Loads
// that wait or run are taken along.
func (p *Limiter) Configure(d *declare.Deployment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Configure(d.FailureDomains, d.Limits)
}

// Acquire waits for a place among the loads from the weight store. The caller
// calls release at the end of the load, with ok false for a failed one.
func (p *Limiter) Acquire(ctx context.Context, class declare.Class, deadline time.Time, bytes int64) (release func(ok bool), err error) {
	p.mu.Lock()
	p.next++
	id := p.next
	ready := make(chan struct{})
	p.waiters[id] = ready
	p.pacer.Enqueue(pacer.Load{ID: id, Class: class, Deadline: deadline, Bytes: bytes})
	p.start(time.Now())
	p.mu.Unlock()
	select {
	case p.filled <- struct{}{}:
	default:
	}
	p.tell(time.Now())
	select {
	case <-ready:
	case <-ctx.Done():
		p.mu.Lock()
		waited := p.pacer.Cancel(id)
		delete(p.waiters, id)
		p.mu.Unlock()
		if waited {
			return nil, ctx.Err()
		}
	}
	return func(ok bool) {
		now := time.Now()
		p.mu.Lock()
		p.pacer.Finish(now, id, ok)
		p.start(now)
		p.mu.Unlock()
		p.tell(now)
	}, nil
}

// start lets loads begin that have a place; p.mu is held.
func (p *Limiter) start(now time.Time) {
	for {
		l, ok := p.pacer.Next(now)
		if !ok {
			return
		}
		if w := p.waiters[l.ID]; w != nil {
			close(w)
			delete(p.waiters, l.ID)
		}
	}
}

// Adapter waits for a place among the adapter loads.
func (p *Limiter) AcquireAdapter(ctx context.Context) (release func(), err error) {
	for {
		p.mu.Lock()
		ok := p.pacer.StartAdapterLoad(time.Now())
		p.mu.Unlock()
		if ok {
			return func() {
				p.mu.Lock()
				p.pacer.EndAdapterLoad()
				p.mu.Unlock()
			}, nil
		}
		if !pause.For(ctx, adapterPause) {
			return nil, ctx.Err()
		}
	}
}

// Run starts waiting loads as places become free, until ctx ends.
func (p *Limiter) Run(ctx context.Context) error {
	hear := time.NewTicker(hearInterval)
	defer hear.Stop()
	var t *time.Ticker
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hear.C:
			p.hear(time.Now())
		case <-p.filled:
			if t == nil {
				t = time.NewTicker(tick)
				due = t.C
			}
		case <-due:
			if !p.step(time.Now()) {
				t.Stop()
				t, due = nil, nil
			}
		}
	}
}

// step starts the loads that have a place, and reports whether some wait.
func (p *Limiter) step(now time.Time) bool {
	p.mu.Lock()
	before := len(p.waiters)
	if before > 0 {
		p.start(now)
	}
	after := len(p.waiters)
	p.mu.Unlock()
	if after != before {
		p.tell(now)
	}
	return after > 0
}

// hear takes the peers' facts over. A fact stays true until its daemon reports
// another one or dies, so it is heard anew each time.
func (p *Limiter) hear(now time.Time) {
	var owners []pacer.Owner
	var progress []pacer.Status
	p.facts.Do(func(m *member.Set) {
		m.Each(member.Daemon, func(f member.Fact) {
			if f.Status < member.Dead {
				owners = append(owners, pacer.Owner{Name: f.Name, FailureDomain: f.Domain})
			}
		})
		m.Each(member.ModelLoads, func(f member.Fact) {
			progress = append(progress, pacer.Status{
				Owner: f.Name, Running: f.Running, QueuedUrgent: f.Queued, QueuedBackground: f.Background, AdapterLoads: f.AdapterLoads,
			})
		})
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.SetOwners(owners)
	for _, o := range owners {
		p.pacer.MarkReachable(now, o.FailureDomain)
	}
	for _, g := range progress {
		p.pacer.SetPeerStatus(now, g)
	}
}

// tell reports what this daemon loads. The number of adapter loads is left out
// unless loads change anyway, since it would change with each request.
func (p *Limiter) tell(now time.Time) {
	p.mu.Lock()
	g := p.pacer.Status(now)
	p.mu.Unlock()
	p.facts.Report(now, member.Fact{
		Kind: member.ModelLoads, Name: p.self, Domain: p.domain, Status: member.Alive,
		Running: g.Running, Queued: g.QueuedUrgent, Background: g.QueuedBackground, AdapterLoads: g.AdapterLoads,
	})
}
