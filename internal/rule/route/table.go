package route

import (
	"slices"
	"time"
)

type (
	// Health is what is known about an upstream's availability.
	Health uint8

	// Settings tune a Table. A zero field stands for its default.
	Settings struct {
		// FailureDomain is the daemon's own.
		FailureDomain string
		// CrossingCost is added for an upstream in another failure domain;
		// default 20 ms, several times the round trip, because a stream that
		// crosses is cut by a partition.
		CrossDomainCost time.Duration
		// AdapterCost is added if the adapter must be loaded; default 10 ms,
		// the upper end of an adapter load at full speed.
		AdapterCost time.Duration
		// PrefixSaving is what a fresh prefix hint saves; default 100 ms. It
		// falls linearly to 0 at PrefixAge; default 10 min.
		PrefixSaving time.Duration
		PrefixTTL    time.Duration
		// PrefixHints bounds the number of prefixes kept; default 16,384.
		MaxPrefixes int
		// Spread is the difference in wait that never matters; default 50 ms.
		WaitTolerance time.Duration
		// MaxSpread bounds the widening by the age of reports; default 5 s.
		MaxWaitTolerance time.Duration
		// ServiceTime is assumed for a request before one was measured;
		// default 4 s.
		ServiceTime time.Duration
		// SlowFactor times the median of the peers' latencies is where a
		// replica is set aside; default 3. SetAside is for how long;
		// default 30 s.
		SlowFactor   float64
		EjectionTime time.Duration
	}

	// Loaded is one model in a Report.
	LoadedModel struct {
		Model, Version string
		// Adapters that are loaded.
		Adapters []string
	}

	// Report is an engine's report as far as routing needs it.
	Report struct {
		Upstream      string
		FailureDomain string
		// Incarnation changes when the engine restarts.
		Incarnation string
		// At is the latest time, on this daemon's clock, by which the report
		// is known to have been taken: when it was asked for, less its lag.
		At time.Time
		// Sequences the engine runs at once.
		Sequences int
		// Running and Queued requests.
		Running, Queued int
		Models          []LoadedModel
	}

	// Table is the set of replicas that requests can be routed to.
	Table struct {
		s         Settings
		upstreams map[string]*upstream
		models    map[string]*model
		adapters  map[string]int32
		prefixes  prefixCache
		cands     []candidate
		lats      []time.Duration
	}

	upstream struct {
		name        string
		local       bool
		health      Health
		incarnation string
		reportAt    time.Time
		sequences   int
		reported    int
		inFlight    int
		deltas      deltas
		outstanding int
		prefixFrom  time.Time // hints from before are dropped
		prefixGap   time.Time // hints from before count half
		replicas    []*replica
	}

	replica struct {
		up       *upstream
		of       *model
		version  string
		adapters []int32 // sorted
		addedAt  time.Time
		gone     bool // unloaded, kept as a tombstone against late reports
		goneAt   time.Time
		latency  time.Duration
		samples  int
		asideTo  time.Time
	}

	model struct {
		name     string
		replicas []*replica
		service  time.Duration
	}
)

// Values of Health, from best to worst.
const (
	Live Health = iota
	Suspect
	Leaving
	Down
)

// New returns an empty Table.
func New(s Settings) *Table {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&s.CrossDomainCost, 20*time.Millisecond)
	def(&s.AdapterCost, 10*time.Millisecond)
	def(&s.PrefixSaving, 100*time.Millisecond)
	def(&s.PrefixTTL, 10*time.Minute)
	def(&s.WaitTolerance, 50*time.Millisecond)
	def(&s.MaxWaitTolerance, 5*time.Second)
	def(&s.ServiceTime, 4*time.Second)
	def(&s.EjectionTime, 30*time.Second)
	if s.MaxPrefixes == 0 {
		s.MaxPrefixes = 16384
	}
	if s.SlowFactor == 0 {
		s.SlowFactor = 3
	}
	return &Table{
		s: s, upstreams: map[string]*upstream{}, models: map[string]*model{},
		adapters: map[string]int32{}, prefixes: prefixCache{limit: s.MaxPrefixes},
	}
}

// SetReport replaces what is known about an upstream's load and replicas. It
// reports false for a report older than the last one, which is dropped. A
// replica that Loaded or Unloaded changed after the report was taken is kept
// as it is.
func (t *Table) SetReport(r Report) bool {
	u := t.upstream(r.Upstream)
	if r.At.Before(u.reportAt) {
		return false
	}
	u.local = r.FailureDomain == t.s.FailureDomain
	u.sequences = max(r.Sequences, 1)
	if r.Incarnation != u.incarnation {
		if u.incarnation != "" {
			u.prefixFrom = r.At
			u.inFlight = 0
			u.deltas = deltas{}
			for _, p := range u.replicas {
				p.latency, p.samples, p.asideTo = 0, 0, time.Time{}
			}
		}
		u.incarnation = r.Incarnation
	}
	u.reportAt, u.reported = r.At, r.Running+r.Queued
	u.deltas.prune(r.At)
	u.count()
	for _, l := range r.Models {
		p := t.find(u, l.Model, l.Version)
		if p != nil && p.gone && r.At.Before(p.goneAt) {
			continue
		}
		if p == nil {
			p = t.add(u, l.Model, l.Version)
		}
		p.gone = false
		p.adapters = p.adapters[:0]
		for _, a := range l.Adapters {
			p.adapters = append(p.adapters, t.adapter(a))
		}
		slices.Sort(p.adapters)
	}
	for i := len(u.replicas) - 1; i >= 0; i-- {
		p := u.replicas[i]
		listed := slices.ContainsFunc(r.Models, func(l LoadedModel) bool { return l.Model == p.of.name && l.Version == p.version })
		if !listed && !r.At.Before(p.addedAt) && !r.At.Before(p.goneAt) {
			t.drop(p)
		}
	}
	return true
}

// Loaded adds a replica whose load ended at now, before a report lists it.
func (t *Table) MarkLoaded(now time.Time, upstream, failureDomain, model, version string) {
	u := t.upstream(upstream)
	if u.reportAt.IsZero() {
		u.local = failureDomain == t.s.FailureDomain
	}
	p := t.find(u, model, version)
	if p == nil {
		p = t.add(u, model, version)
	}
	p.gone, p.addedAt = false, now
}

// Unloaded takes a replica out of use at now, before its unload is ordered.
func (t *Table) MarkUnloaded(now time.Time, upstream, model, version string) {
	if u := t.upstreams[upstream]; u != nil {
		if p := t.find(u, model, version); p != nil {
			p.gone, p.goneAt = true, now
		}
	}
}

// SetHealth records an upstream's health.
func (t *Table) SetHealth(upstream string, h Health) { t.upstream(upstream).health = h }

// Failed makes an upstream suspect after a request that failed there, unless
// it is known to be leaving or down, which a late failure does not undo.
func (t *Table) MarkFailed(upstream string) {
	if u := t.upstream(upstream); u.health < Suspect {
		u.health = Suspect
	}
}

// Answered takes back a suspicion, but nothing worse: the answer may be to a
// request from before.
func (t *Table) MarkResponded(upstream string) {
	if u := t.upstream(upstream); u.health == Suspect {
		u.health = Live
	}
}

// Remove forgets an upstream and its replicas.
func (t *Table) Remove(upstream string) {
	u := t.upstreams[upstream]
	if u == nil {
		return
	}
	for len(u.replicas) > 0 {
		t.drop(u.replicas[len(u.replicas)-1])
	}
	delete(t.upstreams, upstream)
}

// Sent records that this daemon sent a request to an upstream at now.
// prefix, if not 0, will be in the upstream's cache.
func (t *Table) RequestSent(now time.Time, upstream string, prefix uint64) {
	u := t.upstreams[upstream]
	if u == nil {
		return
	}
	u.inFlight++
	u.deltas.add(now, 1)
	u.count()
	if prefix != 0 {
		t.prefixes.put(prefix, u, now)
	}
}

// Done records the end of a request that Sent counted. latency is the time to
// the first token, or for a plain service to the answer; 0 if there is no
// sample, as after a cancellation. service is the whole time; 0 likewise.
func (t *Table) RequestDone(now time.Time, upstream, model, version string, latency, service time.Duration) {
	u := t.upstreams[upstream]
	if u == nil {
		return
	}
	// A request from before the upstream's restart or removal isn't counted
	// in any more.
	if u.inFlight > 0 {
		u.inFlight--
		u.deltas.add(now, -1)
		u.count()
	}
	p := t.find(u, model, version)
	if p == nil {
		return
	}
	if service > 0 {
		p.of.service = ewma(p.of.service, service)
	}
	if latency > 0 {
		p.latency = ewma(p.latency, latency)
		p.samples++
		t.judge(now, p)
	}
}

// Outstanding returns the estimated number of requests that an upstream runs
// or queues, and its number of sequences; both are 0 for an unknown one.
func (t *Table) Outstanding(upstream string) (n, sequences int) {
	if u := t.upstreams[upstream]; u != nil {
		return u.outstanding, u.sequences
	}
	return 0, 0
}

// Capacity returns the sequences of the usable replicas of a model version and
// how many of them are free. Sequences that an upstream shares between several
// models count for each of them. replicas is the number of usable replicas.
func (t *Table) Capacity(name, version string) (sequences, free, replicas int) {
	m := t.models[name]
	if m == nil {
		return 0, 0, 0
	}
	for _, p := range m.replicas {
		if p.gone || p.version != version || p.up.health >= Leaving {
			continue
		}
		replicas++
		sequences += p.up.sequences
		free += max(p.up.sequences-p.up.outstanding, 0)
	}
	return sequences, free, replicas
}

func (t *Table) upstream(name string) *upstream {
	u := t.upstreams[name]
	if u == nil {
		u = &upstream{name: name, sequences: 1}
		t.upstreams[name] = u
	}
	return u
}

func (t *Table) adapter(name string) int32 {
	id, ok := t.adapters[name]
	if !ok {
		id = int32(len(t.adapters)) + 1
		t.adapters[name] = id
	}
	return id
}

func (t *Table) find(u *upstream, model, version string) *replica {
	for _, p := range u.replicas {
		if p.of.name == model && p.version == version {
			return p
		}
	}
	return nil
}

func (t *Table) add(u *upstream, name, version string) *replica {
	m := t.models[name]
	if m == nil {
		m = &model{name: name}
		t.models[name] = m
	}
	p := &replica{up: u, of: m, version: version}
	u.replicas = append(u.replicas, p)
	m.replicas = append(m.replicas, p)
	return p
}

func (t *Table) drop(p *replica) {
	is := func(q *replica) bool { return q == p }
	p.up.replicas = slices.DeleteFunc(p.up.replicas, is)
	p.of.replicas = slices.DeleteFunc(p.of.replicas, is)
	if len(p.of.replicas) == 0 {
		delete(t.models, p.of.name)
	}
}
