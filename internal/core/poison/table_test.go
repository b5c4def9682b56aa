package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestJudge guards against quarantining a request that only ran beside the one
// that caused the crash, and against a request that causes crashes without being
// quarantined.
func TestJudge(t *testing.T) {
	at := time.UnixMilli(0)
	tab := New(Settings{}, 1)
	judge := func(fp string) Verdict { v, _ := tab.Judge(at, fp); return v }
	must.Eq(t, Clean, judge("bad"))
	for _, fp := range []string{"bad", "innocent", "other"} {
		tab.Observe(fp, Crash{ID: "u1/1", At: at})
		tab.Observe(fp, Crash{ID: "u1/1", At: at})
		must.Eq(t, Suspect, judge(fp))
	}
	// Two suspects on one upstream: the crash can't be attributed to either.
	tab.Observe("bad", Crash{ID: "u2/1", At: at.Add(time.Second)})
	tab.Observe("other", Crash{ID: "u2/1", At: at.Add(time.Second)})
	must.Eq(t, Suspect, judge("bad"))
	must.Eq(t, Suspect, judge("other"))
	// "other" completes; "bad" is the only suspect at the next crash.
	must.True(t, tab.Clear("other"))
	tab.Observe("bad", Crash{ID: "u3/1", At: at.Add(2 * time.Second)})
	tab.Observe("fresh", Crash{ID: "u3/1", At: at.Add(2 * time.Second)})
	must.Eq(t, Quarantined, judge("bad"))
	must.Eq(t, Suspect, judge("fresh"))
	must.Eq(t, Suspect, judge("innocent"))
	at = at.Add(11 * time.Minute)
	must.Eq(t, Clean, judge("bad"))
}

// TestProgress guards against quarantining a long response whose engines ended
// for other reasons, and against a request that is never quarantined because it
// crashes engines only after it has produced tokens.
func TestProgress(t *testing.T) {
	at := time.UnixMilli(0)
	tab := New(Settings{}, 1)
	for i, want := range []Verdict{Suspect, Suspect, Suspect, Quarantined} {
		tab.Observe("long", Crash{ID: string(rune('a' + i)), At: at, Progress: true})
		got, _ := tab.Judge(at, "long")
		must.Eq(t, want, got)
	}
}

// crash returns a crash of a given upstream at a second.
func crash(upstream string, second int) Crash {
	return Crash{ID: upstream, At: time.Unix(int64(second), 0)}
}

// TestShorterHistoryIsMerged guards against a quarantine that ends because another
// daemon, which knows of fewer crashes, reports its history (incident BUDGET).
func TestShorterHistoryIsMerged(t *testing.T) {
	now := time.Unix(10, 0)
	tab := New(Settings{}, 1)
	for i, u := range []string{"u1", "u2", "u3"} {
		tab.Observe("bad", crash(u, i))
	}
	for _, e := range []Entry{{Fingerprint: "bad", Crashes: []Crash{crash("u4", 5)}}, {Fingerprint: "bad"}} {
		tab.Merge(now, e)
		verdict, _ := tab.Judge(now, "bad")
		must.Eq(t, Quarantined, verdict)
	}
	must.Len(t, 4, tab.Entry("bad").Crashes)
}

// TestClearedCrashStaysCleared guards against a suspicion that returns with the
// history of a daemon that has not learnt that the request completed, and against
// one that a later crash doesn't raise again.
func TestClearedCrashStaysCleared(t *testing.T) {
	now := time.Unix(10, 0)
	a, b := New(Settings{}, 1), New(Settings{}, 2)
	a.Observe("f", crash("u1", 1))
	b.Merge(now, a.Entry("f"))
	must.True(t, a.Clear("f"))
	must.False(t, a.Clear("f"))
	_, _, changed := a.Merge(now, b.Entry("f"))
	must.False(t, changed)
	verdict, _ := a.Judge(now, "f")
	must.Eq(t, Clean, verdict)
	b.Merge(now, a.Entry("f"))
	verdict, _ = b.Judge(now, "f")
	must.Eq(t, Clean, verdict)
	b.Observe("f", crash("u2", 9))
	a.Merge(now, b.Entry("f"))
	must.Eq(t, []Crash{crash("u2", 9)}, a.Entry("f").Crashes)
}

// TestPartHistoriesStayShort guards against histories of parts that most prompts have
// and that grow with every crash (figtray-coop-grown trouble-1: 160 changes a second
// to each daemon), and against crashes that count again because a history no longer
// lists that they were cleared.
func TestPartHistoriesStayShort(t *testing.T) {
	tab := New(Settings{}, 1)
	key := PartKey("first")
	for i := range 20 {
		tab.Observe(key, crash(fmt.Sprint("u", i), i))
		known := tab.Entry(key).Crashes
		tab.Observe(key, crash(fmt.Sprint("v", i), i+1))
		must.True(t, tab.ClearCrashes(key, known))
		must.Len(t, 1, tab.Entry(key).Crashes)
		must.Len(t, 1, tab.Entry(key).Cleared)
	}
	_, _, changed := tab.Merge(time.Unix(30, 0), Entry{Fingerprint: key, Crashes: []Crash{crash("u3", 3), crash("v3", 4)}})
	must.False(t, changed)
}

// TestHistoriesConverge merges the histories of several tables in random order,
// with reports that are lost or repeated: all tables must end with the same
// histories, which contain each crash that was not cleared.
func TestHistoriesConverge(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(100, 0)
		tabs := make([]*Table, 4)
		for i := range tabs {
			tabs[i] = New(Settings{}, uint64(i))
		}
		seen := map[string]bool{}
		for i := range 6 {
			tab, u := tabs[rng.IntN(len(tabs))], fmt.Sprint("u", rng.IntN(5))
			tab.Observe("f", crash(u, i))
			seen[u] = true
			if rng.IntN(4) == 0 {
				for _, c := range tab.Entry("f").Crashes {
					delete(seen, c.ID)
				}
				tab.Clear("f")
			}
			tabs[rng.IntN(len(tabs))].Merge(now, tab.Entry("f"))
		}
		for range 2 {
			for _, from := range tabs {
				for _, to := range tabs {
					to.Merge(now, from.Entry("f"))
				}
			}
		}
		for _, tab := range tabs {
			must.Eq(t, tabs[0].Entry("f"), tab.Entry("f"), must.Sprint(seed))
		}
		for _, c := range tabs[0].Entry("f").Crashes {
			delete(seen, c.ID)
		}
		for _, c := range tabs[0].Entry("f").Cleared {
			// Observed again by a daemon that did not know of the clear.
			delete(seen, c.ID)
		}
		must.MapEmpty(t, seen, must.Sprint(seed))
	}
}

// TestSince guards against changes that are never returned to another daemon, and
// against histories that are returned again and again.
func TestSince(t *testing.T) {
	tab := New(Settings{}, 7)
	tab.Observe("a", crash("u1", 1))
	got, at := tab.Since(Cursor{}, true)
	must.Len(t, 1, got)
	got, same := tab.Since(at, true)
	must.SliceEmpty(t, got)
	must.Eq(t, at, same)
	tab.Observe("a", crash("u1", 1))
	tab.Observe("b", crash("u1", 1))
	got, next := tab.Since(at, true)
	must.Len(t, 1, got)
	must.Eq(t, "b", got[0].Fingerprint)
	got, _ = tab.Since(at, false)
	must.SliceEmpty(t, got)
	// A position in the table of another process says nothing about this one.
	got, _ = tab.Since(Cursor{Table: 8, Rev: next.Rev + 5}, true)
	must.Len(t, 2, got)
	must.True(t, tab.Clear("a"))
	got, _ = tab.Since(next, true)
	must.Len(t, 1, got)
	must.Len(t, 1, got[0].Cleared)
}

// TestOldHistoriesAreDropped guards against a table that grows with every crash,
// and against old crashes that other daemons bring back.
func TestOldHistoriesAreDropped(t *testing.T) {
	tab := New(Settings{Retention: time.Minute}, 1)
	tab.Observe("old", crash("u1", 0))
	tab.Observe("new", crash("u2", 61))
	must.MapLen(t, 1, tab.entries)
	_, _, changed := tab.Merge(time.Unix(61, 0), Entry{Fingerprint: "old", Crashes: []Crash{crash("u1", 0)}})
	must.False(t, changed)
	must.MapLen(t, 1, tab.entries)
	for i := range 3 * maxCrashes {
		tab.Observe("new", crash(fmt.Sprint("v", i), 62+i))
	}
	must.Len(t, maxCrashes, tab.Entry("new").Crashes)
}

// TestSuspectsAreNotEchoed guards against a holder that is busy for seconds after a
// restart of all daemons, because each of them tells it every suspect that it has
// read from the log (figtray-coop-grown trouble-1).
func TestSuspectsAreNotEchoed(t *testing.T) {
	now := time.Unix(10, 0)
	tab := New(Settings{}, 1)
	tab.Merge(now, Entry{Fingerprint: "seen elsewhere", Crashes: []Crash{crash("u1", 1)}})
	tab.Merge(now, Entry{Fingerprint: "twice", Crashes: []Crash{crash("u1", 1), crash("u2", 2)}})
	tab.Observe("seen here", crash("u3", 3))
	var names []string
	got, _ := tab.Since(Cursor{}, true)
	for _, e := range got {
		names = append(names, e.Fingerprint)
	}
	must.Eq(t, []string{"seen here", "twice"}, names)
}

// TestPartHistoriesConverge guards against histories of a part that differ for good
// between tables, whose reports are merged in random order, and against losing a crash
// that is newer than all cleared ones.
func TestPartHistoriesConverge(t *testing.T) {
	key := PartKey("p")
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		now := time.Unix(100, 0)
		tabs := make([]*Table, 4)
		for i := range tabs {
			tabs[i] = New(Settings{}, uint64(i))
		}
		lastCleared, seen := -1, map[string]int{}
		for i := range 12 {
			tab, u := tabs[rng.IntN(len(tabs))], fmt.Sprint("u", i)
			tab.Observe(key, crash(u, i))
			seen[u] = i
			if rng.IntN(4) == 0 && tab.Clear(key) {
				lastCleared = i
			}
			tabs[rng.IntN(len(tabs))].Merge(now, tab.Entry(key))
		}
		for range 2 {
			for _, from := range tabs {
				for _, to := range tabs {
					to.Merge(now, from.Entry(key))
				}
			}
		}
		for _, tab := range tabs {
			must.Eq(t, tabs[0].Entry(key), tab.Entry(key), must.Sprint(seed))
		}
		for _, c := range tabs[0].Entry(key).Crashes {
			must.Greater(t, lastCleared, seen[c.ID], must.Sprint(seed))
			delete(seen, c.ID)
		}
		for u, i := range seen {
			must.LessEq(t, lastCleared, i, must.Sprint(seed, u))
		}
	}
}

// TestHistoriesAreBounded guards against a table that grows with every request, and
// every part that callers name in it, that is running on a crashing upstream; and
// against forgetting the history of a request or part that crashes upstreams before
// those that were involved in one crash only.
func TestHistoriesAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	tab := New(Settings{}, 1)
	part := PartKey("bad")
	for i := range 3 {
		now = now.Add(time.Second)
		c := Crash{ID: fmt.Sprint("u", i), At: now}
		tab.Observe("bad", c)
		tab.Observe(part, c)
		// The histories of one crash that are kept beside these two.
		for j := range maxHistories/4 - 1 {
			fp := fmt.Sprint("named ", i, ".", j)
			tab.Observe(fp, c)
			tab.Observe(PartKey(fp), c)
		}
		must.LessEq(t, maxHistories, len(tab.Recent(now)))
	}
	must.Len(t, 3, tab.Entry("bad").Crashes)
	must.Len(t, 3, tab.Entry(part).Crashes)
	for i := range 4 * maxHistories {
		tab.Merge(now, Entry{Fingerprint: fmt.Sprint("merged", i), Crashes: []Crash{{ID: "v", At: now}}})
	}
	must.LessEq(t, maxHistories, len(tab.Recent(now)))
	must.Len(t, 3, tab.Entry("bad").Crashes)
	verdict, _ := tab.Judge(now, "bad")
	must.Eq(t, Quarantined, verdict)
}

// TestCrashTimesAreDropped guards against times of crashes that outlive the retention:
// they are kept when the histories are dropped.
func TestCrashTimesAreDropped(t *testing.T) {
	tab := New(Settings{Retention: time.Minute}, 1)
	for i := range 3600 {
		tab.Observe(fmt.Sprint("fp", i%7), crash(fmt.Sprint("u", i), i))
		tab.Merge(time.Unix(int64(i), 0), Entry{Fingerprint: "old", Crashes: []Crash{crash(fmt.Sprint("v", i), i-120)}})
		must.LessEq(t, 62, len(tab.times))
	}
	must.MapLen(t, 60, tab.CrashTimes())
}

// TestAttributesAreNoSuspects guards against a request and what it has in common with
// others that count as two suspects on the upstream that they crash, so that the request
// is never to blame alone.
func TestAttributesAreNoSuspects(t *testing.T) {
	tab := New(Settings{}, 1)
	now := time.UnixMilli(0)
	for _, id := range []string{"a", "b"} {
		now = now.Add(time.Second)
		c := Crash{ID: id, At: now}
		tab.Observe("request", c)
		tab.Observe("path:request", c)
	}
	v, _ := tab.Judge(now, "request")
	must.Eq(t, Quarantined, v)
	must.Eq(t, 1, tab.Suspects(now))
	repeated := tab.Repeated(now, 2)
	must.Len(t, 2, repeated)
	must.Eq(t, "path:request", repeated[0].Fingerprint)
}
