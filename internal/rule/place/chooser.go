package place

import (
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Settings of a Chooser. A zero field stands for its default.
	Settings struct {
		// BytesPerSecond by tier; defaults 20, 4 and 1 GB/s. An owner
		// replaces them by measured rates.
		BytesPerSecond [3]float64
		// LoadOverhead is the fixed part of each load time; default 500 ms.
		LoadOverhead time.Duration
		// CrossDomainCost is added for an upstream in another failure domain
		// than the waiting requests; default 200 ms. A network partition can
		// cut such a replica off from them.
		CrossDomainCost time.Duration
		// MinIdle is the idle time below which a replica isn't evicted for a
		// background request; default 10 s. An urgent request may evict any
		// idle replica.
		MinIdle time.Duration
		// ReuseHalfTime is the idle time after which the assumed probability
		// that an evicted model is needed again soon has halved; default 2 min.
		ReuseHalfTime time.Duration
		// ColdStartWeight of the deployment, in [0, 1]; it scales the cost of
		// evictions relative to the load time of the wake itself.
		ColdStartWeight float64
	}

	// Chooser makes placement decisions. Its slices are buffers that are reused
	// by the next call.
	Chooser struct {
		settings     Settings
		candidates   []scoredResident
		bestVictims  []Victim
		trialVictims []Victim
	}

	// option is a possible load on a candidate.
	option struct {
		candidate *Candidate
		ready     time.Duration
		cost      time.Duration
		hash      uint64
	}
)

const (
	defaultLoadOverhead    = 500 * time.Millisecond
	defaultCrossDomainCost = 200 * time.Millisecond
	defaultMinIdle         = 10 * time.Second
	defaultReuseHalfTime   = 2 * time.Minute

	// fnvOffset and fnvPrime are the constants of 64-bit FNV-1a; fnvSeparator
	// ends each string, since it occurs in no UTF-8 text.
	fnvOffset    = 14695981039346656037
	fnvPrime     = 1099511628211
	fnvSeparator = 0xff
)

// defaultBytesPerSecond are the default load rates by tier.
var defaultBytesPerSecond = [3]float64{20e9, 4e9, 1e9}

// New returns a Chooser.
func New(s Settings) *Chooser {
	for i, d := range defaultBytesPerSecond {
		if s.BytesPerSecond[i] == 0 {
			s.BytesPerSecond[i] = d
		}
	}
	if s.LoadOverhead == 0 {
		s.LoadOverhead = defaultLoadOverhead
	}
	if s.CrossDomainCost == 0 {
		s.CrossDomainCost = defaultCrossDomainCost
	}
	if s.MinIdle == 0 {
		s.MinIdle = defaultMinIdle
	}
	if s.ReuseHalfTime == 0 {
		s.ReuseHalfTime = defaultReuseHalfTime
	}
	return &Chooser{settings: s}
}

// LoadTime returns the time to load weights of the given size from tier while
// no other load is in progress.
func (c *Chooser) LoadTime(tier Tier, bytes int64) time.Duration {
	return c.settings.LoadOverhead + time.Duration(float64(bytes)/c.settings.BytesPerSecond[tier]*float64(time.Second))
}

// Choose decides where the replica that w requests is loaded at now. The Evict
// list of the decision is valid until the next call.
func (c *Chooser) Choose(now time.Time, w *Wake, cands []Candidate) Decision {
	var best option
	var soonest time.Duration
	var found struct{ available, room, unavailableGrant, eligible bool }
	atLimit := w.Replicas >= w.Limit
	for i := range cands {
		d := &cands[i]
		unusedGrant := d.Granted && !d.Present
		if d.Unavailable || d.Excluded {
			found.unavailableGrant = found.unavailableGrant || unusedGrant
			continue
		}
		found.available = true
		if d.Present {
			continue
		}
		if !d.Granted && (w.LogDown || atLimit) {
			continue
		}
		found.eligible = true
		o, ok := c.evaluate(now, w, d)
		if !ok {
			continue
		}
		if !found.room || o.ready < soonest {
			soonest = o.ready
		}
		found.room = true
		if !w.Deadline.IsZero() && now.Add(o.ready).After(w.Deadline) {
			continue
		}
		if best.candidate == nil || o.betterThan(&best) {
			best = o
			c.bestVictims, c.trialVictims = c.trialVictims, c.bestVictims
		}
	}
	if best.candidate != nil {
		l := Load{Upstream: best.candidate.Upstream, NeedsGrant: !best.candidate.Granted, ReadyIn: best.ready, Tier: best.candidate.Tier}
		if len(c.bestVictims) > 0 {
			l.Evict = c.bestVictims
		}
		return l
	}
	switch {
	case found.room:
		return Refuse{Reason: TooLate, ReadyIn: soonest}
	case found.eligible:
		return Refuse{Reason: NoMemory}
	case atLimit && found.unavailableGrant:
		return Refuse{Reason: ReplicaElsewhere}
	case atLimit:
		return Refuse{Reason: ReplicaLimit}
	case !found.available:
		return Refuse{Reason: NoUpstream}
	case w.LogDown:
		return Refuse{Reason: LogUnavailable}
	default: // every available upstream has the model already
		return Refuse{Reason: NoUpstream}
	}
}

// evaluate returns the cost of a load on d and stores its evictions in
// c.trialVictims. ok is false if there is no room.
func (c *Chooser) evaluate(now time.Time, w *Wake, d *Candidate) (o option, ok bool) {
	c.trialVictims = c.trialVictims[:0]
	loadTime := c.LoadTime(d.Tier, w.WeightBytes)
	o = option{candidate: d, ready: loadTime * time.Duration(1+d.PendingLoads), hash: rendezvousHash(w, d)}
	if d.Tier == Remote {
		o.ready += w.StoreWait
	}
	o.cost = o.ready
	if d.FailureDomain != w.FailureDomain {
		o.cost += c.settings.CrossDomainCost
	}
	if d.Granted {
		return o, true
	}
	if need := d.ReservedBytes + w.Bytes - d.MemoryBytes; need > 0 {
		loss, ok := c.chooseEvictions(now, w.Class == declare.Background, need, d.Residents)
		if !ok {
			return o, false
		}
		o.cost += loss
	}
	return o, true
}

// betterThan orders options by cost, then by rendezvous hash.
func (o *option) betterThan(p *option) bool {
	if o.cost != p.cost {
		return o.cost < p.cost
	}
	return o.hash > p.hash
}

// rendezvousHash hashes model and upstream with FNV-1a, which is the same in
// all daemons and releases.
func rendezvousHash(w *Wake, d *Candidate) uint64 {
	h := uint64(fnvOffset)
	for _, s := range [2]string{w.Model, d.Upstream} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * fnvPrime
		}
		h = (h ^ fnvSeparator) * fnvPrime
	}
	return h
}
