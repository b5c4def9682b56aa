package roster

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/logpos"
)

type (
	// Settings of a Roster.
	Settings struct {
		// Settle is the time after the register's return within which entries
		// that expired during the outage are written again.
		Settle time.Duration
	}

	// Roster is the set of known upstreams. It is not safe for concurrent use.
	Roster struct {
		settings Settings
		entries  map[string]*entry
		// removed are the upstreams removed within removalRetention.
		removed map[string]removal
		// asOf is the position up to which the register is known, readAt the last
		// time at which that was its end.
		asOf   logpos.Position
		readAt time.Time
		// completeFrom is the position from which all changes are known; loaded
		// is set once the whole register has been known.
		completeFrom logpos.Position
		loaded       bool
		// disconnected is set while the register can't be reached;
		// reconnectedAt is the time of its last return.
		disconnected  bool
		reconnectedAt time.Time
		// lastChange is the newest position of a change that is relevant to other
		// daemons, removals included, and changes counts them.
		lastChange logpos.Position
		changes    uint64
		// whole is all upstreams in order as of wholeChanges, for full updates.
		whole        []fleet.Upstream
		wholeChanges uint64
	}

	entry struct {
		up fleet.Upstream
		// changeOffset is the position of the last change that is relevant to
		// other daemons.
		changeOffset logpos.Position
		// missingSince is when the entry disappeared, zero if it hasn't.
		missingSince time.Time
	}

	removal struct {
		offset logpos.Position
		at     time.Time
		// born and leaving are those of the upstream.
		born    int64
		leaving bool
	}

	// Update is what one daemon sends another about the register.
	Update struct {
		// AsOf is the position up to which the update is complete, Age the time
		// since the sender last knew the register up to its end.
		AsOf logpos.Position
		Age  time.Duration
		// Full is set if Put holds all upstreams. Otherwise Put and Gone hold
		// the changes since the requested position, or with LeavingOnly those of the
		// changes that can't be taken back: the upstreams that leave. AsOf is then the
		// requested position.
		Full, LeavingOnly bool
		Put               []fleet.Upstream
		Gone              []string
	}

	// Change is the effect of an entry on the state of its upstream.
	Change uint8
)

// Effects of an entry.
const (
	None Change = iota
	// Joined: the upstream, or this incarnation of it, is new.
	Joined
	// Left: the upstream is leaving or was removed and gets no new requests.
	Left
	// Lapsed: the entry disappeared around an outage; the upstream is kept.
	Lapsed
	// Returned: the entry was missing.
	Returned
)

// removalRetention is how long the removal of an upstream is included in
// updates. A daemon that asks for older changes gets a full update.
const removalRetention = time.Minute

// maxChanges is the number of changed upstreams from which an update that has most of them
// has all: these are packed once for all daemons. At the start of a fleet, the register may
// have been empty when it was first read.
const maxChanges = 64

// String returns the name of c for logs.
func (c Change) String() string {
	return [...]string{"none", "joined", "left", "lapsed", "returned"}[c]
}

// New returns an empty Roster.
func New(set Settings) *Roster {
	return &Roster{settings: set, entries: map[string]*entry{}, removed: map[string]removal{}}
}

// Put applies an entry at up.Offset.
func (r *Roster) Put(now time.Time, up fleet.Upstream) Change {
	return r.put(now, up, up.Offset)
}

func (r *Roster) put(now time.Time, up fleet.Upstream, offset logpos.Position) Change {
	e := r.entries[up.ID]
	if e == nil && (r.isOldCopy(up) || r.precedesRemoval(up)) {
		return None
	}
	if e == nil || up.Born > e.up.Born {
		left := e == nil && r.hasLeft(up)
		up.Leaving = up.Leaving || left
		r.entries[up.ID] = &entry{up: up, changeOffset: offset}
		r.changed(offset)
		delete(r.removed, up.ID)
		if left {
			return Left
		}
		return Joined
	}
	if up.Born < e.up.Born {
		return None
	}
	previous := e.up
	if up.Offset < previous.Offset {
		// The entry is older, so only its Leaving counts.
		leaving := up.Leaving
		up = previous
		up.Leaving = up.Leaving || leaving
	}
	up.Leaving = up.Leaving || previous.Leaving
	wasMissing := !e.missingSince.IsZero()
	e.up, e.missingSince = up, time.Time{}
	if wasMissing || needsUpdate(&previous, &up) {
		e.changeOffset = max(e.changeOffset, offset)
		r.changed(offset)
	}
	switch {
	case up.Leaving && !previous.Leaving:
		return Left
	case wasMissing:
		return Returned
	}
	return None
}

// changed records a change at a position that is relevant to other daemons.
func (r *Roster) changed(at logpos.Position) {
	r.lastChange = max(r.lastChange, at)
	r.changes++
}

// hasLeft reports whether up is an incarnation that was removed after it had announced that
// it leaves. A report that is written late doesn't bring it back into use.
func (r *Roster) hasLeft(up fleet.Upstream) bool {
	d, ok := r.removed[up.ID]
	return ok && up.Born <= d.born && d.leaving
}

// precedesRemoval reports whether up is an entry that was written before the removal of its
// incarnation: another daemon that doesn't know of that has passed it on.
func (r *Roster) precedesRemoval(up fleet.Upstream) bool {
	d, ok := r.removed[up.ID]
	return ok && up.Born <= d.born && up.Offset.SameEra(d.offset) && up.Offset.Before(d.offset)
}

// isOldCopy reports whether up is an upstream that was removed in an earlier era,
// so that its entry is from the copy from which the log has returned. One that had
// announced that it leaves doesn't come back; another one writes its entry again.
func (r *Roster) isOldCopy(up fleet.Upstream) bool {
	d, ok := r.removed[up.ID]
	return ok && up.Born <= d.born && d.offset.Era() < up.Offset.Era() && (d.leaving || up.Offset.Before(r.completeFrom))
}

// needsUpdate reports whether the difference between two entries is relevant to
// other daemons. They learn what an upstream holds by other means.
func needsUpdate(a, b *fleet.Upstream) bool {
	return a.Service != b.Service || a.Version != b.Version || a.Address != b.Address || a.FailureDomain != b.FailureDomain || a.Slots != b.Slots ||
		a.Leaving != b.Leaving || (a.ColdFor > 0) != (b.ColdFor > 0)
}

// Drop applies the removal of an entry at a position.
func (r *Roster) Drop(now time.Time, id string, offset logpos.Position) Change {
	e := r.entries[id]
	if e == nil {
		return None
	}
	if r.settling(now) && !e.up.Leaving {
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
		return Lapsed
	}
	r.remove(now, id, offset)
	return Left
}

func (r *Roster) remove(now time.Time, id string, offset logpos.Position) {
	up := r.entries[id].up
	delete(r.entries, id)
	r.changed(offset)
	r.removed[id] = removal{offset: offset, at: now, born: up.Born, leaving: up.Leaving}
}

// Retain drops every upstream that isn't in ids, the keys of a complete read up
// to the position next, and returns those that were removed.
func (r *Roster) Retain(now time.Time, ids map[string]bool, next logpos.Position) (left []string) {
	for id := range r.entries {
		if !ids[id] && r.Drop(now, id, next) == Left {
			left = append(left, id)
		}
	}
	r.completeFrom, r.loaded = next, true
	return left
}

// Advance records that the register is known up to the position next. If whole is set,
// that was its end at the time at or later.
func (r *Roster) Advance(at time.Time, next logpos.Position, whole bool) {
	r.asOf = max(r.asOf, next)
	if whole && at.After(r.readAt) {
		r.readAt = at
	}
	for id, d := range r.removed {
		if at.Sub(d.at) > removalRetention {
			delete(r.removed, id)
			r.completeFrom = max(r.completeFrom, d.offset.Next())
		}
	}
}

// AsOf returns the position up to which the register is known.
func (r *Roster) AsOf() logpos.Position { return r.asOf }

// ReadAt returns when all of the register was last known, zero if never.
func (r *Roster) ReadAt() time.Time { return r.readAt }

// Loaded reports whether the whole register has been known.
func (r *Roster) Loaded() bool { return r.loaded }

// Disconnected records that the register can't be reached.
func (r *Roster) Disconnected() { r.disconnected = true }

// Reconnected records that the register can be reached again.
func (r *Roster) Reconnected(now time.Time) {
	r.disconnected, r.reconnectedAt = false, now
}

// Returned records that the register has returned from an older copy, which may
// lack entries. They are kept until they are written again, as after an outage.
// Retain must follow.
func (r *Roster) Returned(now time.Time, next logpos.Position) {
	r.reconnectedAt, r.completeFrom = now, next
}

// Expire drops the upstreams whose entries are still missing after the settle
// time, and returns them.
func (r *Roster) Expire(now time.Time) (left []string) {
	if r.settling(now) {
		return nil
	}
	for id, e := range r.entries {
		if !e.missingSince.IsZero() {
			r.remove(now, id, r.asOf)
			left = append(left, id)
		}
	}
	return left
}

// settling reports whether a missing entry may have expired during an outage.
func (r *Roster) settling(now time.Time) bool {
	return r.disconnected || !r.reconnectedAt.IsZero() && now.Sub(r.reconnectedAt) < r.settings.Settle
}

// Get returns an upstream.
func (r *Roster) Get(id string) (up fleet.Upstream, ok bool) {
	e := r.entries[id]
	if e == nil {
		return fleet.Upstream{}, false
	}
	return e.up, true
}

// Len returns the number of upstreams.
func (r *Roster) Len() int { return len(r.entries) }

// Append appends all upstreams to dst in unspecified order and returns it.
func (r *Roster) Append(dst []fleet.Upstream) []fleet.Upstream {
	for _, e := range r.entries {
		dst = append(dst, e.up)
	}
	return dst
}
