package place

import (
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Settings tune a Chooser. A zero field stands for its default.
	Settings struct {
		// BytesPerSecond by tier; defaults 20, 4 and 1 GB/s. An owner
		// replaces them by measured rates.
		BytesPerSecond [3]float64
		// Start is the fixed part of each load; default 500 ms.
		LoadOverhead time.Duration
		// CrossingCost is added for another failure domain; default 200 ms:
		// a replica that a partition can cut off serves one domain less.
		CrossDomainCost time.Duration
		// MinIdle protects a replica that was used a moment ago from
		// eviction for a background request; default 10 s. An urgent one
		// may evict anything idle.
		MinIdle time.Duration
		// Recency is the idle time after which the chance that an evicted
		// model is needed soon has halved; default 2 min.
		ReuseHalfTime time.Duration
		// ColdStartWeight is the deployment's, in [0, 1]; it scales the
		// cost of evictions against the wake's own load time.
		ColdStartWeight float64
	}

	// Chooser makes placement decisions.
	Chooser struct {
		s      Settings
		victim []scored
		best   []Victim
		trial  []Victim
	}

	option struct {
		c     *Candidate
		ready time.Duration
		cost  time.Duration
		hash  uint64
	}
)

// New returns a Chooser.
func New(s Settings) *Chooser {
	for i, d := range [3]float64{20e9, 4e9, 1e9} {
		if s.BytesPerSecond[i] == 0 {
			s.BytesPerSecond[i] = d
		}
	}
	if s.LoadOverhead == 0 {
		s.LoadOverhead = 500 * time.Millisecond
	}
	if s.CrossDomainCost == 0 {
		s.CrossDomainCost = 200 * time.Millisecond
	}
	if s.MinIdle == 0 {
		s.MinIdle = 10 * time.Second
	}
	if s.ReuseHalfTime == 0 {
		s.ReuseHalfTime = 2 * time.Minute
	}
	return &Chooser{s: s}
}

// LoadTime returns the time to load weight bytes from tier with nothing else
// in progress.
func (c *Chooser) LoadTime(tier Tier, bytes int64) time.Duration {
	return c.s.LoadOverhead + time.Duration(float64(bytes)/c.s.BytesPerSecond[tier]*float64(time.Second))
}

// Choose decides where w is loaded at now. The Evict list of the decision is
// valid until the next call.
func (c *Chooser) Choose(now time.Time, w *Wake, cands []Candidate) Decision {
	var best option
	var soonest time.Duration
	var seen struct{ live, room, away, unused bool }
	atLimit := w.Replicas >= w.Limit
	for i := range cands {
		d := &cands[i]
		unusedGrant := d.Granted && !d.Present
		if d.Unavailable || d.Excluded {
			seen.away = seen.away || unusedGrant
			continue
		}
		seen.live = true
		if d.Present {
			continue
		}
		if !d.Granted && (w.LogDown || atLimit) {
			continue
		}
		seen.unused = true
		o, ok := c.weigh(now, w, d)
		if !ok {
			continue
		}
		if !seen.room || o.ready < soonest {
			soonest = o.ready
		}
		seen.room = true
		if !w.Deadline.IsZero() && now.Add(o.ready).After(w.Deadline) {
			continue
		}
		if best.c == nil || o.better(&best) {
			best = o
			c.best, c.trial = c.trial, c.best
		}
	}
	if best.c != nil {
		l := Load{Upstream: best.c.Upstream, NeedsGrant: !best.c.Granted, ReadyIn: best.ready, Tier: best.c.Tier}
		if len(c.best) > 0 {
			l.Evict = c.best
		}
		return l
	}
	switch {
	case seen.room:
		return Refuse{Reason: TooLate, ReadyIn: soonest}
	case seen.unused:
		return Refuse{Reason: NoMemory}
	case atLimit && seen.away:
		return Refuse{Reason: ReplicaElsewhere}
	case atLimit:
		return Refuse{Reason: ReplicaLimit}
	case !seen.live:
		return Refuse{Reason: NoUpstream}
	case w.LogDown:
		return Refuse{Reason: LogUnavailable}
	default: // every live upstream has the model already
		return Refuse{Reason: NoUpstream}
	}
}

// weigh returns the cost of a load on d and leaves the evictions in c.trial.
// ok is false if there is no room.
func (c *Chooser) weigh(now time.Time, w *Wake, d *Candidate) (o option, ok bool) {
	c.trial = c.trial[:0]
	one := c.LoadTime(d.Tier, w.WeightBytes)
	o = option{c: d, ready: one * time.Duration(1+d.PendingLoads), hash: rendezvous(w, d)}
	if d.Tier == Remote {
		o.ready += w.StoreWait
	}
	o.cost = o.ready
	if d.FailureDomain != w.FailureDomain {
		o.cost += c.s.CrossDomainCost
	}
	if d.Granted {
		return o, true
	}
	if need := d.ReservedBytes + w.Bytes - d.MemoryBytes; need > 0 {
		lost, ok := c.evict(now, w.Class == declare.Background, need, d.Residents)
		if !ok {
			return o, false
		}
		o.cost += lost
	}
	return o, true
}

// better orders options by cost, then by rendezvous hash.
func (o *option) better(p *option) bool {
	if o.cost != p.cost {
		return o.cost < p.cost
	}
	return o.hash > p.hash
}

// rendezvous hashes model and upstream with FNV-1a, which is the same in all
// daemons and releases.
func rendezvous(w *Wake, d *Candidate) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range [2]string{w.Model, d.Upstream} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
		h = (h ^ 0xff) * 1099511628211
	}
	return h
}
