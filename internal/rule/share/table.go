package share

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Table divides slots for one tenure of a holder. It is not safe for concurrent use.
	Table struct {
		rng *rand.Rand
		// beganAt is when the tenure began.
		beganAt time.Time
		slots   map[string]int
		daemons map[string]*daemon
		engines map[string]*engine
		// contended are the engines whose slots are granted, by ID.
		contended []*engine
		// rev counts the changes of the set that daemons were told, the last of them at
		// announcedAt, and isChanged is set if it has changed since.
		rev         uint64
		announcedAt time.Time
		isChanged   bool
		// granted is the number of the last grant.
		granted     uint64
		allocatedAt time.Time
		// asked is the number of requests that waited then, and waiting and ordered are
		// buffers that Allocate reuses.
		asked   int
		waiting []*request
		ordered []*request
		// nearLast is set if the last slot went to a patient request that yields to no
		// other.
		nearLast bool
		// summarizedAt is when what waits for each engine was counted.
		summarizedAt time.Time
	}

	// daemon is what a daemon has reported last, and what it was granted since.
	daemon struct {
		name    string
		at      time.Time
		running map[string]int
		asks    []fleet.SlotAsk
		// requests are those of asks that have no grant yet.
		requests []*request
		grants   []grant
		// newest is the largest ID of its requests: larger ones begin to wait.
		newest uint64
	}

	// request is one that waits at a daemon.
	request struct {
		id      uint64
		daemon  *daemon
		key     fleet.Key
		engines []*engine
		// onTime is the time until which it must start to be on time, within the time
		// that it had for that on arrival.
		onTime time.Time
		within time.Duration
		// until is the time until which it waits.
		until time.Time
		// urgency is its rank.
		urgency urgency
		// isLate and slack are as of the present Allocate: slack is the part that is
		// left of the time until onTime. isNear is set if it yields to no other.
		isLate, isNear bool
		slack          float64
	}

	// urgency is a request's rank, that of its account first; 0 is the most urgent.
	urgency struct{ account, route int }

	// grant is one that no report of its daemon includes.
	grant struct {
		fleet.SlotGrant
		key       fleet.Key
		at        time.Time
		delivered bool
	}

	engine struct {
		id string
		// running are the requests in progress by daemon, and total is their sum.
		running map[*daemon]int
		total   int
		// granted is the number of grants that no report includes, and free the room as
		// of the present Allocate.
		granted int
		free    float64
		ends    ends
		// classes are what waits for it, the most urgent first.
		classes []class
		// lateGranted counts the grants to late requests, and lateSeconds the time for
		// which some waited.
		lateGranted, lateSeconds flow
		// foreign is the estimate of the requests there that no report has, as of
		// observedAt.
		foreign    float64
		observedAt time.Time
		// draw rounds the headroom; it is drawn anew when requests have ended.
		draw     float64
		hasEnded bool
		// isContended is set while the engine's slots are granted, and calmSince is
		// since when they need not be, zero if they must.
		isContended bool
		calmSince   time.Time
	}
)

const (
	// turnaround is the time from the end of a request until another one begins in its
	// slot: the report of the end, the grant and the request, of some ms each, and the
	// gap between reports (30 ms at 75 daemons, of which half is waited for at the most).
	turnaround = 20 * time.Millisecond
	// maxIdle is the part of an engine's slots that may be idle for the turnaround. Where
	// requests are so short that it is more, the engine gets what ends in that time
	// beyond its slots, but at most the part maxHeadroom of them, so that none waits
	// there for longer than an eighth of a request. Where they are longer, such a wait
	// would make more requests late than the idle time costs.
	maxIdle     = 0.05
	maxHeadroom = 0.125
	// foreignRise and foreignMemory are the times in which the estimate of requests that no
	// report has rises by those that wait at the engine, and falls without any: some and
	// several times of what a request takes. At six times what waits it stays the same.
	foreignRise   = 500 * time.Millisecond
	foreignMemory = 3 * time.Second
	// tolerated is the number of requests that wait at an engine in the mean although no
	// others than those that were granted slots are there: the headroom of short ones.
	tolerated = 0.25
	// maxForeignPart is the part of an engine's slots that the estimate may take, so that
	// the holder goes on granting slots.
	maxForeignPart = 0.75
	// reportInterval and reportPerDaemon are those of the daemons' reports
	// (node/syncer). A daemon that has missed a half of one more may be gone, and its
	// requests with it.
	reportInterval  = 200 * time.Millisecond
	reportPerDaemon = 3 * time.Millisecond
	missedPart      = 1.5
	// patience is the time to start in on time from which a request yields to more urgent
	// ones, until nearPart of it is left: several times a request of 0.25 to 2 s ends
	// in that part at an engine, and grants take some 30 ms.
	patience = time.Second
	nearPart = 0.25
	// calmPart is the part of its slots below which an engine is no longer contended
	// when it has been so for calmTime, and nothing has waited for it. Two reports of
	// each daemon come in that time.
	calmPart = 0.75
	calmTime = 500 * time.Millisecond
	// grantTTL is the time after which a grant counts as lost that no report includes:
	// longer than two intervals of reports at 75 daemons, and one at 160.
	grantTTL = 500 * time.Millisecond
	// warmUp is the time after the beginning of a tenure for which nothing is granted:
	// daemons report to a new holder after a back-off of at most 0.8 s.
	warmUp = time.Second
	// gapPerRequest is the least time between two allocations for each request that
	// waits, up to maxAllocationGap, so that their cost, some 0.1 microseconds for each,
	// doesn't grow with the rate of reports.
	gapPerRequest    = 20 * time.Microsecond
	maxAllocationGap = 5 * time.Millisecond
	// endsMemory is the time constant of the averages of ends: some requests of a hot
	// engine, and a small part of the time for which a model stays hot.
	endsMemory = time.Second
	// maxRequests bounds the requests of a daemon that count: more than it can be
	// granted until its next report.
	maxRequests = 64
	// maxEngines bounds the engines of an ask: copies of a model beyond that are
	// granted when others are full.
	maxEngines = 16
	// entryBytes is the size of a contended engine on the wire, and bytesPerSecond what
	// the holder sends of them to all daemons together: a third of the slowest link of
	// the deployments' sheets (10 Mbit/s).
	entryBytes     = 24
	bytesPerSecond = 400e3
	// maxWordAge is the age of the rates of ends from which daemons are told them again.
	// They go by them only while there is no holder.
	maxWordAge = 3 * time.Second
	// MaxContended bounds the contended engines, those of the largest deployment that
	// may be hot at a time (docs/CAPACITY.md).
	MaxContended = 128
)

// New returns a Table without engines for a tenure that begins at now.
func New(now time.Time, rng *rand.Rand) *Table {
	return &Table{rng: rng, beganAt: now, slots: map[string]int{}, daemons: map[string]*daemon{}, engines: map[string]*engine{}}
}

// SetSlots replaces the engines, and the number of requests that each runs at once. Plain
// services' upstreams are not among them.
func (t *Table) SetSlots(slots map[string]int) {
	t.slots = slots
	for id, e := range t.engines {
		if slots[id] <= 0 {
			e.isContended = false
			delete(t.engines, id)
		}
	}
	if slices.ContainsFunc(t.contended, func(e *engine) bool { return !e.isContended }) {
		t.dropCalm()
	}
}

// Rev returns the revision of the set of contended engines.
func (t *Table) Rev() uint64 { return t.rev }

// Count returns the number of contended engines.
func (t *Table) Count() int { return len(t.contended) }

// IDs returns those of the contended engines, at most limit.
func (t *Table) IDs(limit int) (ids []string) {
	for _, e := range t.contended[:min(len(t.contended), limit)] {
		ids = append(ids, e.id)
	}
	return ids
}

// Word returns what a daemon is told that knows the contended engines as of a revision.
func (t *Table) Word(now time.Time, rev uint64) *fleet.SlotWord {
	w := &fleet.SlotWord{Grants: true, Known: now.Sub(t.beganAt) >= warmUp}
	if w.Same = w.Known && rev == t.rev && rev > 0; w.Same || !w.Known {
		return w
	}
	w.Contended = make([]fleet.ContendedEngine, 0, len(t.contended))
	for _, e := range t.contended {
		w.Contended = append(w.Contended, fleet.ContendedEngine{ID: e.id, PerSecond: math.Round(e.ends.perSecond(now))})
	}
	return w
}

// Report replaces what a daemon has in progress, by upstream, and takes over its asks.
func (t *Table) Report(now time.Time, name string, fence int64, running map[string]int, d *fleet.Demand) {
	r := t.daemons[name]
	if r == nil {
		r = &daemon{name: name}
		t.daemons[name] = r
	}
	for id, n := range d.Ended {
		if e := t.engine(id); e != nil {
			e.observe(now, t.slots[id], n, d.Waited[id])
			e.ends.advance(now, e.total)
			e.ends.count += float64(n)
		}
	}
	t.setRunning(now, r, running)
	confirmed := uint64(0)
	if d.Granted.Fence == fence {
		confirmed = d.Granted.Number
	}
	r.asks = d.Asks
	t.dropGrants(r, func(g *grant) bool { return g.delivered && g.Number <= confirmed || now.Sub(g.at) > grantTTL })
	t.setRequests(now, r)
	for id := range running {
		if e := t.engines[id]; e != nil {
			t.begin(now, e)
		}
	}
	t.endCalm(now)
	t.announce(now)
}

// setRunning replaces the requests that a daemon has in progress.
func (t *Table) setRunning(now time.Time, r *daemon, running map[string]int) {
	former := r.running
	for id := range former {
		if e := t.engines[id]; e != nil && running[id] == 0 {
			e.set(now, r, 0)
		}
	}
	for id, n := range running {
		if e := t.engine(id); e != nil {
			e.set(now, r, n)
		}
	}
	r.at, r.running = now, running
	for id := range former {
		if e := t.engines[id]; e != nil && e.total == 0 && e.granted == 0 && !e.isContended {
			delete(t.engines, id)
		}
	}
}

// engine returns an engine, nil if there is none with the ID.
func (t *Table) engine(id string) *engine {
	e := t.engines[id]
	if e == nil && t.slots[id] > 0 {
		e = &engine{id: id, running: map[*daemon]int{}}
		t.engines[id] = e
	}
	return e
}

// set replaces the requests of a daemon in progress at the engine.
func (e *engine) set(now time.Time, d *daemon, n int) {
	e.ends.advance(now, e.total)
	e.total += n - e.running[d]
	if n < e.running[d] {
		e.hasEnded = true
	}
	if e.running[d] = n; n == 0 {
		delete(e.running, d)
	}
}

// dropGrants drops grants that are over.
func (t *Table) dropGrants(d *daemon, over func(*grant) bool) {
	d.grants = slices.DeleteFunc(d.grants, func(g grant) bool {
		if !over(&g) {
			return false
		}
		if e := t.engines[g.Engine]; e != nil {
			e.granted--
		}
		return true
	})
}

// Expire forgets the daemons that have not reported for ttl.
func (t *Table) Expire(now time.Time, ttl time.Duration) {
	for name, d := range t.daemons {
		if now.Sub(d.at) > ttl {
			t.setRunning(now, d, nil)
			t.dropGrants(d, func(*grant) bool { return true })
			delete(t.daemons, name)
		}
	}
}

// setRequests takes the requests of a daemon's asks, less those that it has grants for.
func (t *Table) setRequests(now time.Time, d *daemon) {
	granted := map[fleet.Key]int{}
	for _, g := range d.grants {
		granted[g.key]++
	}
	d.requests = d.requests[:0]
	newest := d.newest
	for _, a := range d.asks {
		var engines []*engine
		for _, id := range a.Engines[:min(len(a.Engines), maxEngines)] {
			if e := t.engines[id]; e != nil {
				engines = append(engines, e)
			}
		}
		for i, r := range a.Requests {
			if r.ID > d.newest {
				newest = max(newest, r.ID)
				for _, e := range engines {
					e.class(urgency{r.AccountRank, r.Rank}).arrived.add(now, 1/float64(len(engines)))
				}
			}
			if i >= granted[a.Key] && len(d.requests) < maxRequests {
				d.requests = append(d.requests, &request{
					id: r.ID, daemon: d, key: a.Key, engines: engines, urgency: urgency{r.AccountRank, r.Rank}, onTime: now.Add(r.Slack), within: r.Within, until: now.Add(r.Left),
				})
			}
		}
	}
	d.newest = newest
}

// Has reports whether a daemon has grants that it wasn't told.
func (t *Table) Has(name string) bool {
	d := t.daemons[name]
	return d != nil && slices.ContainsFunc(d.grants, func(g grant) bool { return !g.delivered })
}

// Take returns the grants that a daemon wasn't told.
func (t *Table) Take(name string) (grants []fleet.SlotGrant) {
	d := t.daemons[name]
	if d == nil {
		return nil
	}
	for i := range d.grants {
		if g := &d.grants[i]; !g.delivered {
			g.delivered = true
			grants = append(grants, g.SlotGrant)
		}
	}
	return grants
}
