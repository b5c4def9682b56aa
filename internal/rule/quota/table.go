package quota

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// Table holds what a daemon knows of the limits of upstreams. It is not safe for
// concurrent use.
type Table struct {
	limits map[string]*limit
}

// limit is what is known of one upstream's limit.
type limit struct {
	fleet.RateLimit
	// namedAt is when an answer last named or lifted the limit.
	namedAt time.Time
}

// New returns an empty Table.
func New() *Table { return &Table{limits: map[string]*limit{}} }

// Answered takes over what the answer to a request that was sent at sent says of its
// upstream's limit: the requests a second, or nothing if named is false. It reports
// whether the limit has changed.
func (t *Table) Answered(now, sent time.Time, up fleet.Upstream, perSecond float64, named bool) bool {
	l := t.limits[up.ID]
	switch {
	case l == nil || l.Born != up.Born:
		if !named {
			return false
		}
		l = &limit{RateLimit: fleet.RateLimit{Upstream: up.ID, Born: up.Born, Lifted: true}}
		t.limits[up.ID] = l
	case !named && (l.Lifted || sent.Before(l.namedAt)):
		// Answers may overtake each other.
		return false
	}
	changed := l.Lifted == named || named && l.PerSecond != perSecond
	l.PerSecond, l.Lifted, l.namedAt = perSecond, !named, now
	return changed
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

// Limited reports whether an upstream has a limit, and the requests a second.
func (t *Table) Limited(up fleet.Upstream) (perSecond float64, limited bool) {
	if l := t.limits[up.ID]; l != nil && l.Born == up.Born && !l.Lifted {
		return l.PerSecond, true
	}
	return 0, false
}
