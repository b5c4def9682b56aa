package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

func at(s float64) time.Time { return time.Unix(0, int64(s*float64(time.Second))) }

// engines returns a Table of n engines with 4 slots that hold model m with
// adapter a1; every other one is in the failure domain "near".
func engines(n int) (*Table, []fleet.Upstream) {
	t := New(Settings{FailureDomain: "near"}, rand.New(rand.NewPCG(1, 2)))
	t.Configure(&fleet.Config{Services: map[string]fleet.Service{"llm": {Name: "llm", Engine: &fleet.Engine{Slots: 4}}}})
	var ups []fleet.Upstream
	for i := range n {
		u := fleet.Upstream{ID: fmt.Sprintf("e%d", i), Born: 1, Service: "llm", FailureDomain: "far"}
		if i%2 == 0 {
			u.FailureDomain = "near"
		}
		u.Holding.Models = []fleet.LoadedModel{{Model: "m", Adapters: []string{"a1"}}}
		ups = append(ups, u)
	}
	t.SetUpstreams(ups, false)
	return t, ups
}

func query(model, adapter string) *Query {
	return &Query{Key: fleet.Key{Service: "llm", Model: model, Adapter: adapter}}
}

// spread sends n requests and returns how many each upstream got.
func spread(t *testing.T, tab *Table, now time.Time, n int, q *Query) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range n {
		c, why := tab.Choose(now, q)
		must.Eq(t, Found, why)
		tab.Start(c.Upstream.ID, q.Key)
		got[c.Upstream.ID]++
	}
	return got
}

// TestLoadIsSpread guards against a herd on the upstream that looks empty.
func TestLoadIsSpread(t *testing.T) {
	tab, _ := engines(4)
	for id, n := range spread(t, tab, at(0), 12, query("m", "")) {
		must.Between(t, 2, n, 4, must.Sprint(id))
	}
}

// TestManyDaemonsDontHerd answers thirty daemons that see the same late loads:
// they must not all take the upstream that looks best.
func TestManyDaemonsDontHerd(t *testing.T) {
	got := map[string]int{}
	for seed := range uint64(32) {
		tab, _ := engines(4)
		tab.slots["llm"] = 16
		tab.rng = rand.New(rand.NewPCG(seed, 1))
		tab.SetDaemons(32)
		tab.SetRemoteRunning(map[string]int{"e1": 1, "e2": 1, "e3": 1})
		c, _ := tab.Choose(at(0), query("m", ""))
		got[c.Upstream.ID]++
	}
	for id, n := range got {
		must.LessEq(t, 16, n, must.Sprint(id))
	}
}

// TestOthersCount guards against sending where other daemons send already.
func TestOthersCount(t *testing.T) {
	tab, _ := engines(2)
	tab.SetRemoteRunning(map[string]int{"e0": 3})
	got := spread(t, tab, at(0), 3, query("m", ""))
	must.Eq(t, 3, got["e1"])
}

// TestReasons guards against a wrong reason, which decides whether a request
// waits, for how long, and what the holder is told.
func TestReasons(t *testing.T) {
	tab, _ := engines(1)
	_, why := tab.Choose(at(0), query("other", ""))
	must.Eq(t, NotLoaded, why)
	_, why = tab.Choose(at(0), query("m", "a2"))
	must.Eq(t, NotLoaded, why)
	_, why = tab.Choose(at(0), &Query{Key: fleet.Key{Service: "none"}})
	must.Eq(t, NoUpstream, why)
	spread(t, tab, at(0), 4, query("m", "a1"))
	_, why = tab.Choose(at(0), query("m", "a1"))
	must.Eq(t, Full, why)
}

// TestLeavingGetsNothing guards against new requests to an upstream that
// leaves, whether that is known from the start or comes later.
func TestLeavingGetsNothing(t *testing.T) {
	tab, ups := engines(3)
	ups[0].Leaving = true
	tab.SetUpstreams(ups, false)
	ups[1].Leaving = true
	tab.SetUpstreams(ups, true)
	got := spread(t, tab, at(0), 3, query("m", ""))
	must.Eq(t, 3, got["e2"])
	must.False(t, tab.Usable(ups[0]))
	must.False(t, tab.Usable(ups[1]))
	must.True(t, tab.Usable(ups[2]))
}

// TestUnconnectedIsSetAside answers a crashed upstream that is still
// registered: it is avoided at once, tested by one request, and longer avoided
// each time.
func TestUnconnectedIsSetAside(t *testing.T) {
	tab, ups := engines(2)
	k := query("m", "").Key
	tab.Start("e0", k)
	tab.Finish(at(0), ups[0], k, ConnectFailed, 0)
	must.Eq(t, []string{"e0"}, tab.Ejected(at(0.1)))
	must.Eq(t, 2, spread(t, tab, at(0.1), 2, query("m", ""))["e1"])
	must.SliceEmpty(t, tab.Ejected(at(1)))
	tab.Start("e0", k)
	tab.Finish(at(1), ups[0], k, ConnectFailed, 0)
	must.Eq(t, []string{"e0"}, tab.Ejected(at(1.7)))
}

// TestOneRequestTestsAnUpstream guards against a burst on an upstream whose
// time aside is over, and against testing it with a request that can't be
// repeated.
func TestOneRequestTestsAnUpstream(t *testing.T) {
	tab, ups := engines(2)
	k := query("m", "").Key
	tab.Start("e0", k)
	tab.Finish(at(0), ups[0], k, ConnectFailed, 0)
	once := query("m", "")
	once.NoRetry = true
	c, _ := tab.Choose(at(2), once)
	must.Eq(t, "e1", c.Upstream.ID)
	got := spread(t, tab, at(2), 4, query("m", ""))
	must.LessEq(t, 1, got["e0"])
}

// TestGreyUpstreamIsAvoided answers an upstream that fails part of its requests
// while its health check is good.
func TestGreyUpstreamIsAvoided(t *testing.T) {
	tab, ups := engines(3)
	k := query("m", "").Key
	for i := range 30 {
		for j, u := range ups {
			end := Succeeded
			if j == 0 && i%2 == 0 {
				end = Failed
			}
			tab.Start(u.ID, k)
			tab.Finish(at(float64(i)), u, k, end, 10*time.Millisecond)
		}
	}
	got := spread(t, tab, at(31), 6, query("m", ""))
	must.Eq(t, 0, got["e0"])
}

// TestSlowUpstreamIsAvoided answers an upstream that works five times as long.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	tab, ups := engines(4)
	k := query("m", "").Key
	for i := range 20 {
		for j, u := range ups {
			first := 20 * time.Millisecond
			if j == 0 {
				first = 100 * time.Millisecond
			}
			tab.Start(u.ID, k)
			tab.Finish(at(float64(i)), u, k, Succeeded, first)
		}
	}
	got := spread(t, tab, at(31), 8, query("m", ""))
	must.Eq(t, 0, got["e0"])
}

// TestMissingGoesBeforeWhatWasHeard guards against sending to an engine that has
// just said that it lacks the model.
func TestMissingGoesBeforeWhatWasHeard(t *testing.T) {
	tab, _ := engines(1)
	tab.MarkMissing(at(0), "e0", query("m", "").Key)
	_, why := tab.Choose(at(0.1), query("m", ""))
	must.Eq(t, NotLoaded, why)
	_, why = tab.Choose(at(0.1), query("m", "a1"))
	must.Eq(t, Found, why)
	_, why = tab.Choose(at(1), query("m", ""))
	must.Eq(t, Found, why)
}

// TestRebornUpstreamIsAnother guards against counts and failures of a former
// incarnation under the same id.
func TestRebornUpstreamIsAnother(t *testing.T) {
	tab, ups := engines(1)
	k := query("m", "").Key
	spread(t, tab, at(0), 4, query("m", ""))
	former := ups[0]
	ups[0].Born = 2
	tab.SetUpstreams(ups, false)
	tab.Finish(at(1), former, k, ConnectFailed, 0)
	must.SliceEmpty(t, tab.Ejected(at(1)))
	must.Eq(t, 4, spread(t, tab, at(1), 4, query("m", ""))["e0"])
}

// TestSharedPromptsMeet answers sessions that share parts of their prompts: most
// requests of one go to the same copy while it isn't busy.
func TestSharedPromptsMeet(t *testing.T) {
	tab, ups := engines(4)
	got := map[string]int{}
	for range 40 {
		q := query("m", "")
		q.PrefixKey = "5c1e07a2"
		c, _ := tab.Choose(at(0), q)
		got[c.Upstream.ID]++
	}
	most := 0
	for _, u := range ups {
		most = max(most, got[u.ID])
	}
	must.GreaterEq(t, 36, most)
}

// BenchmarkChoose shows the slope over the number of upstreams.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 90, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			tab, _ := engines(n)
			q := query("m", "a1")
			b.ReportAllocs()
			for b.Loop() {
				tab.Choose(at(0), q)
			}
		})
	}
}
