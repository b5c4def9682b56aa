package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestReturnedEntryKeepsWhatWasSaid guards against forgetting what an upstream has said of
// itself, that it is leaving or wants a pause, and how it has fared, when its entry of the
// register is removed and comes back, as with a report that is written late (DRAIN). The
// next incarnation begins anew.
func TestReturnedEntryKeepsWhatWasSaid(t *testing.T) {
	chosen := func(tab *Table, now time.Time) map[string]bool {
		got := map[string]bool{}
		for range 20 {
			c, reason := tab.Choose(now, query("m", ""))
			if reason == Found {
				got[c.Upstream.ID] = true
			}
		}
		return got
	}
	for name, say := range map[string]func(tab *Table, up fleet.Upstream){
		"leaving":      func(tab *Table, up fleet.Upstream) { tab.Notice(at(1), at(1), up, fleet.Notice{Leaving: true}) },
		"pause":        func(tab *Table, up fleet.Upstream) { tab.Notice(at(1), at(1), up, fleet.Notice{Pause: time.Minute}) },
		"started anew": func(tab *Table, up fleet.Upstream) { tab.Restarted(at(9), up) },
		"silent": func(tab *Table, up fleet.Upstream) {
			tab.Silent(at(9), up, at(1))
		},
	} {
		for _, whileGone := range []bool{false, true} {
			tab, ups := engines(2)
			if !whileGone {
				say(tab, ups[0])
			}
			tab.SetUpstreams(at(2), ups[1:], false)
			if whileGone && name != "started anew" {
				// An answer that was still on its way.
				say(tab, ups[0])
			}
			tab.SetUpstreams(at(10), ups, false)
			if whileGone && name == "started anew" {
				continue
			}
			q := query("m", "")
			q.Begins = true
			for range 20 {
				c, reason := tab.Choose(at(10), q)
				must.Eq(t, Found, reason)
				must.Eq(t, "e1", c.Upstream.ID, must.Sprint(name, whileGone))
			}
			if name == "leaving" {
				must.False(t, tab.Usable(ups[0]))
			}
			ups[0].Born++
			tab.SetUpstreams(at(10.1), ups, false)
			must.True(t, chosen(tab, at(10.1))["e0"], must.Sprint(name))
		}
	}
}

// TestReturnedEntryKeepsItsLoad guards against requests in progress that are no longer
// counted, or are counted for ever, because the entry of their upstream was away when they
// began or ended.
func TestReturnedEntryKeepsItsLoad(t *testing.T) {
	tab, ups := engines(1)
	k := query("m", "").Key
	tab.Start(at(0), "e0", k)
	tab.Start(at(0), "e0", k)
	tab.SetUpstreams(at(1), nil, false)
	tab.Finish(at(2), ups[0], k, Succeeded, time.Millisecond)
	tab.SetUpstreams(at(3), ups, false)
	running := map[string]map[fleet.Key]int{}
	tab.Running(running)
	must.Eq(t, map[string]map[fleet.Key]int{"e0": {k: 1}}, running)
	_, reason := tab.Choose(at(3), query("m", ""))
	must.Eq(t, Found, reason)
}

// TestFormerUpstreamsAreBounded guards against a table that grows with the upstreams that
// are gone.
func TestFormerUpstreamsAreBounded(t *testing.T) {
	tab, _ := engines(0)
	for i := range 3 * maxFormer {
		now := at(float64(i))
		tab.SetUpstreams(now, []fleet.Upstream{{ID: fmt.Sprint(i), Born: 1, Service: "llm"}}, false)
		must.LessEq(t, int(formerRetention.Seconds())+1, len(tab.former.upstreams))
	}
	for i := range 3 * maxFormer {
		tab.SetUpstreams(at(1e6), []fleet.Upstream{{ID: fmt.Sprint(i), Born: 1, Service: "llm"}}, false)
	}
	must.LessEq(t, maxFormer, len(tab.former.upstreams))
	tab.SetUpstreams(at(2e6), nil, false)
	tab.SetUpstreams(at(3e6), nil, false)
	must.MapEmpty(t, tab.former.upstreams)
}
