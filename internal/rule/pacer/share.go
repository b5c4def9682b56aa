package pacer

import (
	"slices"
	"time"
)

// Share returns what this daemon may use at now.
func (p *Pacer) Share(now time.Time) Share {
	total := p.speed.places()
	mine, cut := p.reachable(now, total)
	s := Share{UnreachableDomains: cut}
	free := mine - len(p.running)
	p.order = p.order[:0]
	adapterOwners := 1
	for name, g := range p.peers {
		if now.Sub(g.at) > p.s.StatusTTL || p.silent(now, p.owners[name]) {
			continue
		}
		free -= g.Running
		if g.QueuedUrgent+g.QueuedBackground > 0 {
			p.order = append(p.order, rank{urgent: g.QueuedUrgent > 0, loads: g.Running, hash: p.hash(now, name)})
		}
		if g.AdapterLoads > 0 {
			adapterOwners++
		}
	}
	own := p.Status(now)
	p.order = append(p.order, rank{self: true, urgent: own.QueuedUrgent > 0, loads: own.Running, hash: p.hash(now, p.s.Owner)})
	slices.SortFunc(p.order, compareRank)
	s.Loads = len(p.running)
	if free > 0 {
		at := slices.IndexFunc(p.order, func(r rank) bool { return r.self })
		n := len(p.order)
		s.Loads += free / n
		if at < free%n {
			s.Loads++
		}
	}
	domains := max(len(p.s.FailureDomains), 1)
	reach := float64(domains-cut) / float64(domains)
	s.StartsPerSecond = p.s.Limits.StoreLoadsPerSecond * reach / float64(len(p.order))
	s.AdapterLoads = max(int(float64(p.s.Limits.AdapterLoadsAtOnce)*reach)/adapterOwners, 1)
	return s
}

// Wait estimates the time until a load of the given urgency would start.
func (p *Pacer) EstimateWait(now time.Time, urgent bool) time.Duration {
	places, _ := p.reachable(now, p.speed.places())
	ahead, running := 0, len(p.running)
	count := func(g Status) {
		ahead += g.QueuedUrgent
		if !urgent {
			ahead += g.QueuedBackground
		}
	}
	count(p.Status(now))
	for name, g := range p.peers {
		if now.Sub(g.at) <= p.s.StatusTTL && !p.silent(now, p.owners[name]) {
			count(g.Status)
			running += g.Running
		}
	}
	queued := ahead + running + 1 - places
	if queued <= 0 {
		return 0
	}
	return p.speed.mean * time.Duration(queued) / time.Duration(max(places, 1))
}

// reachable returns the places of the failure domains that can be heard, and
// the number of those that can't.
func (p *Pacer) reachable(now time.Time, total int) (places, cut int) {
	n := len(p.s.FailureDomains)
	if n == 0 {
		return total, 0
	}
	turn := 0
	if total < n {
		turn = int(now.Unix() / max(int64(p.s.RotationPeriod/time.Second), 1) % int64(n))
	}
	for i, d := range p.s.FailureDomains {
		if p.silent(now, d) {
			cut++
			continue
		}
		places += total / n
		if (i+turn)%n < total%n {
			places++
		}
	}
	return places, cut
}

// silent reports whether failure domain d has been silent for CutOff. One
// without live owners uses no places and isn't silent.
func (p *Pacer) silent(now time.Time, d string) bool {
	if d == p.s.FailureDomain || now.Sub(p.heard[d]) <= p.s.PartitionTimeout {
		return false
	}
	for _, o := range p.owners {
		if o == d {
			return true
		}
	}
	return false
}

// hash orders owners in a way that changes with time, so that none is always
// last (FNV-1a).
func (p *Pacer) hash(now time.Time, owner string) uint64 {
	h := uint64(14695981039346656037) ^ uint64(now.Unix()/max(int64(p.s.RotationPeriod/time.Second), 1))
	for i := range len(owner) {
		h = (h ^ uint64(owner[i])) * 1099511628211
	}
	return h
}

// compareRank puts owners with urgent loads first, then those that run fewer.
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
