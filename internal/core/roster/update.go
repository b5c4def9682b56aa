package roster

import (
	"slices"
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/logpos"
)

// UpdateSince returns the changes since a position, nil if there are none that are certain.
// While entries may be missing for a while after an outage, only announcements of
// upstreams that leave are; those that are still missing then are gone, also before Expire
// has dropped them here. A change without a record
// of its own, such as an expiry, is sent again to daemons that are at its position. A
// daemon in another era gets all upstreams.
func (r *Roster) UpdateSince(now time.Time, since logpos.Position) *Update {
	if !r.loaded || r.readAt.IsZero() {
		return nil
	}
	if r.settling(now) {
		return r.leavingSince(now, since)
	}
	n := &Update{AsOf: r.asOf, Age: now.Sub(r.readAt), Full: since.Before(r.completeFrom) || !since.SameEra(r.asOf)}
	missing := r.missing()
	if n.Full {
		n.Put = r.allBut(missing)
		return n
	}
	if r.lastChange < since && len(missing) == 0 {
		return n
	}
	for _, e := range r.entries {
		if e.changeOffset >= since && e.missingSince.IsZero() {
			n.Put = append(n.Put, e.up)
		}
	}
	if len(n.Put) > maxChanges && len(n.Put) > len(r.entries)/2 {
		n.Full, n.Put = true, r.allBut(missing)
		return n
	}
	n.Gone = missing
	sort.Slice(n.Put, func(i, j int) bool { return n.Put[i].ID < n.Put[j].ID })
	for id, d := range r.removed {
		if d.offset >= since {
			n.Gone = append(n.Gone, id)
		}
	}
	sort.Strings(n.Gone)
	return n
}

// missing returns the IDs of the upstreams whose entries are missing.
func (r *Roster) missing() (ids []string) {
	for id, e := range r.entries {
		if !e.missingSince.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// allBut returns all upstreams in order but those with the given IDs.
func (r *Roster) allBut(ids []string) []fleet.Upstream {
	if len(ids) == 0 {
		return r.all()
	}
	return slices.DeleteFunc(slices.Clone(r.all()), func(up fleet.Upstream) bool { return slices.Contains(ids, up.ID) })
}

// leavingSince returns the upstreams that have announced since a position that they
// leave, nil if there are none.
func (r *Roster) leavingSince(now time.Time, since logpos.Position) *Update {
	n := &Update{AsOf: since, Age: now.Sub(r.readAt), LeavingOnly: true}
	for _, e := range r.entries {
		if e.up.Leaving && e.changeOffset >= since {
			n.Put = append(n.Put, e.up)
		}
	}
	if len(n.Put) == 0 {
		return nil
	}
	sort.Slice(n.Put, func(i, j int) bool { return n.Put[i].ID < n.Put[j].ID })
	return n
}

// Apply applies an update that was requested at asked and reports each change.
// The sender has already resolved missing entries, so this daemon has no reason
// to wait for them.
func (r *Roster) Apply(asked time.Time, n *Update, changed func(up fleet.Upstream, c Change)) {
	if n.AsOf.Before(r.asOf) && n.Full {
		// This daemon's state is newer, but what it has read may lack that an upstream
		// leaves: an older entry may have arrived later.
		var leaving []fleet.Upstream
		for _, up := range n.Put {
			if up.Leaving {
				leaving = append(leaving, up)
			}
		}
		r.applyLeaving(asked, leaving, changed)
		return
	}
	if n.LeavingOnly {
		r.applyLeaving(asked, n.Put, changed)
		return
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
		r.completeFrom, r.loaded = n.AsOf, true
	}
	for _, id := range gone {
		if e := r.entries[id]; e != nil && e.up.Offset < n.AsOf {
			r.remove(asked, id, n.AsOf)
			changed(e.up, Left)
		}
	}
	r.disconnected, r.reconnectedAt = false, time.Time{}
	if at := asked.Add(-n.Age); at.After(r.readAt) {
		r.readAt = at
	}
	r.asOf = max(r.asOf, n.AsOf)
}

// applyLeaving marks known upstreams as leaving. How recent the state is stays as it was.
func (r *Roster) applyLeaving(asked time.Time, ups []fleet.Upstream, changed func(up fleet.Upstream, c Change)) {
	for _, up := range ups {
		e := r.entries[up.ID]
		if e == nil || e.up.Born != up.Born {
			continue
		}
		missing := e.missingSince
		if c := r.put(asked, up, up.Offset); c != None {
			changed(up, c)
		}
		e.missingSince = missing
	}
}

// all returns all upstreams in order. Many daemons that need them share the result, which
// must not be changed.
func (r *Roster) all() []fleet.Upstream {
	if r.whole != nil && r.wholeChanges == r.changes {
		return r.whole
	}
	r.whole, r.wholeChanges = r.Append(make([]fleet.Upstream, 0, len(r.entries))), r.changes
	sort.Slice(r.whole, func(i, j int) bool { return r.whole[i].ID < r.whole[j].ID })
	return r.whole
}
