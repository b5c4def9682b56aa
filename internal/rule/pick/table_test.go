package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/quota"
)

func at(s float64) time.Time { return time.Unix(0, int64(s*float64(time.Second))) }

// engines returns a Table of n engines with 4 slots each that have loaded model
// m and adapter a1. Engines with an even index are in the failure domain "near",
// which is the Table's, the others in "far".
func engines(n int) (*Table, []fleet.Upstream) {
	t := New(Settings{FailureDomain: "near"}, quota.New(), rand.New(rand.NewPCG(1, 2)))
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
	t.SetUpstreams(time.Time{}, ups, false)
	return t, ups
}

func query(model, adapter string) *Query {
	return &Query{Key: fleet.Key{Service: "llm", Model: model, Adapter: adapter}}
}

// send starts n requests and returns how many each upstream got.
func send(t *testing.T, tab *Table, now time.Time, n int, q *Query) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range n {
		c, why := tab.Choose(now, q)
		must.Eq(t, Found, why)
		tab.Start(now, c.Upstream.ID, q.Key)
		got[c.Upstream.ID]++
	}
	return got
}

// TestLoadIsBalanced guards against sending all requests to the upstream that
// was idle at first.
func TestLoadIsBalanced(t *testing.T) {
	tab, _ := engines(4)
	for id, n := range send(t, tab, at(0), 12, query("m", "")) {
		must.Between(t, 2, n, 4, must.Sprint(id))
	}
}

// TestManyDaemonsAvoidHerding guards against 32 daemons with the same outdated
// loads all choosing the upstream that looks best.
func TestManyDaemonsAvoidHerding(t *testing.T) {
	got := map[string]int{}
	for seed := range uint64(32) {
		tab, _ := engines(4)
		tab.slots["llm"] = 16
		tab.rng = rand.New(rand.NewPCG(seed, 1))
		tab.SetDaemons(32)
		tab.SetRemoteRunning(map[string]int{"e1": 1, "e2": 1, "e3": 1}, 0)
		c, _ := tab.Choose(at(0), query("m", ""))
		got[c.Upstream.ID]++
	}
	for id, n := range got {
		must.LessEq(t, 16, n, must.Sprint(id))
	}
}

// TestRemoteRequestsCount guards against ignoring the load from other daemons.
func TestRemoteRequestsCount(t *testing.T) {
	tab, _ := engines(2)
	tab.SetRemoteRunning(map[string]int{"e0": 3}, 0)
	got := send(t, tab, at(0), 3, query("m", ""))
	must.Eq(t, 3, got["e1"])
}

// TestReasons guards against a wrong Reason. It determines whether and how long
// a request waits, and what is reported to the holder.
func TestReasons(t *testing.T) {
	tab, _ := engines(1)
	_, why := tab.Choose(at(0), query("other", ""))
	must.Eq(t, NotLoaded, why)
	_, why = tab.Choose(at(0), query("m", "a2"))
	must.Eq(t, NotLoaded, why)
	_, why = tab.Choose(at(0), &Query{Key: fleet.Key{Service: "none"}})
	must.Eq(t, NoUpstream, why)
	send(t, tab, at(0), 4, query("m", "a1"))
	_, why = tab.Choose(at(0), query("m", "a1"))
	must.Eq(t, Full, why)
}

// TestLeavingUpstreamIsNotChosen guards against new requests to a leaving
// upstream, whether it was registered as such or changed later.
func TestLeavingUpstreamIsNotChosen(t *testing.T) {
	tab, ups := engines(3)
	ups[0].Leaving = true
	tab.SetUpstreams(at(0), ups, false)
	ups[1].Leaving = true
	tab.SetUpstreams(at(0), ups, true)
	got := send(t, tab, at(0), 3, query("m", ""))
	must.Eq(t, 3, got["e2"])
	must.False(t, tab.Usable(ups[0]))
	must.False(t, tab.Usable(ups[1]))
	must.True(t, tab.Usable(ups[2]))
}

// TestConnectFailureEjects guards against further requests to a crashed upstream
// that is still registered. It is ejected at the first failed connection, and
// for a longer time at the next.
func TestConnectFailureEjects(t *testing.T) {
	tab, ups := engines(2)
	k := query("m", "").Key
	tab.Start(at(0), "e0", k)
	tab.Finish(at(0), ups[0], k, ConnectFailed, 0)
	must.Eq(t, []string{"e0"}, tab.Ejected(at(0.1)))
	must.Eq(t, 2, send(t, tab, at(0.1), 2, query("m", ""))["e1"])
	must.SliceEmpty(t, tab.Ejected(at(1)))
	tab.Start(at(0), "e0", k)
	tab.Finish(at(1), ups[0], k, ConnectFailed, 0)
	must.Eq(t, []string{"e0"}, tab.Ejected(at(1.7)))
}

// TestSingleProbeAfterEjection guards against a burst of requests to an upstream
// whose ejection has ended, and against probing it with a request that can't be
// repeated.
func TestSingleProbeAfterEjection(t *testing.T) {
	tab, ups := engines(2)
	k := query("m", "").Key
	tab.Start(at(0), "e0", k)
	tab.Finish(at(0), ups[0], k, ConnectFailed, 0)
	noRetry := query("m", "")
	noRetry.NoRetry = true
	c, _ := tab.Choose(at(2), noRetry)
	must.Eq(t, "e1", c.Upstream.ID)
	got := send(t, tab, at(2), 4, query("m", ""))
	must.LessEq(t, 1, got["e0"])
}

// TestGrayFailureIsAvoided guards against sending to an upstream that fails half
// of its requests although its health check passes.
func TestGrayFailureIsAvoided(t *testing.T) {
	tab, ups := engines(3)
	k := query("m", "").Key
	for i := range 30 {
		for j, u := range ups {
			outcome := Succeeded
			if j == 0 && i%2 == 0 {
				outcome = Failed
			}
			tab.Start(at(0), u.ID, k)
			tab.Finish(at(float64(i)), u, k, outcome, 10*time.Millisecond)
		}
	}
	got := send(t, tab, at(31), 6, query("m", ""))
	must.Eq(t, 0, got["e0"])
}

// TestSlowUpstreamIsAvoided guards against sending to an upstream whose time to
// the first byte is five times that of its peers.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	tab, ups := engines(4)
	k := query("m", "").Key
	for i := range 20 {
		for j, u := range ups {
			firstByte := 20 * time.Millisecond
			if j == 0 {
				firstByte = 100 * time.Millisecond
			}
			tab.Start(at(0), u.ID, k)
			tab.Finish(at(float64(i)), u, k, Succeeded, firstByte)
		}
	}
	got := send(t, tab, at(31), 8, query("m", ""))
	must.Eq(t, 0, got["e0"])
}

// TestMissingOverridesReport guards against sending to an engine that has just
// answered that it lacks the model although the last report lists it.
func TestMissingOverridesReport(t *testing.T) {
	tab, _ := engines(1)
	tab.MarkMissing(at(0), "e0", query("m", "").Key)
	_, why := tab.Choose(at(0.1), query("m", ""))
	must.Eq(t, NotLoaded, why)
	_, why = tab.Choose(at(0.1), query("m", "a1"))
	must.Eq(t, Found, why)
	_, why = tab.Choose(at(1), query("m", ""))
	must.Eq(t, Found, why)
}

// TestNewIncarnationStartsClean guards against request counts and failures of a
// former incarnation with the same ID.
func TestNewIncarnationStartsClean(t *testing.T) {
	tab, ups := engines(1)
	k := query("m", "").Key
	send(t, tab, at(0), 4, query("m", ""))
	former := ups[0]
	ups[0].Born = 2
	tab.SetUpstreams(at(0), ups, false)
	tab.Finish(at(1), former, k, ConnectFailed, 0)
	must.SliceEmpty(t, tab.Ejected(at(1)))
	must.Eq(t, 4, send(t, tab, at(1), 4, query("m", ""))["e0"])
}

// TestPrefixAffinity guards against scattering requests that share a prompt part
// over several replicas while the preferred one isn't busy.
func TestPrefixAffinity(t *testing.T) {
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

// BenchmarkChoose measures Choose over the number of upstreams.
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

// TestLimitedUpstreamIsSpared guards against sending to an upstream in need, which has
// named a rate limit, while others have room, and against sending to it without a
// permit.
func TestLimitedUpstreamIsSpared(t *testing.T) {
	tab, ups := engines(2)
	tab.limits.Answered(at(0), at(0), ups[0], 2, true)
	tab.limits.Grant(at(0), map[string]int{"e0": 1})
	q := query("m", "")
	must.Eq(t, 4, send(t, tab, at(0), 4, q)["e1"])
	must.Eq(t, "", q.Limited)
	must.Eq(t, 1, send(t, tab, at(0), 1, q)["e0"])
	_, why := tab.Choose(at(0), q)
	must.Eq(t, Full, why)
	must.Eq(t, "e0", q.Limited)
}

// TestStaleLimitIsTried guards against an upstream that is spared for good after it has
// stopped naming a limit: with a permit, it is chosen first, also if it was slow.
func TestStaleLimitIsTried(t *testing.T) {
	tab, ups := engines(2)
	tab.Finish(at(0), ups[0], query("m", "").Key, Succeeded, time.Second)
	tab.Finish(at(0), ups[1], query("m", "").Key, Succeeded, 10*time.Millisecond)
	tab.limits.Answered(at(0), at(0), ups[0], 2, true)
	tab.limits.Grant(at(3), map[string]int{"e0": 1})
	must.Eq(t, 1, send(t, tab, at(3), 2, query("m", ""))["e0"])
}

// TestSilenceEndsEjection guards against an upstream that paused once and counts as
// failed for longer than its silence lasted, however many requests it was running, and
// against sending requests to one that stays silent.
func TestSilenceEndsEjection(t *testing.T) {
	tab, ups := engines(2)
	for range 10 {
		tab.Silent(at(0.75), ups[0], at(0))
	}
	must.Eq(t, []string{"e0"}, tab.Ejected(at(1.4)))
	must.SliceEmpty(t, tab.Ejected(at(1.6)))
	// A request that isn't repeatable still avoids it, until it goes on.
	unsafe := query("m", "")
	unsafe.NoRetry = true
	must.MapEq(t, map[string]int{"e1": 2}, send(t, tab, at(1.6), 2, unsafe))
	tab.Silent(at(2.4), ups[0], at(0))
	must.Eq(t, []string{"e0"}, tab.Ejected(at(4.7)))
	tab.Heard(at(2.5), ups[0])
	must.SliceEmpty(t, tab.Ejected(at(2.5)))
	must.MapEq(t, map[string]int{"e0": 1}, send(t, tab, at(2.5), 1, unsafe))
	// A longer silence of a former incarnation isn't that of the present one.
	former := ups[0]
	former.Born--
	tab.Silent(at(3), former, at(0))
	must.SliceEmpty(t, tab.Ejected(at(3.1)))
	// A request without an answer isn't a silence of the upstream that answers others.
	tab.Heard(at(4), ups[0])
	tab.Silent(at(4.1), ups[0], at(3))
	must.SliceEmpty(t, tab.Ejected(at(4.1)))
	tab.Silent(at(4.5), ups[0], at(3))
	must.Eq(t, []string{"e0"}, tab.Ejected(at(4.9)))
	must.SliceEmpty(t, tab.Ejected(at(5)))
}

// TestVersionIsKept guards against an upstream of another software version for a request
// that only one version may run, also if that one is full, lacks the model or is gone.
func TestVersionIsKept(t *testing.T) {
	tab, ups := engines(4)
	for i := range ups {
		ups[i].Version = fmt.Sprint("v", i%2)
	}
	tab.SetUpstreams(at(0), ups, false)
	q := query("m", "")
	v1, v2 := "v1", "v2"
	q.Version = &v1
	must.MapEq(t, map[string]int{"e1": 4, "e3": 4}, send(t, tab, at(0), 8, q))
	_, why := tab.Choose(at(0), q)
	must.Eq(t, Full, why)
	lacking := query("n", "")
	lacking.Version = &v1
	_, why = tab.Choose(at(0), lacking)
	must.Eq(t, NotLoaded, why)
	// A model that only another version holds is to be loaded at the stream's.
	tab.SetCopies([]fleet.Inventory{{ID: "e0", Born: 1, Held: []fleet.LoadedModel{{Model: "n"}}}})
	_, why = tab.Choose(at(0), lacking)
	must.Eq(t, NotLoaded, why)
	q.Version = &v2
	_, why = tab.Choose(at(0), q)
	must.Eq(t, OtherVersion, why)
	must.Eq(t, "other-version", why.String())
}

// TestUnconnectedIsUnreachable guards against an upstream that has crashed and counts as
// reachable between two ejections, so that the holder relies on what it holds.
func TestUnconnectedIsUnreachable(t *testing.T) {
	tab, ups := engines(2)
	q := query("m", "")
	tab.Start(at(0), "e0", q.Key)
	tab.Finish(at(0), ups[0], q.Key, ConnectFailed, 0)
	tab.Start(at(0), "e1", q.Key)
	tab.Finish(at(0), ups[1], q.Key, Inconclusive, 0)
	must.SliceEmpty(t, tab.Ejected(at(2)))
	must.Eq(t, []string{"e0"}, tab.Unreachable(at(2)))
	for _, o := range []Outcome{Inconclusive, GivenUp} {
		tab.Finish(at(2), ups[0], q.Key, o, 0)
		must.Eq(t, []string{"e0"}, tab.Unreachable(at(2)))
	}
	tab.Finish(at(3), ups[0], q.Key, Rejected, 0)
	must.SliceEmpty(t, tab.Unreachable(at(3)))
}

// TestReturns guards against a Retry-After of streams that is a guess where upstreams of
// their version have crashed: how long these take to come back is known from others.
func TestReturns(t *testing.T) {
	tab, ups := engines(4)
	for i := range ups {
		ups[i].Version, ups[i].Address = fmt.Sprint("v", i%2), fmt.Sprint("address ", i)
	}
	tab.SetUpstreams(at(0), ups, false)
	crash := func(s float64, i int) {
		tab.Start(at(s), ups[i].ID, query("m", "").Key)
		tab.Finish(at(s), ups[i], query("m", "").Key, ConnectFailed, 0)
	}
	_, ok := tab.Returns(ups[0].Service, "v0")
	must.False(t, ok)
	crash(1, 0)
	crash(1.5, 0)
	crash(2, 2)
	back, ok := tab.Returns(ups[0].Service, "v0")
	must.True(t, ok)
	must.Eq(t, at(1).Add(defaultRestartTime), back)
	_, ok = tab.Returns(ups[0].Service, "v1")
	must.False(t, ok)
	// The first comes back after 9 s under another ID, the register has the old one still.
	next := ups[0]
	next.ID = "next"
	ups = append(ups, next)
	tab.SetUpstreams(at(10), ups, false)
	back, ok = tab.Returns(ups[0].Service, "v0")
	must.True(t, ok)
	later := back.Sub(at(2))
	must.Greater(t, defaultRestartTime, later)
	must.Less(t, 9*time.Second, later)
}
