package pacer

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Settings describe the limits and the daemon. A zero field stands for
	// its default.
	Settings struct {
		// Owner and FailureDomain are the daemon's own.
		Owner, FailureDomain string
		// FailureDomains of the deployment, sorted alike in all daemons.
		FailureDomains []string
		Limits         declare.Limits
		// CutOff is how long a failure domain may be silent; default 15 s,
		// more than three exchanges across failure domains.
		PartitionTimeout time.Duration
		// Stale is how long a Progress counts; default 10 s.
		StatusTTL time.Duration
		// Settle is the least time between two starts of an owner that is
		// not alone; default 500 ms, half a news interval.
		StartInterval time.Duration
		// Start and BytesPerSecond are the assumed duration of a load at
		// full speed; defaults 500 ms and 1 GB/s.
		LoadLatency    time.Duration
		BytesPerSecond float64
		// SlowFactor times the best duration is slow; default 1.5.
		SlowFactor float64
		// Promote is the slack before its latest start below which a
		// background load counts as urgent; default 20 s.
		PromotionSlack time.Duration
		// Rotation of places if there are fewer than failure domains;
		// default 10 s.
		RotationPeriod time.Duration
	}

	// Owner is a daemon that may order loads.
	Owner struct{ Name, FailureDomain string }

	// Progress is what owners tell each other.
	Status struct {
		Owner string
		// Loads from the weight store that run, and those that wait.
		Running, QueuedUrgent, QueuedBackground int
		// Adapters is the number of adapter loads in the last second.
		AdapterLoads int
	}

	// Load is a wanted load from the weight store.
	Load struct {
		ID       uint64
		Class    declare.Class
		Deadline time.Time
		Bytes    int64
	}

	// Share is what the daemon may use.
	Share struct {
		// Loads at once, including those that run.
		Loads int
		// PerSecond is the rate at which loads may start.
		StartsPerSecond float64
		// Adapters at once.
		AdapterLoads int
		// CutOff counts the failure domains that can't be heard.
		UnreachableDomains int
	}

	// Pacer is the state of one daemon.
	Pacer struct {
		s       Settings
		owners  map[string]string // failure domain by owner
		peers   map[string]peer
		heard   map[string]time.Time
		waiting []Load
		running map[uint64]start
		lastAt  time.Time // of the last start
		tokens  float64
		tokenAt time.Time
		speed   speed
		adapter adapters
		order   []rank
	}

	peer struct {
		Status
		at time.Time
	}

	start struct {
		Load
		at time.Time
	}

	rank struct {
		self   bool
		urgent bool
		loads  int
		hash   uint64
	}
)

// New returns a Pacer without owners or loads.
func New(s Settings) *Pacer {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&s.PartitionTimeout, 15*time.Second)
	def(&s.StatusTTL, 10*time.Second)
	def(&s.StartInterval, 500*time.Millisecond)
	def(&s.LoadLatency, 500*time.Millisecond)
	def(&s.PromotionSlack, 20*time.Second)
	def(&s.RotationPeriod, 10*time.Second)
	if s.BytesPerSecond == 0 {
		s.BytesPerSecond = 1e9
	}
	if s.SlowFactor == 0 {
		s.SlowFactor = 1.5
	}
	if s.Limits.StoreLoadsPerSecond == 0 {
		s.Limits.StoreLoadsPerSecond = declare.DefaultStoreLoadsPerSecond
	}
	if s.Limits.StoreLoadsAtOnce == 0 {
		s.Limits.StoreLoadsAtOnce = declare.DefaultStoreLoadsAtOnce
	}
	if s.Limits.AdapterLoadsAtOnce == 0 {
		s.Limits.AdapterLoadsAtOnce = declare.DefaultAdapterLoadsAtOnce
	}
	return &Pacer{
		s: s, owners: map[string]string{}, peers: map[string]peer{}, heard: map[string]time.Time{},
		running: map[uint64]start{}, tokens: 1, speed: newSpeed(s),
	}
}

// Configure replaces the failure domains and the limits. Zero limits stand for
// their defaults.
func (p *Pacer) Configure(failureDomains []string, l declare.Limits) {
	n := New(Settings{Limits: l})
	p.s.FailureDomains = append([]string(nil), failureDomains...)
	slices.Sort(p.s.FailureDomains)
	if p.s.Limits != n.s.Limits {
		p.s.Limits = n.s.Limits
		p.speed = newSpeed(p.s)
	}
}

// SetOwners replaces the owners that are live in the deployment.
func (p *Pacer) SetOwners(owners []Owner) {
	clear(p.owners)
	for _, o := range owners {
		p.owners[o.Name] = o.FailureDomain
	}
	for name := range p.peers {
		if _, ok := p.owners[name]; !ok {
			delete(p.peers, name)
		}
	}
}

// Heard records news of any kind from a failure domain.
func (p *Pacer) MarkReachable(now time.Time, failureDomain string) { p.heard[failureDomain] = now }

// Hear records the progress of a live owner as of at; older news than the last
// is ignored.
func (p *Pacer) SetPeerStatus(at time.Time, g Status) {
	if _, ok := p.owners[g.Owner]; !ok || g.Owner == p.s.Owner || at.Before(p.peers[g.Owner].at) {
		return
	}
	p.peers[g.Owner] = peer{g, at}
}

// Progress returns what this daemon tells the others.
func (p *Pacer) Status(now time.Time) Status {
	g := Status{Owner: p.s.Owner, Running: len(p.running), AdapterLoads: p.adapter.recent(now)}
	for i := range p.waiting {
		if p.urgent(now, &p.waiting[i]) {
			g.QueuedUrgent++
		} else {
			g.QueuedBackground++
		}
	}
	return g
}

// Want adds a load that waits for a place. An identifier that waits or runs is
// not added again.
func (p *Pacer) Enqueue(l Load) {
	if _, ok := p.running[l.ID]; ok {
		return
	}
	for i := range p.waiting {
		if p.waiting[i].ID == l.ID {
			return
		}
	}
	p.waiting = append(p.waiting, l)
}

// Withdraw removes a load that waits, and reports whether it did.
func (p *Pacer) Cancel(id uint64) bool {
	for i := range p.waiting {
		if p.waiting[i].ID == id {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Next starts the next load if the share allows one at now.
func (p *Pacer) Next(now time.Time) (l Load, ok bool) {
	if len(p.waiting) == 0 {
		return Load{}, false
	}
	s := p.Share(now)
	p.refill(now, s.StartsPerSecond)
	if len(p.running) >= s.Loads || p.tokens < 1 {
		return Load{}, false
	}
	if len(p.owners) > 1 && !p.lastAt.IsZero() && now.Sub(p.lastAt) < p.s.StartInterval {
		return Load{}, false
	}
	best := 0
	for i := range p.waiting {
		if p.goesFirst(now, &p.waiting[i], &p.waiting[best]) {
			best = i
		}
	}
	l = p.waiting[best]
	p.waiting = append(p.waiting[:best], p.waiting[best+1:]...)
	p.running[l.ID] = start{l, now}
	p.tokens--
	p.lastAt = now
	return l, true
}

// Ended records the end of a load; ok is false for a failed one, whose
// duration says nothing.
func (p *Pacer) Finish(now time.Time, id uint64, ok bool) {
	r, found := p.running[id]
	if !found {
		return
	}
	delete(p.running, id)
	if ok {
		p.speed.observe(now, r.Bytes, now.Sub(r.at))
	}
}

func (p *Pacer) refill(now time.Time, rate float64) {
	if !p.tokenAt.IsZero() && now.After(p.tokenAt) {
		// Up to a second's worth may start at once.
		p.tokens = min(p.tokens+now.Sub(p.tokenAt).Seconds()*rate, max(rate, 1))
	}
	if p.tokenAt.IsZero() || now.After(p.tokenAt) {
		p.tokenAt = now
	}
}

// urgent reports whether l counts as urgent at now.
func (p *Pacer) urgent(now time.Time, l *Load) bool {
	if l.Class != declare.Background {
		return true
	}
	return !l.Deadline.IsZero() && l.Deadline.Add(-p.speed.expect(l.Bytes)).Sub(now) < p.s.PromotionSlack
}

// goesFirst orders loads: urgent ones first, then by deadline (none is last),
// then by identifier.
func (p *Pacer) goesFirst(now time.Time, a, b *Load) bool {
	if ua, ub := p.urgent(now, a), p.urgent(now, b); ua != ub {
		return ua
	}
	if !a.Deadline.Equal(b.Deadline) {
		if a.Deadline.IsZero() || b.Deadline.IsZero() {
			return b.Deadline.IsZero()
		}
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}
