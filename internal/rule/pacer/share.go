package pacer

import (
	"slices"
	"time"
)

const (
	// fnvOffset64 and fnvPrime64 are the parameters of the 64-bit FNV-1a hash.
	fnvOffset64 = 14695981039346656037
	fnvPrime64  = 1099511628211
)

// Share returns the part of the limits that this daemon may use at now.
func (p *Pacer) Share(now time.Time) Share {
	total := p.storeSpeed.slots()
	slots, unreachable := p.reachableSlots(now, total)
	s := Share{UnreachableDomains: unreachable}
	free := slots - len(p.running)
	p.ranks = p.ranks[:0]
	adapterOwners := 1
	for name, o := range p.peers {
		if now.Sub(o.asOf) > p.settings.StatusTTL || p.unreachable(now, p.owners[name]) {
			continue
		}
		free -= o.Running
		if o.QueuedUrgent+o.QueuedBackground > 0 {
			p.ranks = append(p.ranks, rank{urgent: o.QueuedUrgent > 0, loads: o.Running, hash: p.rotatingHash(now, name)})
		}
		if o.AdapterLoads > 0 {
			adapterOwners++
		}
	}
	own := p.Status(now)
	p.ranks = append(p.ranks, rank{self: true, urgent: own.QueuedUrgent > 0, loads: own.Running, hash: p.rotatingHash(now, p.settings.Owner)})
	slices.SortFunc(p.ranks, compareRank)
	s.Loads = len(p.running)
	if free > 0 {
		position := slices.IndexFunc(p.ranks, func(r rank) bool { return r.self })
		n := len(p.ranks)
		s.Loads += free / n
		if position < free%n {
			s.Loads++
		}
	}
	domains := max(len(p.settings.FailureDomains), 1)
	reachable := float64(domains-unreachable) / float64(domains)
	s.StartsPerSecond = p.settings.Limits.StoreLoadsPerSecond * reachable / float64(len(p.ranks))
	s.AdapterLoads = max(int(float64(p.settings.Limits.AdapterLoadsAtOnce)*reachable)/adapterOwners, 1)
	return s
}

// EstimateWait estimates the time until a load of the given urgency would start.
func (p *Pacer) EstimateWait(now time.Time, urgent bool) time.Duration {
	slots, _ := p.reachableSlots(now, p.storeSpeed.slots())
	ahead, running := 0, len(p.running)
	count := func(s Status) {
		ahead += s.QueuedUrgent
		if !urgent {
			ahead += s.QueuedBackground
		}
	}
	count(p.Status(now))
	for name, o := range p.peers {
		if now.Sub(o.asOf) <= p.settings.StatusTTL && !p.unreachable(now, p.owners[name]) {
			count(o.Status)
			running += o.Running
		}
	}
	queued := ahead + running + 1 - slots
	if queued <= 0 {
		return 0
	}
	return p.storeSpeed.meanDuration * time.Duration(queued) / time.Duration(max(slots, 1))
}

// reachableSlots returns the slots of the reachable failure domains out of total,
// and the number of unreachable failure domains. If there are fewer slots than
// failure domains, the slots rotate among them with time.
func (p *Pacer) reachableSlots(now time.Time, total int) (slots, unreachable int) {
	n := len(p.settings.FailureDomains)
	if n == 0 {
		return total, 0
	}
	offset := 0
	if total < n {
		offset = int(now.Unix() / max(int64(p.settings.RotationPeriod/time.Second), 1) % int64(n))
	}
	for i, d := range p.settings.FailureDomains {
		if p.unreachable(now, d) {
			unreachable++
			continue
		}
		slots += total / n
		if (i+offset)%n < total%n {
			slots++
		}
	}
	return slots, unreachable
}

// unreachable reports whether nothing was received from failure domain d for
// longer than PartitionTimeout. One without live owners uses no slots and does
// not count as unreachable.
func (p *Pacer) unreachable(now time.Time, d string) bool {
	if d == p.settings.FailureDomain || now.Sub(p.lastContact[d]) <= p.settings.PartitionTimeout {
		return false
	}
	for _, o := range p.owners {
		if o == d {
			return true
		}
	}
	return false
}

// rotatingHash returns a hash (FNV-1a) of the owner and the rotation period, so
// that the order by it changes with time and no owner is always last.
func (p *Pacer) rotatingHash(now time.Time, owner string) uint64 {
	h := uint64(fnvOffset64) ^ uint64(now.Unix()/max(int64(p.settings.RotationPeriod/time.Second), 1))
	for i := range len(owner) {
		h = (h ^ uint64(owner[i])) * fnvPrime64
	}
	return h
}

// compareRank orders owners: those with urgent loads first, then those that run
// fewer loads, then by hash.
func compareRank(a, b rank) int {
	switch {
	case a.urgent != b.urgent:
		if a.urgent {
			return -1
		}
		return 1
	case a.loads != b.loads:
		return a.loads - b.loads
	case a.hash != b.hash:
		if a.hash < b.hash {
			return -1
		}
		return 1
	}
	return 0
}
