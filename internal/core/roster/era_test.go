package roster

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/logpos"
)

// settle is the settle time of the rosters below.
const settle = 2 * time.Second

// pos returns the position of an offset in an era.
func pos(t *testing.T, era, offset int64) logpos.Position {
	t.Helper()
	p, err := logpos.New(era, offset)
	must.NoError(t, err)
	return p
}

func entryAt(p logpos.Position, id string, leaving bool) fleet.Upstream {
	return fleet.Upstream{ID: id, Born: 1, Offset: p, Service: "s", Leaving: leaving}
}

// known returns a roster that knows the upstreams a, b, c and d up to 0/10, of which c
// and d were removed at 8 and 9; d had announced that it leaves.
func known(t *testing.T, now time.Time) *Roster {
	r := New(Settings{Settle: settle})
	for i, id := range []string{"a", "b", "c", "d"} {
		r.Put(now, entryAt(pos(t, 0, int64(i)), id, id == "d"))
	}
	r.Retain(now, map[string]bool{"a": true, "b": true, "c": true, "d": true}, pos(t, 0, 4))
	r.Drop(now, "c", pos(t, 0, 8))
	r.Drop(now, "d", pos(t, 0, 9))
	r.Advance(now, pos(t, 0, 10), true)
	return r
}

// returned makes r read a copy that ends at 1/6 with the upstreams b, c and d.
func returned(t *testing.T, r *Roster, now time.Time) {
	r.Returned(now, pos(t, 1, 6))
	for i, id := range []string{"b", "c", "d"} {
		r.Put(now, entryAt(pos(t, 1, int64(i)), id, false))
	}
	r.Retain(now, map[string]bool{"b": true, "c": true, "d": true}, pos(t, 1, 6))
	r.Advance(now, pos(t, 1, 6), true)
}

func has(r *Roster, id string) bool {
	_, ok := r.Get(id)
	return ok
}

// TestMissingInTheCopy guards against upstreams that are dropped since the copy from
// which the log has returned lacks their entries, or kept although they don't write
// them again.
func TestMissingInTheCopy(t *testing.T) {
	r := known(t, at(100))
	returned(t, r, at(101))
	must.Len(t, 0, r.Expire(at(101).Add(settle-1)))
	must.True(t, has(r, "a"))
	must.Eq(t, []string{"a"}, r.Expire(at(101).Add(settle)))

	r = known(t, at(100))
	returned(t, r, at(101))
	must.Eq(t, Returned, r.Put(at(102), entryAt(pos(t, 1, 7), "a", false)))
	must.Len(t, 0, r.Expire(at(101).Add(settle)))
}

// TestRemovedUpstreamsInTheCopy guards against upstreams that were removed, and get
// requests again since the copy still has their entries. One that hadn't announced that
// it leaves may have been removed by mistake and comes back with an entry of its own.
func TestRemovedUpstreamsInTheCopy(t *testing.T) {
	r := known(t, at(100))
	returned(t, r, at(101))
	must.False(t, has(r, "c"))
	must.False(t, has(r, "d"))
	must.Eq(t, Joined, r.Put(at(102), entryAt(pos(t, 1, 6), "c", false)))
	must.Eq(t, None, r.Put(at(102), entryAt(pos(t, 1, 7), "d", false)))
	next := entryAt(pos(t, 1, 8), "d", false)
	next.Born = 2
	must.Eq(t, Joined, r.Put(at(102), next))
}

// TestLeavingInAnOlderEra guards against an upstream that leaves and gets requests
// again since the copy has an older entry.
func TestLeavingInAnOlderEra(t *testing.T) {
	r := known(t, at(100))
	r.Put(at(100), entryAt(pos(t, 0, 10), "b", true))
	returned(t, r, at(101))
	up, _ := r.Get("b")
	must.True(t, up.Leaving)
}

// TestUpdatesOverEras guards against changes by offset for a daemon in another era,
// which would miss some, and against a state of an older era that replaces a newer one.
func TestUpdatesOverEras(t *testing.T) {
	holder, other := known(t, at(100)), known(t, at(100))
	returned(t, holder, at(101))
	now := at(101).Add(settle)
	must.Len(t, 1, holder.Expire(now))
	for _, since := range []logpos.Position{0, pos(t, 0, 10), pos(t, 0, 900), pos(t, 2, 3)} {
		must.True(t, holder.UpdateSince(now, since).Full, must.Sprint(since))
	}
	must.False(t, holder.UpdateSince(now, pos(t, 1, 6)).Full)
	older := other.UpdateSince(now, pos(t, 1, 6))
	must.True(t, older.Full)
	ignore := func(fleet.Upstream, Change) {}
	before := contents(holder)
	holder.Apply(now, older, ignore)
	must.Eq(t, before, contents(holder))
	must.Eq(t, pos(t, 1, 6), holder.AsOf())
	other.Apply(now, holder.UpdateSince(now, other.AsOf()), ignore)
	must.Eq(t, contents(holder), contents(other))
	must.Eq(t, pos(t, 1, 6), other.AsOf())
}

// TestLeavingIsToldWhileSettling guards against an upstream that announces that it leaves
// just after the log's return and gets requests of other daemons for as long as the
// holder doesn't know whether entries are missing (rule DRAIN).
func TestLeavingIsToldWhileSettling(t *testing.T) {
	now := time.Unix(100, 0)
	holder, other := known(t, now), known(t, now)
	returned(t, holder, now)
	must.Nil(t, holder.UpdateSince(now, other.AsOf()))
	holder.Put(now, entryAt(pos(t, 1, 7), "b", true))
	holder.Advance(now, pos(t, 1, 8), true)
	n := holder.UpdateSince(now, other.AsOf())
	must.True(t, n.LeavingOnly)
	asOf, readAt := other.AsOf(), other.ReadAt()
	var left []string
	other.Apply(now, n, func(up fleet.Upstream, c Change) {
		must.Eq(t, Left, c)
		left = append(left, up.ID)
	})
	must.Eq(t, []string{"b"}, left)
	must.Eq(t, asOf, other.AsOf())
	must.Eq(t, readAt, other.ReadAt())
	// Upstreams that the copy lacks stay.
	must.True(t, has(other, "a"))
	n = holder.UpdateSince(now.Add(settle), other.AsOf())
	must.False(t, n.LeavingOnly)
	must.True(t, n.Full)
}
