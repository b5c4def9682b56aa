package roster

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/logpos"
)

func at(s float64) time.Time { return time.Unix(0, int64(s*float64(time.Second))) }

func up(id string, born int64, leaving bool) fleet.Upstream {
	return fleet.Upstream{ID: id, Born: born, Leaving: leaving}
}

// TestLeavingStays guards against an older entry that arrives late and puts an
// upstream back into use that has reported that it is leaving.
func TestLeavingStays(t *testing.T) {
	r := New(Settings{Settle: 2 * time.Second})
	must.Eq(t, Joined, r.Put(at(0), up("a", 1, false)))
	must.Eq(t, Left, r.Put(at(1), up("a", 1, true)))
	must.Eq(t, None, r.Put(at(2), up("a", 1, false)))
	u, _ := r.Get("a")
	must.True(t, u.Leaving)
	// A new start under the same id is another incarnation; older entries of
	// the previous one don't affect it.
	must.Eq(t, Joined, r.Put(at(3), up("a", 2, false)))
	must.Eq(t, None, r.Put(at(3), up("a", 1, true)))
	u, _ = r.Get("a")
	must.False(t, u.Leaving)
}

// TestOutageDoesNotEmptyTheList guards against losing all upstreams because
// their entries expired while the register was unreachable, and against using
// those that are still missing after the settle time.
func TestOutageDoesNotEmptyTheList(t *testing.T) {
	r := New(Settings{Settle: 2 * time.Second})
	for _, id := range []string{"a", "b", "c"} {
		r.Put(at(0), up(id, 1, false))
	}
	r.Disconnected()
	r.Reconnected(at(10))
	must.Eq(t, Lapsed, r.Drop(at(10.1), "a", 0))
	must.SliceEmpty(t, r.Retain(at(10.2), map[string]bool{"c": true}, 0))
	must.Eq(t, 3, r.Len())
	must.Eq(t, Returned, r.Put(at(11), up("a", 1, false)))
	must.SliceEmpty(t, r.Expire(at(11.9)))
	must.Eq(t, []string{"b"}, r.Expire(at(12)))
	must.Eq(t, 2, r.Len())
}

// TestRemovalWithoutOutageIsAnEnd guards against new requests to an upstream
// whose entry was removed: the removal may be the only notice that it leaves.
func TestRemovalWithoutOutageIsAnEnd(t *testing.T) {
	r := New(Settings{Settle: 2 * time.Second})
	r.Put(at(0), up("a", 1, false))
	must.Eq(t, Left, r.Drop(at(1), "a", 0))
	must.Eq(t, None, r.Drop(at(1), "a", 0))
	must.Eq(t, 0, r.Len())
}

// TestLeavingUpstreamIsRemovedAtOnce guards against keeping an upstream during
// an outage although it had reported that it is leaving.
func TestLeavingUpstreamIsRemovedAtOnce(t *testing.T) {
	r := New(Settings{Settle: 2 * time.Second})
	r.Put(at(0), up("a", 1, true))
	r.Disconnected()
	must.Eq(t, Left, r.Drop(at(1), "a", 0))
}

// TestDrainingUpstreamStaysAway guards against requests to an upstream that had announced
// that it leaves, and whose entry was removed, because a report from before is written late.
func TestDrainingUpstreamStaysAway(t *testing.T) {
	r := New(Settings{Settle: 2 * time.Second})
	entry := func(offset logpos.Position, born int64, leaving bool) fleet.Upstream {
		u := up("a", born, leaving)
		u.Offset = offset
		return u
	}
	r.Put(at(0), entry(1, 1, false))
	must.Eq(t, Left, r.Put(at(1), entry(2, 1, true)))
	must.Eq(t, Left, r.Drop(at(2), "a", 3))
	must.Eq(t, Left, r.Put(at(3), entry(4, 1, false)))
	u, _ := r.Get("a")
	must.True(t, u.Leaving)
	// The next start under its ID is another one.
	must.Eq(t, Joined, r.Put(at(4), entry(5, 2, false)))
	// One that had announced nothing may have been cut off from the log.
	must.Eq(t, Left, r.Drop(at(5), "a", 6))
	must.Eq(t, Joined, r.Put(at(6), entry(7, 2, false)))
}
