package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// upstream is the upstream of the tests.
var upstream = fleet.Upstream{ID: "u", Born: 1}

// at returns a time, in seconds.
func at(seconds float64) time.Time {
	return time.Unix(100, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// TestAnswered guards against a limit that is ignored, one that outlives what the
// upstream says, and one that an answer to an older request lifts.
func TestAnswered(t *testing.T) {
	tab := New()
	must.False(t, tab.Answered(at(0), at(0), upstream, 0, false))
	must.True(t, tab.Allows(at(0), upstream))
	must.True(t, tab.Answered(at(1), at(0), upstream, 2.9, true))
	must.False(t, tab.Answered(at(1), at(0), upstream, 2.9, true))
	must.False(t, tab.Allows(at(1), upstream))
	must.False(t, tab.Answered(at(2), at(0.5), upstream, 0, false))
	must.False(t, tab.Allows(at(2), upstream))
	must.True(t, tab.Answered(at(2), at(1.5), upstream, 0, false))
	must.True(t, tab.Allows(at(2), upstream))
	// A restarted upstream has named nothing.
	must.True(t, tab.Answered(at(3), at(3), upstream, 2.9, true))
	must.True(t, tab.Allows(at(3), fleet.Upstream{ID: "u", Born: 2}))
}

// TestLearn guards against older news that replace newer ones, and against limits
// that are kept for good.
func TestLearn(t *testing.T) {
	a, b := New(), New()
	a.Answered(at(0), at(0), upstream, 3, true)
	must.True(t, b.Learn(at(5), a.Named(at(5))))
	must.False(t, b.Learn(at(6), a.Named(at(6))))
	must.False(t, b.Allows(at(6), upstream))
	must.True(t, b.Answered(at(7), at(6), upstream, 0, false))
	must.False(t, b.Learn(at(8), a.Named(at(8))))
	must.True(t, a.Learn(at(8), b.Named(at(8))))
	must.True(t, a.Allows(at(8), upstream))
	must.SliceEmpty(t, a.Named(at(8+liftedTTL.Seconds())))
	must.Eq(t, 0, a.Count())
}

// TestPermits guards against permits that are used twice or saved up.
func TestPermits(t *testing.T) {
	tab := New()
	tab.Answered(at(0), at(0), upstream, 3, true)
	tab.Grant(at(0), map[string]int{"u": 2, "unknown": 5})
	must.Eq(t, 2, tab.Permits(at(0), "u"))
	must.True(t, tab.Allows(at(0), upstream))
	tab.Take(at(0), upstream)
	must.Eq(t, 1, tab.Permits(at(0.5), "u"))
	must.False(t, tab.Allows(at(0).Add(permitTTL), upstream))
}

// TestHugeLimit guards against a daemon that runs out of memory, because an upstream
// names a limit without meaning.
func TestHugeLimit(t *testing.T) {
	tab := New()
	must.True(t, tab.Answered(at(0), at(0), upstream, 1e300, true))
	must.False(t, tab.Answered(at(0), at(0), upstream, 1e300, true))
	for s := range 20 {
		tab.Accrue(at(float64(s)), 1, false)
		must.LessEq(t, maxPerSecond, tab.Permits(at(float64(s)), "u"))
	}
}

// TestShareWithoutHolder guards against daemons that send nothing to an upstream with
// a limit while there is no holder, and against exceeding the limit then.
func TestShareWithoutHolder(t *testing.T) {
	tab := New()
	tab.Answered(at(0), at(0), upstream, 4, true)
	used := 0
	for s := 0.0; s < 10; s += 0.025 {
		tab.Accrue(at(s), 4, s < 2)
		for tab.Allows(at(s), upstream) {
			tab.Take(at(s), upstream)
			used++
		}
	}
	must.Between(t, 7, used, 8)
	// A frozen daemon accrues nothing meanwhile.
	tab.Accrue(at(60), 4, false)
	must.False(t, tab.Allows(at(60), upstream))
}
