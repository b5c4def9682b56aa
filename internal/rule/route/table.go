package route

import (
	"slices"
	"time"
)

type (
	// Health is what is known about an upstream's availability.
	Health uint8

	// Settings configures a Table. A zero field stands for its default.
	Settings struct {
		// FailureDomain is that of the daemon.
		FailureDomain string
		// CrossDomainCost is added for an upstream in another failure domain;
		// default 20 ms, several times the round trip, because a network
		// partition interrupts a stream between failure domains.
		CrossDomainCost time.Duration
		// AdapterCost is added if the adapter must be loaded; default 10 ms,
		// the upper end of an adapter load at full speed.
		AdapterCost time.Duration
		// PrefixSaving is the time that a new prefix hint saves; default
		// 100 ms. It falls linearly to 0 at the age PrefixTTL; default 10 min.
		PrefixSaving time.Duration
		PrefixTTL    time.Duration
		// MaxPrefixes bounds the number of prefixes kept; default 16,384.
		MaxPrefixes int
		// WaitTolerance is the difference in cost that never matters; default
		// 50 ms.
		WaitTolerance time.Duration
		// MaxWaitTolerance bounds the sum of WaitTolerance and the age of
		// reports; default 5 s.
		MaxWaitTolerance time.Duration
		// ServiceTime is assumed for a request until one was measured; default
		// 4 s.
		ServiceTime time.Duration
		// SlowFactor is the multiple of the peers' median latency above which
		// a replica is ejected; default 3.
		SlowFactor float64
		// EjectionTime is how long a slow replica is ejected, and an upstream is
		// suspect after a failed request; default 30 s.
		EjectionTime time.Duration
	}

	// LoadedModel is one model in a Report.
	LoadedModel struct {
		Model, Version string
		// Adapters lists the loaded adapters.
		Adapters []string
	}

	// Report is the part of an engine's report that routing needs.
	Report struct {
		Upstream      string
		FailureDomain string
		// Incarnation changes when the engine restarts.
		Incarnation string
		// At is the latest time, on this daemon's clock, by which the report
		// is known to have been taken: when it was asked for, less its lag.
		At time.Time
		// Sequences is the number of requests that the engine runs at once.
		Sequences int
		// Running and Queued are numbers of requests.
		Running, Queued int
		Models          []LoadedModel
	}

	// Table is the set of replicas that requests can be routed to.
	Table struct {
		settings   Settings
		upstreams  map[string]*upstream
		models     map[string]*model
		adapters   map[string]int32
		prefixes   prefixCache
		candidates []candidate
		latencies  []time.Duration
	}

	upstream struct {
		name   string
		local  bool
		health Health
		// suspectUntil is the end of a suspicion after a failed request, zero for
		// one of the peers.
		suspectUntil     time.Time
		incarnation      string
		reportAt         time.Time
		sequences        int
		reportedRequests int
		inFlight         int
		deltas           deltas
		outstanding      int
		// silentSince is when the upstream, which has been silent since then,
		// last sent something; it is not preferred until silentUntil.
		silentSince, silentUntil time.Time
		prefixValidFrom          time.Time // earlier hints are ignored
		prefixGapAt              time.Time // earlier hints count half
		replicas                 []*replica
	}

	replica struct {
		upstream     *upstream
		model        *model
		version      string
		adapters     []int32 // sorted
		loadedAt     time.Time
		unloaded     bool // kept as a tombstone against late reports
		unloadedAt   time.Time
		latency      time.Duration
		samples      int
		ejectedUntil time.Time
	}

	model struct {
		name        string
		replicas    []*replica
		serviceTime time.Duration
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
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&s.CrossDomainCost, 20*time.Millisecond)
	setDefault(&s.AdapterCost, 10*time.Millisecond)
	setDefault(&s.PrefixSaving, 100*time.Millisecond)
	setDefault(&s.PrefixTTL, 10*time.Minute)
	setDefault(&s.WaitTolerance, 50*time.Millisecond)
	setDefault(&s.MaxWaitTolerance, 5*time.Second)
	setDefault(&s.ServiceTime, 4*time.Second)
	setDefault(&s.EjectionTime, 30*time.Second)
	if s.MaxPrefixes == 0 {
		s.MaxPrefixes = 16384
	}
	if s.SlowFactor == 0 {
		s.SlowFactor = 3
	}
	return &Table{
		settings: s, upstreams: map[string]*upstream{}, models: map[string]*model{},
		adapters: map[string]int32{}, prefixes: prefixCache{limit: s.MaxPrefixes},
	}
}

// SetReport replaces the known load and replicas of an upstream. It drops a
// report that is older than the last one and returns false. A replica that
// MarkLoaded or MarkUnloaded changed after the report was taken is left as it
// is.
func (t *Table) SetReport(r Report) bool {
	u := t.upstream(r.Upstream)
	if r.At.Before(u.reportAt) {
		return false
	}
	u.local = r.FailureDomain == t.settings.FailureDomain
	u.sequences = max(r.Sequences, 1)
	if r.Incarnation != u.incarnation {
		if u.incarnation != "" {
			u.prefixValidFrom = r.At
			u.inFlight = 0
			u.deltas = deltas{}
			u.silentSince, u.silentUntil = time.Time{}, time.Time{}
			for _, p := range u.replicas {
				p.latency, p.samples, p.ejectedUntil = 0, 0, time.Time{}
			}
		}
		u.incarnation = r.Incarnation
	}
	u.reportAt, u.reportedRequests = r.At, r.Running+r.Queued
	u.deltas.prune(r.At)
	u.updateOutstanding()
	for _, l := range r.Models {
		p := t.findReplica(u, l.Model, l.Version)
		if p != nil && p.unloaded && r.At.Before(p.unloadedAt) {
			continue
		}
		if p == nil {
			p = t.addReplica(u, l.Model, l.Version)
		}
		p.unloaded = false
		p.adapters = p.adapters[:0]
		for _, a := range l.Adapters {
			p.adapters = append(p.adapters, t.adapterID(a))
		}
		slices.Sort(p.adapters)
	}
	for i := len(u.replicas) - 1; i >= 0; i-- {
		p := u.replicas[i]
		listed := slices.ContainsFunc(r.Models, func(l LoadedModel) bool { return l.Model == p.model.name && l.Version == p.version })
		if !listed && !r.At.Before(p.loadedAt) && !r.At.Before(p.unloadedAt) {
			t.removeReplica(p)
		}
	}
	return true
}

// MarkLoaded adds a replica whose load ended at now, before a report lists it.
func (t *Table) MarkLoaded(now time.Time, upstream, failureDomain, model, version string) {
	u := t.upstream(upstream)
	if u.reportAt.IsZero() {
		u.local = failureDomain == t.settings.FailureDomain
	}
	p := t.findReplica(u, model, version)
	if p == nil {
		p = t.addReplica(u, model, version)
	}
	p.unloaded, p.loadedAt = false, now
}

// MarkUnloaded stops requests to a replica at now, before its unload is ordered.
func (t *Table) MarkUnloaded(now time.Time, upstream, model, version string) {
	if u := t.upstreams[upstream]; u != nil {
		if p := t.findReplica(u, model, version); p != nil {
			p.unloaded, p.unloadedAt = true, now
		}
	}
}

// Remove removes an upstream and its replicas.
func (t *Table) Remove(upstream string) {
	u := t.upstreams[upstream]
	if u == nil {
		return
	}
	for len(u.replicas) > 0 {
		t.removeReplica(u.replicas[len(u.replicas)-1])
	}
	delete(t.upstreams, upstream)
}

// RequestSent records that this daemon sent a request to an upstream at now.
// prefix, if not 0, is the hash of the prefix that the upstream will cache.
func (t *Table) RequestSent(now time.Time, upstream string, prefix uint64) {
	u := t.upstreams[upstream]
	if u == nil {
		return
	}
	u.inFlight++
	u.deltas.add(now, 1)
	u.updateOutstanding()
	if prefix != 0 {
		t.prefixes.put(prefix, u, now)
	}
}

// RequestDone records the end of a request that RequestSent counted. latency is
// the time to the first token, or for a plain service to the response, and
// service the whole service time; each is 0 if there is no sample, as after a
// cancellation.
func (t *Table) RequestDone(now time.Time, upstream, model, version string, latency, service time.Duration) {
	u := t.upstreams[upstream]
	if u == nil {
		return
	}
	// A request sent before the upstream's restart or removal is no longer
	// included in inFlight.
	if u.inFlight > 0 {
		u.inFlight--
		u.deltas.add(now, -1)
		u.updateOutstanding()
	}
	if service > 0 {
		u.silentSince, u.silentUntil = time.Time{}, time.Time{}
	}
	p := t.findReplica(u, model, version)
	if p == nil {
		return
	}
	if service > 0 {
		p.model.serviceTime = ewma(p.model.serviceTime, service)
	}
	if latency > 0 {
		p.latency = ewma(p.latency, latency)
		p.samples++
		t.ejectIfSlow(now, p)
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
		if p.unloaded || p.version != version || p.upstream.health >= Leaving {
			continue
		}
		replicas++
		sequences += p.upstream.sequences
		free += max(p.upstream.sequences-p.upstream.outstanding, 0)
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

func (t *Table) adapterID(name string) int32 {
	id, ok := t.adapters[name]
	if !ok {
		id = int32(len(t.adapters)) + 1
		t.adapters[name] = id
	}
	return id
}

func (t *Table) findReplica(u *upstream, model, version string) *replica {
	for _, p := range u.replicas {
		if p.model.name == model && p.version == version {
			return p
		}
	}
	return nil
}

func (t *Table) addReplica(u *upstream, name, version string) *replica {
	m := t.models[name]
	if m == nil {
		m = &model{name: name}
		t.models[name] = m
	}
	p := &replica{upstream: u, model: m, version: version}
	u.replicas = append(u.replicas, p)
	m.replicas = append(m.replicas, p)
	return p
}

func (t *Table) removeReplica(p *replica) {
	equalsP := func(q *replica) bool { return q == p }
	p.upstream.replicas = slices.DeleteFunc(p.upstream.replicas, equalsP)
	p.model.replicas = slices.DeleteFunc(p.model.replicas, equalsP)
	if len(p.model.replicas) == 0 {
		delete(t.models, p.model.name)
	}
}
