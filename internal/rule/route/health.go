package route

import "time"

// SetHealth records an upstream's health.
func (t *Table) SetHealth(upstream string, h Health) {
	u := t.upstream(upstream)
	u.health, u.suspectUntil = h, time.Time{}
}

// MarkFailed makes an upstream suspect for EjectionTime after a request that failed
// there. The late failure of a request does not change an upstream that is leaving or
// down.
func (t *Table) MarkFailed(now time.Time, upstream string) {
	u := t.upstream(upstream)
	if u.health < Suspect {
		u.health = Suspect
		u.suspectUntil = now
	}
	// A suspicion of the peers has no end.
	if u.health == Suspect && !u.suspectUntil.IsZero() {
		u.suspectUntil = now.Add(t.settings.EjectionTime)
	}
}

// suspect reports whether the upstream is suspect at now.
func (u *upstream) suspect(now time.Time) bool {
	return u.health == Suspect && (u.suspectUntil.IsZero() || now.Before(u.suspectUntil))
}

// MarkResponded makes a suspect upstream live again after a response. It does
// not change one that is leaving or down, since the response may belong to an
// earlier request.
func (t *Table) MarkResponded(upstream string) {
	if u := t.upstream(upstream); u.health == Suspect {
		u.health, u.suspectUntil = Live, time.Time{}
	}
}

// Silent records that an upstream has sent nothing of a response since a time. It is
// treated as suspect for as long as its silence has lasted, at most EjectionTime.
func (t *Table) Silent(now time.Time, upstream string, since time.Time) {
	u := t.upstreams[upstream]
	if u == nil {
		return
	}
	if u.silentSince.IsZero() || since.Before(u.silentSince) {
		u.silentSince = since
	}
	u.silentUntil = now.Add(min(now.Sub(u.silentSince), t.settings.EjectionTime))
}

// Continued records that an upstream that was silent goes on.
func (t *Table) Continued(upstream string) {
	if u := t.upstreams[upstream]; u != nil {
		u.silentSince, u.silentUntil = time.Time{}, time.Time{}
	}
}

// Health returns what is known about an upstream's availability. An unknown one is
// down.
func (t *Table) Health(upstream string) Health {
	if u := t.upstreams[upstream]; u != nil {
		return u.health
	}
	return Down
}
