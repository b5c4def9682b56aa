package roster

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// register is the log's topic: entry i is record i, an entry without service is
// a removal.
type register struct {
	entries []fleet.Upstream
}

func (g *register) write(up fleet.Upstream) {
	up.Offset = int64(len(g.entries))
	g.entries = append(g.entries, up)
}

// read has r take over what follows what it knows, at most n records.
func (g *register) read(now time.Time, r *Roster, n int) {
	end := min(int(r.AsOf())+n, len(g.entries))
	for i := int(r.AsOf()); i < end; i++ {
		if up := g.entries[i]; up.Service == "" {
			r.Drop(now, up.ID, up.Offset)
		} else {
			r.Put(now, up)
		}
	}
	r.Advance(now, int64(end), end == len(g.entries))
}

// newest has r take over the newest entries.
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
	r.Retain(now, ids, int64(len(g.entries)))
	r.Advance(now, int64(len(g.entries)), true)
}

// belief returns what r believes, but for what isn't told.
func belief(r *Roster) (out []string) {
	for _, u := range r.Append(nil) {
		out = append(out, fmt.Sprint(u.ID, " ", u.Born, " ", u.Address, " leaving ", u.Leaving, " cold ", u.ColdFor > 0))
	}
	sort.Strings(out)
	return out
}

func tell(now time.Time, from, to *Roster) bool {
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

// TestTellersTakeTurns plays the load of a fleet in which one daemon reads the
// register for all, and another one after its loss: whoever was told by
// whomever, or read part of it alone, believes the same in the end.
func TestTellersTakeTurns(t *testing.T) {
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
			switch rng.IntN(9) {
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
				tell(now, rs[rng.IntN(len(rs))], rs[rng.IntN(len(rs))])
			}
			ups[id] = up
		}
		if !rs[reader].Loaded() {
			g.newest(now, rs[reader])
		}
		g.read(now, rs[reader], len(g.entries))
		for i, r := range rs {
			must.True(t, i == reader || tell(now, rs[reader], r))
			must.Eq(t, belief(rs[reader]), belief(r), must.Sprintf("seed %d, daemon %d told by %d", seed, i, reader))
			must.Eq(t, int64(len(g.entries)), r.AsOf())
		}
	}
}

// TestNewsAreSmall guards against control traffic that grows with the register:
// who is up to date is told only what has changed, also by another teller.
func TestNewsAreSmall(t *testing.T) {
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
	// The former reader is lost; b goes on where it was told, and tells c.
	g.write(fleet.Upstream{ID: "u1", Service: "s", Leaving: true})
	g.read(at(3), b, 1000)
	n = b.UpdateSince(at(3), c.AsOf())
	must.False(t, n.Full)
	must.Len(t, 2, n.Put)
	must.Eq(t, []string{"u9"}, n.Gone)
}

// TestNothingToldInDoubt guards against a daemon whose own reads fail or whose
// entries may have lapsed and that keeps the others from reading themselves.
func TestNothingToldInDoubt(t *testing.T) {
	g := &register{}
	g.write(fleet.Upstream{ID: "a", Service: "s"})
	g.write(fleet.Upstream{ID: "b", Service: "s"})
	r, other := loaded(at(1), g), loaded(at(1), g)
	must.Nil(t, New(Settings{}).UpdateSince(at(1), 0))
	r.Disconnected()
	must.False(t, tell(at(2), r, other))
	g.write(fleet.Upstream{ID: "a"})
	g.read(at(3), r, 10)
	r.Reconnected(at(3))
	must.False(t, tell(at(4), r, other))
	must.Eq(t, []string{"a"}, r.Expire(at(5)))
	must.True(t, tell(at(5), r, other))
	must.Len(t, 1, belief(other))
	// Who was told while it had doubts of its own has none any more.
	other.Disconnected()
	must.True(t, tell(at(6), r, other))
	must.True(t, tell(at(6), other, r))
}

// TestExpiryIsTold guards against an upstream that one daemon has given up
// without a record that says so, and the others have not.
func TestExpiryIsTold(t *testing.T) {
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
	must.True(t, tell(at(4), r, other))
	must.Eq(t, 0, other.Len())
}
