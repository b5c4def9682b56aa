// Package roster holds the upstreams that one daemon believes in, from the
// register that upstreams write themselves.
//
// An upstream that reports that it leaves stays leaving for its incarnation,
// whatever older entries say later. An entry that disappears ends its upstream
// at once, except after an outage of the register: entries lapse while it is
// away, so a missing one is kept until Settle has passed since the register's
// return, and counts as gone from then on.
//
// One daemon reads the register for all. It tells the others what has changed
// since an offset of the register, which means the same to all of them, so that
// they can go on with another teller, or by themselves, from where they are.
package roster

import (
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Settings of a Roster.
	Settings struct {
		// Settle is the time after the register's return in which entries
		// that lapsed come back.
		Settle time.Duration
	}

	// Roster is the state. The caller serialises all calls.
	Roster struct {
		set     Settings
		entries map[string]*entry
		// gone are the upstreams that have left lately.
		gone map[string]departure
		// asOf is the offset up to which the register is known, readAt when
		// that was all of it.
		asOf   int64
		readAt time.Time
		// base is the offset from which all changes are known, loaded is set
		// once there is one.
		base   int64
		loaded bool
		// away is set while the register can't be reached, back is the time
		// of its last return.
		away bool
		back time.Time
	}

	entry struct {
		up fleet.Upstream
		// stamp is the offset of the last change that others must be told.
		stamp int64
		// missing is when the entry disappeared, zero if it hasn't.
		missing time.Time
	}

	departure struct {
		stamp int64
		at    time.Time
	}

	// News is what one daemon tells another about the register.
	Update struct {
		// AsOf is the offset up to which they are complete, Age the time since
		// the teller has read all of the register.
		AsOf int64
		Age  time.Duration
		// Full news name all upstreams; others the changes since the offset
		// that was asked for.
		Full bool
		Put  []fleet.Upstream
		Gone []string
	}

	// Change is what an entry did to the belief about its upstream.
	Change uint8
)

// Changes.
const (
	None Change = iota
	// Joined upstreams are new, or a new incarnation.
	Joined
	// Left upstreams get nothing more: leaving or gone.
	Left
	// Lapsed entries disappeared around an outage; their upstreams stay.
	Lapsed
	// Returned entries were missing.
	Returned
)

// goneMemory is how long others are told that an upstream has left; after it
// they take the whole register.
const goneMemory = time.Minute

// String returns the name of c for logs.
func (c Change) String() string {
	return [...]string{"none", "joined", "left", "lapsed", "returned"}[c]
}

// New returns an empty Roster.
func New(set Settings) *Roster {
	return &Roster{set: set, entries: map[string]*entry{}, gone: map[string]departure{}}
}

// Put takes an entry over that stands at up.Offset.
func (r *Roster) Put(now time.Time, up fleet.Upstream) Change {
	return r.put(now, up, up.Offset)
}

func (r *Roster) put(now time.Time, up fleet.Upstream, stamp int64) Change {
	e := r.entries[up.ID]
	if e == nil || up.Born > e.up.Born {
		r.entries[up.ID] = &entry{up: up, stamp: stamp}
		delete(r.gone, up.ID)
		return Joined
	}
	if up.Born < e.up.Born {
		return None
	}
	was := e.up
	if up.Offset < was.Offset {
		// The content is older; that it leaves stays true.
		leaving := up.Leaving
		up = was
		up.Leaving = up.Leaving || leaving
	}
	up.Leaving = up.Leaving || was.Leaving
	wasMissing := !e.missing.IsZero()
	e.up, e.missing = up, time.Time{}
	if wasMissing || differ(&was, &up) {
		e.stamp = max(e.stamp, stamp)
	}
	switch {
	case up.Leaving && !was.Leaving:
		return Left
	case wasMissing:
		return Returned
	}
	return None
}

// differ reports whether others must be told of a new entry. What an upstream
// holds they are told by other means.
func differ(a, b *fleet.Upstream) bool {
	return a.Service != b.Service || a.Address != b.Address || a.FailureDomain != b.FailureDomain || a.Slots != b.Slots ||
		a.Leaving != b.Leaving || (a.ColdFor > 0) != (b.ColdFor > 0)
}

// Drop takes the removal of an entry over that stands at an offset.
func (r *Roster) Drop(now time.Time, id string, offset int64) Change {
	e := r.entries[id]
	if e == nil {
		return None
	}
	if r.unsettled(now) && !e.up.Leaving {
		if e.missing.IsZero() {
			e.missing = now
		}
		return Lapsed
	}
	r.remove(now, id, offset)
	return Left
}

func (r *Roster) remove(now time.Time, id string, stamp int64) {
	delete(r.entries, id)
	r.gone[id] = departure{stamp, now}
}

// Keep drops every upstream that isn't in ids, the keys of a complete read up
// to the offset next, and returns those that left.
func (r *Roster) Retain(now time.Time, ids map[string]bool, next int64) (left []string) {
	for id := range r.entries {
		if !ids[id] && r.Drop(now, id, next) == Left {
			left = append(left, id)
		}
	}
	r.base, r.loaded = next, true
	return left
}

// Advance records that the register is known up to the offset next, which is
// its end if whole is set.
func (r *Roster) Advance(now time.Time, next int64, whole bool) {
	r.asOf = max(r.asOf, next)
	if whole {
		r.readAt = now
	}
	for id, d := range r.gone {
		if now.Sub(d.at) > goneMemory {
			delete(r.gone, id)
			r.base = max(r.base, d.stamp+1)
		}
	}
}

// AsOf returns the offset up to which the register is known.
func (r *Roster) AsOf() int64 { return r.asOf }

// ReadAt returns when all of the register was last known, zero if never.
func (r *Roster) ReadAt() time.Time { return r.readAt }

// Loaded reports whether the register has been known once.
func (r *Roster) Loaded() bool { return r.loaded }

// Away records that the register can't be reached.
func (r *Roster) Disconnected() { r.away = true }

// Back records its return.
func (r *Roster) Reconnected(now time.Time) {
	r.away, r.back = false, now
}

// Expire drops the upstreams whose entries are still missing when the register
// has settled, and returns them.
func (r *Roster) Expire(now time.Time) (left []string) {
	if r.unsettled(now) {
		return nil
	}
	for id, e := range r.entries {
		if !e.missing.IsZero() {
			r.remove(now, id, r.asOf)
			left = append(left, id)
		}
	}
	return left
}

// unsettled reports whether missing entries may be lapsed ones.
func (r *Roster) unsettled(now time.Time) bool {
	return r.away || !r.back.IsZero() && now.Sub(r.back) < r.set.Settle
}

// News returns what has changed since an offset, nil while this daemon doesn't
// know the register well enough itself. A change that was noticed without a
// record of its own is told again to those who are at its offset.
func (r *Roster) UpdateSince(now time.Time, since int64) *Update {
	if !r.loaded || r.readAt.IsZero() || r.unsettled(now) {
		return nil
	}
	n := &Update{AsOf: r.asOf, Age: now.Sub(r.readAt), Full: since < r.base}
	for _, e := range r.entries {
		if n.Full || e.stamp >= since {
			n.Put = append(n.Put, e.up)
		}
	}
	sort.Slice(n.Put, func(i, j int) bool { return n.Put[i].ID < n.Put[j].ID })
	if n.Full {
		return n
	}
	for id, d := range r.gone {
		if d.stamp >= since {
			n.Gone = append(n.Gone, id)
		}
	}
	sort.Strings(n.Gone)
	return n
}

// Take takes over what another daemon told, which was asked at a time, and
// reports each change. The teller has settled whatever lapsed.
func (r *Roster) Apply(asked time.Time, n *Update, changed func(up fleet.Upstream, c Change)) {
	if n.AsOf < r.asOf && n.Full {
		return // what is known here is newer
	}
	named := make(map[string]bool, len(n.Put))
	for _, up := range n.Put {
		named[up.ID] = true
		if c := r.put(asked, up, n.AsOf); c != None {
			changed(up, c)
		}
	}
	gone := n.Gone
	if n.Full {
		for id := range r.entries {
			if !named[id] {
				gone = append(gone, id)
			}
		}
		r.base, r.loaded = n.AsOf, true
	}
	for _, id := range gone {
		if e := r.entries[id]; e != nil && e.up.Offset < n.AsOf {
			r.remove(asked, id, n.AsOf)
			changed(e.up, Left)
		}
	}
	r.away, r.back = false, time.Time{}
	if at := asked.Add(-n.Age); at.After(r.readAt) {
		r.readAt = at
	}
	r.asOf = max(r.asOf, n.AsOf)
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
