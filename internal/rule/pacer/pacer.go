package pacer

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Settings describes the limits and the daemon. A zero field stands for
	// its default.
	Settings struct {
		// Owner and FailureDomain are the daemon's own.
		Owner, FailureDomain string
		// FailureDomains lists those of the deployment, in the same order in
		// all daemons.
		FailureDomains []string
		Limits         declare.Limits
		// PartitionTimeout is how long nothing may be received from a failure
		// domain until it counts as unreachable; default 15 s, more than three
		// exchanges across failure domains.
		PartitionTimeout time.Duration
		// StatusTTL is how long a Status is valid; default 10 s.
		StatusTTL time.Duration
		// StartInterval is the least time between two starts of an owner that
		// is not the only one; default 500 ms, half the interval at which
		// owners exchange their Status.
		StartInterval time.Duration
		// LoadLatency and BytesPerSecond give the assumed duration of a load
		// at full speed; defaults 500 ms and 1 GB/s.
		LoadLatency    time.Duration
		BytesPerSecond float64
		// SlowFactor is the multiple of the best duration above which loads
		// count as slow; default 1.5.
		SlowFactor float64
		// PromotionSlack is the slack before its latest start below which a
		// background load counts as urgent; default 20 s.
		PromotionSlack time.Duration
		// RotationPeriod is how long a failure domain keeps a slot if there
		// are fewer slots than failure domains; default 10 s.
		RotationPeriod time.Duration
	}

	// Owner is a daemon that may order loads.
	Owner struct{ Name, FailureDomain string }

	// Status is what owners report to each other.
	Status struct {
		Owner string
		// Running is the number of loads from the weight store that run;
		// QueuedUrgent and QueuedBackground are those that wait.
		Running, QueuedUrgent, QueuedBackground int
		// AdapterLoads is the number of adapter loads started in the last one
		// to two seconds.
		AdapterLoads int
	}

	// Load is a requested load from the weight store.
	Load struct {
		ID       uint64
		Class    declare.Class
		Deadline time.Time
		Bytes    int64
	}

	// Share is the part of the limits that the daemon may use.
	Share struct {
		// Loads is the number of concurrent loads, including running ones.
		Loads int
		// StartsPerSecond is the rate at which loads may start.
		StartsPerSecond float64
		// AdapterLoads is the number of concurrent adapter loads.
		AdapterLoads int
		// UnreachableDomains is the number of unreachable failure domains.
		UnreachableDomains int
	}

	// Pacer limits the loads of one daemon.
	Pacer struct {
		settings     Settings
		owners       map[string]string // failure domain by owner
		peers        map[string]peer
		lastContact  map[string]time.Time
		waiting      []Load
		running      map[uint64]runningLoad
		lastStart    time.Time
		tokens       float64 // token bucket for starts
		refilledAt   time.Time
		storeSpeed   storeSpeed
		adapterLoads adapterLoads
		ranks        []rank
	}

	peer struct {
		Status
		asOf time.Time
	}

	runningLoad struct {
		Load
		startedAt time.Time
	}

	// rank is the sort key of an owner.
	rank struct {
		self   bool
		urgent bool
		loads  int
		hash   uint64
	}
)

// New returns a Pacer without owners or loads.
func New(s Settings) *Pacer {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&s.PartitionTimeout, 15*time.Second)
	setDefault(&s.StatusTTL, 10*time.Second)
	setDefault(&s.StartInterval, 500*time.Millisecond)
	setDefault(&s.LoadLatency, 500*time.Millisecond)
	setDefault(&s.PromotionSlack, 20*time.Second)
	setDefault(&s.RotationPeriod, 10*time.Second)
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
		settings: s, owners: map[string]string{}, peers: map[string]peer{}, lastContact: map[string]time.Time{},
		running: map[uint64]runningLoad{}, tokens: 1, storeSpeed: newStoreSpeed(s),
	}
}

// Configure replaces the failure domains and the limits. Zero limits stand for
// their defaults.
func (p *Pacer) Configure(failureDomains []string, l declare.Limits) {
	withDefaults := New(Settings{Limits: l})
	p.settings.FailureDomains = append([]string(nil), failureDomains...)
	slices.Sort(p.settings.FailureDomains)
	if p.settings.Limits != withDefaults.settings.Limits {
		p.settings.Limits = withDefaults.settings.Limits
		p.storeSpeed = newStoreSpeed(p.settings)
	}
}

// SetOwners replaces the live owners of the deployment.
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

// MarkReachable records that something was received from a failure domain.
func (p *Pacer) MarkReachable(now time.Time, failureDomain string) {
	p.lastContact[failureDomain] = now
}

// SetPeerStatus records the status of another live owner at a time. It ignores
// one that is older than the last.
func (p *Pacer) SetPeerStatus(at time.Time, s Status) {
	if _, ok := p.owners[s.Owner]; !ok || s.Owner == p.settings.Owner || at.Before(p.peers[s.Owner].asOf) {
		return
	}
	p.peers[s.Owner] = peer{s, at}
}

// Status returns what this daemon reports to the other owners.
func (p *Pacer) Status(now time.Time) Status {
	s := Status{Owner: p.settings.Owner, Running: len(p.running), AdapterLoads: p.adapterLoads.recent(now)}
	for i := range p.waiting {
		if p.urgent(now, &p.waiting[i]) {
			s.QueuedUrgent++
		} else {
			s.QueuedBackground++
		}
	}
	return s
}

// Enqueue adds a load to the queue unless one with the same ID waits or runs.
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

// Cancel removes a waiting load, and reports whether there was one.
func (p *Pacer) Cancel(id uint64) bool {
	for i := range p.waiting {
		if p.waiting[i].ID == id {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Next starts and returns the next load if the share allows one at now.
func (p *Pacer) Next(now time.Time) (l Load, ok bool) {
	if len(p.waiting) == 0 {
		return Load{}, false
	}
	s := p.Share(now)
	p.refill(now, s.StartsPerSecond)
	if len(p.running) >= s.Loads || p.tokens < 1 {
		return Load{}, false
	}
	if len(p.owners) > 1 && !p.lastStart.IsZero() && now.Sub(p.lastStart) < p.settings.StartInterval {
		return Load{}, false
	}
	best := 0
	for i := range p.waiting {
		if p.startsBefore(now, &p.waiting[i], &p.waiting[best]) {
			best = i
		}
	}
	l = p.waiting[best]
	p.waiting = append(p.waiting[:best], p.waiting[best+1:]...)
	p.running[l.ID] = runningLoad{l, now}
	p.tokens--
	p.lastStart = now
	return l, true
}

// Finish records the end of a load. ok is false for a failed one, whose duration
// is not a sample of the store's speed.
func (p *Pacer) Finish(now time.Time, id uint64, ok bool) {
	r, found := p.running[id]
	if !found {
		return
	}
	delete(p.running, id)
	if ok {
		p.storeSpeed.observe(now, r.Bytes, now.Sub(r.startedAt))
	}
}

// refill adds the tokens that became available since the last call.
func (p *Pacer) refill(now time.Time, rate float64) {
	if !p.refilledAt.IsZero() && now.After(p.refilledAt) {
		// The bucket holds the starts of one second, at least one.
		p.tokens = min(p.tokens+now.Sub(p.refilledAt).Seconds()*rate, max(rate, 1))
	}
	if p.refilledAt.IsZero() || now.After(p.refilledAt) {
		p.refilledAt = now
	}
}

// urgent reports whether l counts as urgent at now.
func (p *Pacer) urgent(now time.Time, l *Load) bool {
	if l.Class != declare.Background {
		return true
	}
	return !l.Deadline.IsZero() && l.Deadline.Add(-p.storeSpeed.expectedDuration(l.Bytes)).Sub(now) < p.settings.PromotionSlack
}

// startsBefore orders loads: urgent ones first, then by deadline, where loads
// without one are last, then by ID.
func (p *Pacer) startsBefore(now time.Time, a, b *Load) bool {
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
