package pick

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// Notice takes over what the response to a request that was sent at sent said of its
// upstream, and reports whether that is news.
func (t *Table) Notice(now, sent time.Time, up fleet.Upstream, n fleet.Notice) (news bool) {
	u := t.find(up)
	if u == nil {
		return false
	}
	if n.Leaving && !u.leaving() {
		u.saidLeaving, news = true, true
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(u.pausedUntil) {
		u.pausedUntil, news = until, true
	}
	return t.noticeBrittle(now, sent, u, n) || news
}

// Restarted records that an upstream has said at a time that it has started again since its
// registration. It gets no streams, whose versions must be known, until it is registered
// anew or restartedTTL has passed.
func (t *Table) Restarted(at time.Time, up fleet.Upstream) {
	if u := t.upstreams[up.ID]; u != nil && u.info.Born == up.Born {
		u.restartedAt = at
	}
}

// restarted reports whether the upstream's software version isn't known at now.
func (u *upstream) restarted(now time.Time) bool {
	return !u.restartedAt.IsZero() && now.Sub(u.restartedAt) < restartedTTL
}

// leaving reports whether the upstream must get no new requests, by the register or by
// what it has said.
func (u *upstream) leaving() bool { return u.info.Leaving || u.saidLeaving }

// paused reports whether the upstream has asked for no requests at now.
func (u *upstream) paused(now time.Time) bool { return now.Before(u.pausedUntil) }

// Paused reports whether the upstream has asked for no requests at now.
func (t *Table) Paused(now time.Time, up fleet.Upstream) bool {
	u := t.upstreams[up.ID]
	return u != nil && u.info.Born == up.Born && u.paused(now)
}
