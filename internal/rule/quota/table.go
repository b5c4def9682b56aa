package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Table holds the limits that a daemon knows and its permits. It is not safe
	// for concurrent use.
	Table struct {
		limits map[string]*limit
	}

	// limit is what is known of one upstream's limit.
	limit struct {
		fleet.RateLimit
		// namedAt is when an answer last named or lifted the limit.
		namedAt time.Time
		// permits are the times at which permits become void.
		permits []time.Time
		// share is the part of a permit that this daemon has accrued by itself
		// until sharedAt.
		share    float64
		sharedAt time.Time
	}
)

const (
	// permitTTL is the time within which a permit must be used.
	permitTTL = time.Second
	// limitTTL is the time after which a limit is forgotten that no answer has
	// named again, and liftedTTL that after which it is forgotten that one was
	// lifted: longer than news take to reach all daemons.
	limitTTL  = 10 * time.Minute
	liftedTTL = 10 * time.Second
	// StaleAfter is the time without news of a limit from which one request at a
	// time is sent to find out whether the upstream still names it.
	StaleAfter = 2 * time.Second
	// maxPerSecond bounds a limit, since a daemon gives itself a permit for each
	// request of its share.
	maxPerSecond = 10_000
	// maxShareGap is the longest time for which a daemon accrues permits at once.
	maxShareGap = time.Second
)

// New returns an empty Table.
func New() *Table { return &Table{limits: map[string]*limit{}} }

// Answered takes over what the answer to a request that was sent at sent says of its
// upstream's limit: the requests a second, or nothing if named is false. It reports
// whether the limit has changed.
func (t *Table) Answered(now, sent time.Time, up fleet.Upstream, perSecond float64, named bool) bool {
	perSecond = min(perSecond, maxPerSecond)
	l := t.limits[up.ID]
	known := l != nil && l.Born == up.Born
	if !named && (!known || l.Lifted || sent.Before(l.namedAt)) {
		// Answers may overtake each other.
		return false
	}
	changed := !known || l.Lifted == named || named && l.PerSecond != perSecond
	t.set(now, fleet.RateLimit{Upstream: up.ID, Born: up.Born, PerSecond: perSecond, Lifted: !named})
	return changed
}

// set replaces what is known of an upstream's limit, named at a time.
func (t *Table) set(at time.Time, named fleet.RateLimit) {
	named.PerSecond = min(named.PerSecond, maxPerSecond)
	l := t.limits[named.Upstream]
	if l == nil || l.Born != named.Born {
		l = &limit{}
		t.limits[named.Upstream] = l
	}
	l.RateLimit, l.namedAt = named, at
}

// Learn takes over limits that another daemon knows, unless newer ones are known. It
// reports whether any has changed.
func (t *Table) Learn(now time.Time, limits []fleet.NamedLimit) (changed bool) {
	for _, n := range limits {
		at := now.Add(-n.Age)
		l := t.limits[n.Upstream]
		if l != nil && (l.Born > n.Born || l.Born == n.Born && !at.After(l.namedAt)) {
			continue
		}
		changed = changed || l == nil || l.RateLimit != n.RateLimit
		t.set(at, n.RateLimit)
	}
	return changed
}

// Named returns what is known of limits, for other daemons, and forgets what is too
// old.
func (t *Table) Named(now time.Time) (out []fleet.NamedLimit) {
	for id, l := range t.limits {
		age := now.Sub(l.namedAt)
		if age > limitTTL || l.Lifted && age > liftedTTL {
			delete(t.limits, id)
			continue
		}
		out = append(out, fleet.NamedLimit{RateLimit: l.RateLimit, Age: age})
	}
	slices.SortFunc(out, func(a, b fleet.NamedLimit) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// Count returns the number of upstreams that have a limit.
func (t *Table) Count() (n int) {
	for _, l := range t.limits {
		if !l.Lifted {
			n++
		}
	}
	return n
}

// Limited reports whether an upstream has a limit.
func (t *Table) Limited(up fleet.Upstream) bool { return t.limit(up) != nil }

// Stale reports whether an upstream's limit, if it has one, hasn't been named for
// StaleAfter.
func (t *Table) Stale(now time.Time, id string) bool {
	l := t.limits[id]
	return l != nil && !l.Lifted && now.Sub(l.namedAt) > StaleAfter
}

// PerSecond returns the limit of the upstream with an id, and false if it has none.
func (t *Table) PerSecond(id string) (float64, bool) {
	if l := t.limits[id]; l != nil && !l.Lifted {
		return l.PerSecond, true
	}
	return 0, false
}

// limit returns the limit of an upstream, nil if it has none.
func (t *Table) limit(up fleet.Upstream) *limit {
	if l := t.limits[up.ID]; l != nil && l.Born == up.Born && !l.Lifted {
		return l
	}
	return nil
}

// Grant adds permits by upstream.
func (t *Table) Grant(now time.Time, permits map[string]int) {
	for id, n := range permits {
		if l := t.limits[id]; l != nil {
			l.grant(now, n)
		}
	}
}

func (l *limit) grant(now time.Time, n int) {
	for range n {
		l.permits = append(l.permits, now.Add(permitTTL))
	}
}

// Accrue adds this daemon's share of each limit since the last call, as one of a
// number of daemons that have no holder. dealt is set while there is one: then nothing
// accrues.
func (t *Table) Accrue(now time.Time, daemons int, dealt bool) {
	for _, l := range t.limits {
		if since := now.Sub(l.sharedAt); !dealt && !l.Lifted && since > 0 && since <= maxShareGap {
			l.share += since.Seconds() * l.PerSecond / float64(max(daemons, 1))
			l.grant(now, int(l.share))
			l.share -= float64(int(l.share))
		}
		l.sharedAt = now
	}
}

// Permits returns the number of permits for the upstream with an id.
func (t *Table) Permits(now time.Time, id string) int {
	l := t.limits[id]
	if l == nil {
		return 0
	}
	l.permits = slices.DeleteFunc(l.permits, func(until time.Time) bool { return !now.Before(until) })
	return len(l.permits)
}

// Allows reports whether a request may be sent to an upstream.
func (t *Table) Allows(now time.Time, up fleet.Upstream) bool {
	return t.limit(up) == nil || t.Permits(now, up.ID) > 0
}

// Take takes a permit for a request to an upstream, if that has a limit.
func (t *Table) Take(now time.Time, up fleet.Upstream) {
	if l := t.limit(up); l != nil && t.Permits(now, up.ID) > 0 {
		l.permits = l.permits[1:]
	}
}
