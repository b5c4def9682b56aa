package pick

import (
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/hrw"
	"github.com/azurespan/azurespan/internal/rule/permit"
)

// Choose returns the upstream for a request at now.
func (t *Table) Choose(now time.Time, q *Query) (Choice, Reason) {
	usable, loaded := false, false
	// other is set if the service has upstreams of other versions than the query's.
	other := false
	median := t.medianFirstByte(q.Key.Service)
	partitioned := t.partitionedDomain(now, q.Key.Service)
	t.candidates = t.candidates[:0]
	q.Limited = ""
	limitedCostSeen := 0.0
	q.PausedUntil = time.Time{}
	allPaused := true
	for _, u := range t.byService[q.Key.Service] {
		if u.leaving() || tried(q.Tried, u.info.ID) {
			continue
		}
		if q.Version != nil && u.info.Version != *q.Version {
			other = true
			continue
		}
		if (q.Begins || q.Version != nil) && u.restarted(now) {
			other = true
			continue
		}
		usable = true
		if !u.canRun(now, q.Key) || q.Begins && q.Version == nil && u.closed {
			continue
		}
		loaded = true
		if u.paused(now) {
			if q.PausedUntil.IsZero() || u.pausedUntil.Before(q.PausedUntil) {
				q.PausedUntil = u.pausedUntil
			}
			continue
		}
		allPaused = false
		load := t.load(u)
		switch t.gate(now, u) {
		case permit.Closed:
			continue
		case permit.Open:
			if load >= t.maxLoad(u) {
				continue
			}
		case permit.Permitted:
		}
		if t.brittle(u) {
			if !t.brittleAllows(now, u) {
				continue
			}
			load = t.brittleLoad(u)
		}
		cost := t.cost(now, u, q, load, median)
		if u.info.FailureDomain == partitioned && !u.ejected(now) {
			cost += suspectCost
		}
		if t.limits.Limited(u.info) {
			if !t.limits.Allows(now, u.info) {
				if q.Limited == "" || cost < limitedCostSeen {
					q.Limited, limitedCostSeen = u.info.ID, cost
				}
				continue
			}
			if t.limits.Stale(now, u.info.ID) {
				// The permit is for a request that shows whether the upstream
				// still has the limit.
				cost -= limitedCost
			} else {
				cost += limitedCost
			}
		}
		t.candidates = append(t.candidates, candidate{u, cost})
	}
	if !allPaused {
		q.PausedUntil = time.Time{}
	}
	switch {
	case len(t.candidates) > 0:
		q.Limited = ""
		u := t.drawCandidate()
		return Choice{Upstream: u.info, Load: t.load(u), Candidates: len(t.candidates), Granted: t.gate(now, u) == permit.Permitted, Ejected: u.ejected(now)}, Found
	case !usable && other:
		return Choice{}, OtherVersion
	case !usable:
		return Choice{}, NoUpstream
	case !loaded:
		return Choice{}, NotLoaded
	}
	return Choice{}, Full
}

// drawCandidate returns one of the candidates at random. The load that other
// daemons add is known late, so if every daemon took the cheapest upstream they
// would overload it together. A candidate is drawn with a weight that falls
// linearly from the lowest cost to zero at the cost that the others' unseen
// requests may account for (after Mitzenmacher, "How useful is old
// information?", IEEE TPDS 11(1), 2000).
func (t *Table) drawCandidate() *upstream {
	lowest := t.candidates[0].cost
	for _, c := range t.candidates {
		lowest = min(lowest, c.cost)
	}
	margin := min(unseenPerDaemon*float64(t.daemons-1), maxUnseen) + minUnseen
	sum := 0.0
	for _, c := range t.candidates {
		sum += max(lowest+margin-c.cost, 0)
	}
	x := t.rng.Float64() * sum
	var last *upstream
	for _, c := range t.candidates {
		if weight := lowest + margin - c.cost; weight > 0 {
			last = c.up
			if x -= weight; x < 0 {
				break
			}
		}
	}
	return last
}

// canRun reports whether the upstream has loaded the model and adapter of the
// key, as far as is known at now.
func (u *upstream) canRun(now time.Time, k fleet.Key) bool {
	if k.Model == "" {
		return true
	}
	adapters, ok := u.models[k.Model]
	if !ok || k.Adapter != "" && !adapters[k.Adapter] {
		return false
	}
	at, ok := u.missing[fleet.ModelName(k.Model, k.Adapter)]
	return !ok || now.Sub(at) > missingTTL
}

// concurrency returns the number of requests that an upstream runs at once.
func (t *Table) concurrency(u *upstream) int {
	if n := t.slots[u.info.Service]; n > 0 {
		return n
	}
	return max(u.info.Slots, 1)
}

// load returns the number of requests in progress per slot.
func (t *Table) load(u *upstream) float64 {
	return float64(u.localRunning+u.remoteRunning) / float64(t.concurrency(u))
}

// maxLoad returns the load at which an upstream is full.
func (t *Table) maxLoad(u *upstream) float64 {
	if t.slots[u.info.Service] > 0 {
		return engineMaxLoad
	}
	return serviceMaxLoad
}

// cost returns the cost of sending q to u. median is the median time to the
// first byte of the service's upstreams in seconds, 0 if it is unknown.
func (t *Table) cost(now time.Time, u *upstream, q *Query, load, median float64) float64 {
	slowFactor := 1.0
	if u.firstByteSeconds > 0 && median > 0 {
		slowFactor = min(max(u.firstByteSeconds/median, 1), maxSlowFactor)
	}
	c := (load + 1/float64(t.concurrency(u))) * slowFactor
	c += slownessCost * (slowFactor - 1)
	c += errorCost * u.errorRate
	if u.info.FailureDomain != t.settings.FailureDomain {
		c += crossDomainCost
	}
	if u.info.ColdFor > 0 {
		c += coldCost
	}
	if u.ejected(now) {
		c += ejectedCost
	} else if u.suspect() && (u.probes > 0 || q.NoRetry) {
		// After an ejection a single repeatable request probes the upstream.
		c += suspectCost
	}
	if q.PrefixKey != "" && load < prefixMaxLoad {
		// The upper half of the score is scaled to [0, 1).
		c -= prefixDiscount * float64(hrw.Score(q.PrefixKey, u.info.ID)>>32) / float64(1<<32)
	}
	return c
}

// medianFirstByte returns the lower median of the time to the first byte of a
// service's upstreams in seconds, or 0 with too few samples.
func (t *Table) medianFirstByte(service string) float64 {
	var samples [maxFirstByteSamples]float64
	xs := samples[:0]
	for _, u := range t.byService[service] {
		if u.firstByteSeconds > 0 && len(xs) < cap(xs) {
			xs = append(xs, u.firstByteSeconds)
		}
	}
	if len(xs) < minFirstByteSamples {
		return 0
	}
	sort.Float64s(xs)
	return xs[(len(xs)-1)/2]
}

// partitionedDomain returns the failure domain with the most ejected upstreams
// of the service if these are at least minPartitionEjections and half of all
// there: the remaining ones are then probably unreachable too. It returns ""
// if there is none, and never the daemon's own failure domain.
func (t *Table) partitionedDomain(now time.Time, service string) string {
	var names [maxPartitionDomains]string
	var all, ejected [maxPartitionDomains]int
	n := 0
	for _, u := range t.byService[service] {
		d := u.info.FailureDomain
		if d == t.settings.FailureDomain {
			continue
		}
		i := 0
		for i < n && names[i] != d {
			i++
		}
		if i == n {
			if n == len(names) {
				continue
			}
			names[n] = d
			n++
		}
		all[i]++
		if u.ejected(now) {
			ejected[i]++
		}
	}
	worst, most := "", minPartitionEjections-1
	for i := range n {
		if ejected[i] > most && 2*ejected[i] >= all[i] {
			worst, most = names[i], ejected[i]
		}
	}
	return worst
}

func tried(ids []string, id string) bool {
	for _, t := range ids {
		if t == id {
			return true
		}
	}
	return false
}
