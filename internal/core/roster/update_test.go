package roster

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/logpos"
)

// register is the log's topic: entry i is the record at offset i, and an entry
// without service is a removal.
type register struct {
	entries []fleet.Upstream
}

func (g *register) write(up fleet.Upstream) {
	up.Offset = logpos.Position(len(g.entries))
	g.entries = append(g.entries, up)
}

// read applies to r at most n records from the offset up to which it knows the
// register.
func (g *register) read(now time.Time, r *Roster, n int) {
	end := min(int(r.AsOf())+n, len(g.entries))
	for i := int(r.AsOf()); i < end; i++ {
		if up := g.entries[i]; up.Service == "" {
			r.Drop(now, up.ID, up.Offset)
		} else {
			r.Put(now, up)
		}
	}
	r.Advance(now, logpos.Position(end), end == len(g.entries))
}

// newest applies the newest entry of each upstream to r.
func (g *register) newest(now time.Time, r *Roster) {
	last := map[string]fleet.Upstream{}
	for _, up := range g.entries {
		last[up.ID] = up
	}
	ids := map[string]bool{}
	for id, up := range last {
		if up.Service != "" {
			ids[id] = true
			r.Put(now, up)
		}
	}
	r.Retain(now, ids, logpos.Position(len(g.entries)))
	r.Advance(now, logpos.Position(len(g.entries)), true)
}

// contents describes the upstreams of r by those fields that are in updates.
func contents(r *Roster) (out []string) {
	for _, u := range r.Append(nil) {
		out = append(out, fmt.Sprint(u.ID, " ", u.Born, " ", u.Address, " ", u.Version, " leaving ", u.Leaving, " cold ", u.ColdFor > 0))
	}
	sort.Strings(out)
	return out
}

// sendUpdate applies to one roster what another knows, and reports whether the
// latter gave an update.
func sendUpdate(now time.Time, from, to *Roster) bool {
	n := from.UpdateSince(now, to.AsOf())
	if n != nil {
		to.Apply(now, n, func(fleet.Upstream, Change) {})
	}
	return n != nil
}

func loaded(now time.Time, g *register) *Roster {
	r := New(Settings{Settle: 2 * time.Second})
	g.newest(now, r)
	return r
}

// TestRostersConverge simulates a fleet in which one daemon reads the register
// for all and another takes over after its loss. Daemons get updates from any
// other daemon and read parts of the register themselves, and must end with the
// same upstreams.
func TestRostersConverge(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		g := &register{}
		now := at(100)
		var rs []*Roster
		for range 4 {
			rs = append(rs, New(Settings{Settle: 2 * time.Second}))
		}
		g.newest(now, rs[0])
		reader, ups := 0, map[string]fleet.Upstream{}
		for range 60 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			id := fmt.Sprint("u", rng.IntN(6))
			up := ups[id]
			up.ID, up.Service, up.ColdFor = id, "s", 0
			switch rng.IntN(10) {
			case 0:
				g.write(fleet.Upstream{ID: id})
			case 1:
				up.Born, up.ColdFor, up.Leaving = int64(len(g.entries)), time.Second, false
				g.write(up)
			case 2:
				up.Leaving = true
				g.write(up)
			case 3, 4:
				g.write(up)
			case 5:
				reader = rng.IntN(len(rs))
				g.newest(now, rs[reader])
			case 6:
				if r := rs[rng.IntN(len(rs))]; r.Loaded() {
					g.read(now, r, 1+rng.IntN(4))
				}
			case 7:
				if rs[reader].Loaded() {
					g.read(now, rs[reader], len(g.entries))
				}
			case 8:
				sendUpdate(now, rs[rng.IntN(len(rs))], rs[rng.IntN(len(rs))])
			case 9:
				up.Version = fmt.Sprint("v", rng.IntN(3))
				g.write(up)
			}
			ups[id] = up
		}
		if !rs[reader].Loaded() {
			g.newest(now, rs[reader])
		}
		g.read(now, rs[reader], len(g.entries))
		for i, r := range rs {
			must.True(t, i == reader || sendUpdate(now, rs[reader], r))
			must.Eq(t, contents(rs[reader]), contents(r), must.Sprintf("seed %d, daemon %d updated by %d", seed, i, reader))
			must.Eq(t, logpos.Position(len(g.entries)), r.AsOf())
		}
	}
}

// TestUpdatesAreIncremental guards against control traffic that grows with the
// register: a daemon that is up to date gets only the changes, also from another
// sender.
func TestUpdatesAreIncremental(t *testing.T) {
	g := &register{}
	for i := range 600 {
		g.write(fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s"})
	}
	a, b, c := loaded(at(1), g), loaded(at(1), g), loaded(at(1), g)
	for i := range 600 {
		g.write(fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s", Leaving: i == 7})
	}
	g.write(fleet.Upstream{ID: "u9"})
	g.read(at(2), a, 1000)
	n := a.UpdateSince(at(2.3), b.AsOf())
	must.False(t, n.Full)
	must.Len(t, 1, n.Put)
	must.Eq(t, []string{"u9"}, n.Gone)
	must.Eq(t, 300*time.Millisecond, n.Age)
	b.Apply(at(2.3), n, func(fleet.Upstream, Change) {})
	must.Eq(t, at(2), b.ReadAt())
	// The previous reader is lost; b reads on from the offset of its last update
	// and sends updates to c.
	g.write(fleet.Upstream{ID: "u1", Service: "s", Leaving: true})
	g.read(at(3), b, 1000)
	n = b.UpdateSince(at(3), c.AsOf())
	must.False(t, n.Full)
	must.Len(t, 2, n.Put)
	must.Eq(t, []string{"u9"}, n.Gone)
}

// TestNoUpdateWhileUncertain guards against a daemon whose reads fail, or whose
// missing entries may have expired, and whose updates keep the other daemons
// from reading the register themselves.
func TestNoUpdateWhileUncertain(t *testing.T) {
	g := &register{}
	g.write(fleet.Upstream{ID: "a", Service: "s"})
	g.write(fleet.Upstream{ID: "b", Service: "s"})
	r, other := loaded(at(1), g), loaded(at(1), g)
	must.Nil(t, New(Settings{}).UpdateSince(at(1), 0))
	r.Disconnected()
	must.False(t, sendUpdate(at(2), r, other))
	g.write(fleet.Upstream{ID: "a"})
	g.read(at(3), r, 10)
	r.Reconnected(at(3))
	must.False(t, sendUpdate(at(4), r, other))
	must.Eq(t, []string{"a"}, r.Expire(at(5)))
	must.True(t, sendUpdate(at(5), r, other))
	must.Len(t, 1, contents(other))
	// An update ends the uncertainty of the daemon that applies it.
	other.Disconnected()
	must.True(t, sendUpdate(at(6), r, other))
	must.True(t, sendUpdate(at(6), other, r))
}

// TestExpiryIsInUpdates guards against an upstream that one daemon has dropped
// without a record of the removal, and that the other daemons keep.
func TestExpiryIsInUpdates(t *testing.T) {
	g := &register{}
	g.write(fleet.Upstream{ID: "a", Service: "s"})
	r, other := loaded(at(1), g), loaded(at(1), g)
	r.Disconnected()
	g.write(fleet.Upstream{ID: "a"})
	g.read(at(2), r, 10)
	r.Reconnected(at(2))
	other.Disconnected()
	g.read(at(2), other, 10)
	must.Eq(t, r.AsOf(), other.AsOf())
	must.Len(t, 1, r.Expire(at(4)))
	must.True(t, sendUpdate(at(4), r, other))
	must.Eq(t, 0, other.Len())
}

// TestFullUpdatesShareTheirContent guards against a holder that puts all upstreams in order
// for each daemon of a large fleet: with 297 daemons and 3,000 upstreams it answered nobody
// for two seconds and lost its lease.
func TestFullUpdatesShareTheirContent(t *testing.T) {
	r, now := New(Settings{Settle: 2 * time.Second}), time.Unix(1000, 0)
	for i := range 3 {
		r.Put(now, fleet.Upstream{ID: fmt.Sprint("u", i), Born: 1, Offset: logpos.Position(i)})
	}
	r.Retain(now, map[string]bool{"u0": true, "u1": true, "u2": true}, 3)
	r.Advance(now, 3, true)
	first, second := r.UpdateSince(now, 0), r.UpdateSince(now, 0)
	must.SliceLen(t, 3, first.Put)
	must.True(t, &first.Put[0] == &second.Put[0])
	// A change isn't missed, and doesn't change what was sent before.
	r.Put(now, fleet.Upstream{ID: "u1", Born: 1, Offset: 4, Leaving: true})
	r.Advance(now, 5, true)
	third := r.UpdateSince(now, 0)
	must.True(t, third.Put[1].Leaving)
	must.False(t, first.Put[1].Leaving)
	r.Drop(now, "u1", 6)
	r.Put(now, fleet.Upstream{ID: "u3", Born: 1, Offset: 7})
	must.Eq(t, []string{"u0", "u2", "u3"}, []string{r.UpdateSince(now, 0).Put[0].ID, r.UpdateSince(now, 0).Put[1].ID, r.UpdateSince(now, 0).Put[2].ID})
}

// TestRegisterThatWasEmpty guards against updates that hold all upstreams as changes, one
// copy for each daemon, because the register was empty when the holder first read it: 297
// daemons and 3,000 upstreams took the holder's link for seconds, and its lease.
func TestRegisterThatWasEmpty(t *testing.T) {
	r, now := New(Settings{Settle: 2 * time.Second}), time.Unix(1000, 0)
	r.Retain(now, nil, 0)
	r.Advance(now, 0, true)
	for i := range 600 {
		r.Put(now, fleet.Upstream{ID: fmt.Sprint("u", i), Born: 1, Offset: logpos.Position(i)})
	}
	r.Advance(now, 600, true)
	n := r.UpdateSince(now, 0)
	must.True(t, n.Full)
	must.SliceLen(t, 600, n.Put)
	must.False(t, r.UpdateSince(now, 550).Full)
	must.SliceLen(t, 50, r.UpdateSince(now, 550).Put)
}

// TestLeavingIsToldAfterARestart guards against a daemon that uses an upstream again which
// had left, because it has been restarted and the newest entry that it reads is an older one
// which arrived late (report of other operators).
func TestLeavingIsToldAfterARestart(t *testing.T) {
	now, settings := time.Unix(1000, 0), Settings{Settle: 2 * time.Second}
	entry := func(offset logpos.Position, leaving bool) fleet.Upstream {
		return fleet.Upstream{ID: "u", Born: 1, Offset: offset, Leaving: leaving}
	}
	holder := New(settings)
	holder.Put(now, entry(0, false))
	holder.Retain(now, map[string]bool{"u": true}, 1)
	holder.Put(now, entry(1, true))
	holder.Put(now, entry(2, false))
	holder.Advance(now, 3, true)
	restarted := New(settings)
	restarted.Put(now, entry(2, false))
	restarted.Retain(now, map[string]bool{"u": true}, 4)
	restarted.Advance(now, 4, true)
	// A process asks for all at its first contact.
	left := 0
	restarted.Apply(now, holder.UpdateSince(now, 0), func(_ fleet.Upstream, c Change) {
		if c == Left {
			left++
		}
	})
	up, _ := restarted.Get("u")
	must.True(t, up.Leaving)
	must.Eq(t, 1, left)
	must.Eq(t, 4, restarted.AsOf())
}

// TestMissingUpstreamsAreNotPassedOn guards against upstreams that come back into use at
// other daemons although their entries were removed: the sender has kept them over an
// outage and not dropped them yet, and a receiver knows of the removal.
func TestMissingUpstreamsAreNotPassedOn(t *testing.T) {
	const beforeExpire = 2.05
	names := func(n *Update) (ids []string) {
		for _, up := range n.Put {
			ids = append(ids, up.ID)
		}
		return ids
	}
	g := &register{}
	for _, id := range []string{"a", "b"} {
		g.write(fleet.Upstream{ID: id, Service: "s"})
	}
	holder, other, fresh := loaded(at(0), g), loaded(at(0), g), New(Settings{Settle: 2 * time.Second})
	holder.Disconnected()
	g.write(fleet.Upstream{ID: "a"})
	g.read(at(1), other, 10)
	must.Eq(t, 1, other.Len())
	holder.Reconnected(at(2))
	g.read(at(2), holder, 10)
	must.Eq(t, 2, holder.Len(), must.Sprint("kept while it may be written again"))

	// The settle time has passed, and Expire hasn't been called since.
	now := at(2 + beforeExpire)
	for _, to := range []*Roster{fresh, other} {
		if n := holder.UpdateSince(now, to.AsOf()); n != nil {
			must.SliceNotContains(t, names(n), "a")
			to.Apply(now, n, func(fleet.Upstream, Change) {})
		}
		_, ok := to.Get("a")
		must.False(t, ok)
	}
	must.Eq(t, []string{"a"}, holder.Expire(now))
	for _, to := range []*Roster{fresh, other} {
		n := holder.UpdateSince(now, to.AsOf())
		must.NotNil(t, n)
		to.Apply(now, n, func(fleet.Upstream, Change) {})
		must.Eq(t, contents(holder), contents(to))
	}

	// A sender of an earlier build names it.
	other.Apply(now, &Update{AsOf: other.AsOf(), Full: true, Put: []fleet.Upstream{g.entries[0], g.entries[1]}}, func(fleet.Upstream, Change) {})
	_, ok := other.Get("a")
	must.False(t, ok)
	// Written again since, it is back.
	g.write(fleet.Upstream{ID: "a", Service: "s"})
	g.read(now, other, 10)
	_, ok = other.Get("a")
	must.True(t, ok)
}
