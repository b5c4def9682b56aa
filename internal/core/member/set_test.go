package member

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.UnixMilli(1_000_000)

func daemon(name, domain string) Fact {
	return Fact{Kind: Daemon, Name: name, Domain: domain, Status: Alive, Counter: 1}
}

// TestRefute guards against a false suspicion or death that can't be refuted.
func TestRefute(t *testing.T) {
	a := New(start, daemon("a", "x"), Settings{})
	b := New(start, daemon("b", "x"), Settings{})
	a.Merge(start, []Fact{b.Self()})
	must.True(t, a.RecordFailure(start, "b"))
	must.Eq(t, []string{"a", "b"}, a.Live(nil, ""))
	a.Tick(start.Add(3 * time.Second))
	must.Eq(t, []string{"a"}, a.Live(nil, ""))

	b.Merge(start, a.Outgoing(nil, "x", 1000))
	must.Eq(t, Alive, b.Self().Status)
	a.RecordContact(start, b.Self())
	must.Eq(t, []string{"a", "b"}, a.Live(nil, ""))
}

// TestLateFact guards against a late, older fact that replaces a newer one.
func TestLateFact(t *testing.T) {
	a := New(start, daemon("a", "x"), Settings{})
	up := Fact{Kind: Upstream, Name: "u", Status: Alive, Domain: "x"}
	must.True(t, a.Observe(start, up))
	old, _ := a.Get(up.Key())
	up.Status = Leaving
	must.True(t, a.Observe(start, up))
	must.SliceEmpty(t, a.Merge(start, []Fact{old}))
	got, _ := a.Get(up.Key())
	must.Eq(t, Leaving, got.Status)
	must.False(t, a.Observe(start, up))
}

// TestDissemination guards against a fact that does not reach every daemon
// within 20 rounds of one second, at the rates of the design: one exchange each
// second within the failure domain and one every four seconds across domains.
func TestDissemination(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		rng := rand.New(rand.NewPCG(seed, 0))
		var all []*Set
		for i := range 320 {
			all = append(all, New(start, daemon(fmt.Sprintf("d%03d", i), fmt.Sprintf("x%d", i%8)), Settings{}))
		}
		selfFacts := make([]Fact, 0, len(all))
		for _, m := range all {
			selfFacts = append(selfFacts, m.Self())
		}
		for _, m := range all {
			m.Merge(start, selfFacts)
			for range 40 {
				m.Outgoing(nil, "x0", 1<<20)
			}
		}
		leaving := Fact{Kind: Upstream, Name: "u", Status: Leaving, Domain: "x3"}
		all[3].Observe(start, leaving)
		exchange := func(a, b *Set) {
			b.Merge(start, a.Outgoing(nil, b.Self().Domain, 700))
			a.Merge(start, b.Outgoing(nil, a.Self().Domain, 700))
		}
		rounds := 0
		for ; rounds < 60; rounds++ {
			known := 0
			for _, m := range all {
				if _, ok := m.Get(leaving.Key()); ok {
					known++
				}
			}
			if known == len(all) {
				break
			}
			for i, m := range all {
				exchange(m, all[(i+8*rng.IntN(40))%320])
				if (rounds+i)%4 == 0 {
					exchange(m, all[rng.IntN(320)])
				}
			}
		}
		t.Logf("seed %d: all 320 daemons know after %d rounds", seed, rounds)
		must.Less(t, 20, rounds)
	}
}

// TestDifferingFacts guards against a missed fact that the exchange of digests
// does not repair.
func TestDifferingFacts(t *testing.T) {
	a := New(start, daemon("a", "x"), Settings{})
	b := New(start, daemon("b", "x"), Settings{})
	for i := range 200 {
		f := Fact{Kind: Upstream, Name: fmt.Sprint(i), Status: Alive, Counter: 1}
		a.Merge(start, []Fact{f})
		if i%10 != 0 {
			b.Merge(start, []Fact{f})
		}
	}
	b.Merge(start, a.DifferingFacts(nil, b.Digest()))
	a.Merge(start, b.DifferingFacts(nil, a.Digest()))
	must.Eq(t, a.Digest(), b.Digest())
}

// BenchmarkMerge measures merging ten facts into sets of several sizes.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("facts=%d", n), func(b *testing.B) {
			m := New(start, daemon("a", "x"), Settings{})
			for i := range n {
				m.Merge(start, []Fact{{Kind: Upstream, Name: fmt.Sprint(i), Status: Alive, Counter: 1}})
			}
			facts := make([]Fact, 10)
			counter := uint64(2)
			for b.Loop() {
				for i := range facts {
					facts[i] = Fact{Kind: Upstream, Name: fmt.Sprint(i), Status: Alive, Counter: counter}
				}
				counter++
				m.Merge(start, facts)
			}
		})
	}
}

// suspectKey is the subject of the facts about crashes in tests.
var suspectKey = Key{Kind: SuspectRequest, Name: "bad"}

// suspectFact returns a fact with crashes of the given upstreams.
func suspectFact(upstreams ...string) Fact {
	f := Fact{Kind: SuspectRequest, Name: suspectKey.Name, Status: Suspect}
	for i, u := range upstreams {
		f.Crashes = append(f.Crashes, Crash{ID: u, AtMS: int64(i + 1)})
	}
	return f
}

// crashIDs returns the crashes that a set knows.
func crashIDs(m *Set) (ids []string) {
	f, _ := m.Get(suspectKey)
	for _, c := range f.Crashes {
		ids = append(ids, c.ID)
	}
	sort.Strings(ids)
	return ids
}

// TestCrashesOfBothSides guards against a crash that is lost because the other side
// of a partition has reported more of them, and against sets that differ in crashes
// but not in their digests.
func TestCrashesOfBothSides(t *testing.T) {
	now := time.Unix(1, 0)
	a, b := New(now, Fact{Name: "a"}, Settings{}), New(now, Fact{Name: "b"}, Settings{})
	a.Observe(now, suspectFact("u1"))
	b.Observe(now, suspectFact("u3"))
	must.NotEq(t, a.Digest()[bucketOf(suspectKey)], b.Digest()[bucketOf(suspectKey)])
	a.Observe(now, suspectFact("u1", "u2"))
	fa, _ := a.Get(suspectKey)
	fb, _ := b.Get(suspectKey)
	must.SliceNotEmpty(t, a.Merge(now, []Fact{fb}))
	must.SliceNotEmpty(t, b.Merge(now, []Fact{fa}))
	want := []string{"u1", "u2", "u3"}
	must.Eq(t, want, crashIDs(a))
	must.Eq(t, want, crashIDs(b))
	must.Eq(t, a.Digest()[bucketOf(suspectKey)], b.Digest()[bucketOf(suspectKey)])
	fa, _ = a.Get(suspectKey)
	must.SliceEmpty(t, b.Merge(now, []Fact{fa}))
}

// TestClearedCrashes guards against crashes that a daemon which missed their clear
// brings back, and against a clear by a daemon of an earlier version, which names no
// crashes, that has no effect.
func TestClearedCrashes(t *testing.T) {
	now := time.Unix(1, 0)
	a, b := New(now, Fact{Name: "a"}, Settings{}), New(now, Fact{Name: "b"}, Settings{})
	a.Observe(now, suspectFact("u1"))
	fa, _ := a.Get(suspectKey)
	b.Merge(now, []Fact{fa})
	a.Observe(now, Fact{Kind: SuspectRequest, Name: suspectKey.Name, Status: Alive, Cleared: fa.Crashes})
	b.Observe(now, suspectFact("u1", "u2"))
	fa, _ = a.Get(suspectKey)
	fb, _ := b.Get(suspectKey)
	a.Merge(now, []Fact{fb})
	b.Merge(now, []Fact{fa})
	must.Eq(t, []string{"u2"}, crashIDs(a))
	must.Eq(t, []string{"u2"}, crashIDs(b))
	f, _ := a.Get(suspectKey)
	a.Merge(now, []Fact{{Kind: SuspectRequest, Name: suspectKey.Name, Status: Alive, Counter: f.Counter + 1}})
	must.SliceEmpty(t, crashIDs(a))
}
