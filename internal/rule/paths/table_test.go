package paths

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func at(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }

// newTable returns a Table that knows two forwarders.
func newTable() *Table {
	t := New("self:1", "near")
	t.SetForwarders([]string{"a:1", "b:1"})
	return t
}

// TestOwnPathFirst guards against connections through other daemons while the daemon's
// own path works, and against a daemon without forwarders that gives an upstream less
// time.
func TestOwnPathFirst(t *testing.T) {
	must.Eq(t, Plan{Direct: true}, New("", "").Plan(at(0), "u"))
	want := Plan{Direct: true, DirectFor: directWait, Forwarders: []string{"a:1", "b:1"}}
	must.Eq(t, want, newTable().Plan(at(0), "u"))
}

// TestFailedPath guards against waiting for the daemon's own path again for each
// connection after it has failed, and against never trying it again.
func TestFailedPath(t *testing.T) {
	tab := newTable()
	tab.Direct(at(0), "u", false)
	must.Eq(t, Plan{Forwarders: []string{"a:1", "b:1"}, Probe: true}, tab.Plan(at(0.1), "u"))
	must.Eq(t, Plan{Forwarders: []string{"a:1", "b:1"}}, tab.Plan(at(0.5), "u"))
	must.True(t, tab.Plan(at(0.7), "u").Probe)
	must.True(t, tab.Plan(at(0.7), "v").Direct, must.Sprint("another upstream"))
	tab.Direct(at(0.8), "u", true)
	must.True(t, tab.Plan(at(0.9), "u").Direct)
}

// TestCutOff guards against a daemon that finds for each upstream anew that its own path
// is lost, and against one that takes the end of upstreams, which nobody reaches, for the
// loss of its path.
func TestCutOff(t *testing.T) {
	tab := newTable()
	tab.Direct(at(0), "u", false)
	tab.Direct(at(0), "v", false)
	must.False(t, tab.CutOff(at(0)), must.Sprint("nobody has reached them"))
	_, after := tab.Forwarded(at(0.1), "u", true)
	must.True(t, after)
	must.True(t, tab.Report(at(0.1)).CutOff)
	must.False(t, tab.Plan(at(0.2), "w").Direct, must.Sprint("an upstream that wasn't tried"))
	before, after := tab.Direct(at(0.6), "v", true)
	must.True(t, before)
	must.False(t, after)
	must.True(t, tab.Plan(at(0.7), "w").Direct)
}

// TestDeadUpstream guards against connections through other daemons to an upstream that
// has ended.
func TestDeadUpstream(t *testing.T) {
	tab := newTable()
	tab.Direct(at(0), "u", false)
	tab.Forwarded(at(0), "u", false)
	must.Eq(t, Plan{Direct: true}, tab.Plan(at(0.5), "u"))
	must.SliceLen(t, 2, tab.Plan(at(1.5), "u").Forwarders)
}

// TestFailedForwarder guards against asking a daemon again that has just failed to
// forward.
func TestFailedForwarder(t *testing.T) {
	tab := newTable()
	tab.ForwarderFailed(at(0), "a:1")
	must.Eq(t, []string{"b:1"}, tab.Plan(at(0.5), "u").Forwarders)
	must.Eq(t, []string{"a:1", "b:1"}, tab.Plan(at(1.5), "u").Forwarders)
}

// TestPathsAreForgotten guards against state that grows with the upstreams and daemons
// that have been.
func TestPathsAreForgotten(t *testing.T) {
	tab := newTable()
	for i := range 1000 {
		now := at(float64(i))
		tab.Direct(now, fmt.Sprint("u", i), false)
		tab.Plan(now, fmt.Sprint("u", i))
		tab.Forwarded(now, fmt.Sprint("u", i), false)
		tab.ForwarderFailed(now, fmt.Sprint("f", i))
	}
	for name, m := range map[string]map[string]time.Time{"failed": tab.failed, "down": tab.down, "probed": tab.probed, "avoid": tab.avoid} {
		must.LessEq(t, 4, len(m), must.Sprint(name))
	}
}
