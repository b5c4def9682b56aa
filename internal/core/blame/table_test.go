package blame

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/poison"
)

// fixture is a Table with a clock.
type fixture struct {
	*Table
	t     *testing.T
	now   time.Time
	count int
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{Table: New(poison.New(poison.Settings{}, 1)), t: t, now: time.Unix(100, 0)}
	f.Sent(f.now, []string{"unrelated"})
	f.now = f.now.Add(warmUp)
	return f
}

// Requests of a fixture and of a storm have no other attributes than parts.

func (f *fixture) Sent(now time.Time, parts []string) { f.Table.Sent(now, Parts(parts)) }

func (f *fixture) Crashed(parts []string, c poison.Crash) { f.Table.Crashed(Parts(parts), c, 0) }

func (f *fixture) Known(parts []string) Known { return f.Table.Known(Parts(parts)) }

func (f *fixture) Answered(now time.Time, parts []string, known Known) bool {
	return f.Table.Answered(now, Parts(parts), known)
}

func (f *fixture) Judge(now time.Time, parts []string) (part string, left time.Duration) {
	key, left := f.Table.Judge(now, Parts(parts))
	part, _ = poison.PartOf(key)
	return part, left
}

// quarantinedParts returns the number of parts that are quarantined.
func (f *fixture) quarantinedParts() int {
	parts, _ := f.Count(f.now)
	return parts
}

// crash records the crash of another upstream under requests with parts.
func (f *fixture) crash(requests ...[]string) {
	f.count++
	f.now = f.now.Add(50 * time.Millisecond)
	for _, parts := range requests {
		f.Sent(f.now, parts)
		f.Crashed(parts, poison.Crash{ID: fmt.Sprint("u", f.count), At: f.now})
	}
}

// answer records a complete answer to a request with parts.
func (f *fixture) answer(parts ...string) {
	f.Sent(f.now, parts)
	known := f.Known(parts)
	f.now = f.now.Add(AnsweredAfter)
	f.Answered(f.now, parts, known)
}

func (f *fixture) quarantined(part string) bool {
	return f.Quarantined(f.now, poison.PartKey(part))
}

// TestPartOfDifferentRequests guards against a part that crashes upstreams and is
// sent on because each request with it is seen to crash one upstream only.
func TestPartOfDifferentRequests(t *testing.T) {
	f := newFixture(t)
	f.answer("first", "other")
	for i := range 3 {
		must.False(t, f.quarantined("bad"))
		f.crash([]string{"first", "bad"}, []string{"first", fmt.Sprint("subject", i)})
	}
	part, left := f.Judge(f.now, []string{"first", "bad"})
	must.Eq(t, "bad", part)
	must.Eq(t, poison.DefaultQuarantine, left)
	part, _ = f.Judge(f.now, []string{"first", "other"})
	must.Eq(t, "", part)
	must.Eq(t, 1, f.quarantinedParts())
}

// TestPopularPartsAreNotBlamed guards against refusing nearly all requests, because
// the parts that most of them share are involved in every crash.
func TestPopularPartsAreNotBlamed(t *testing.T) {
	f := newFixture(t)
	f.answer("first", "second")
	for range 8 {
		f.crash([]string{"first", "bad"}, []string{"first", "second"})
	}
	must.True(t, f.quarantined("bad"))
	f.now = f.now.Add(2 * settleTime)
	must.False(t, f.quarantined("first"))
	must.False(t, f.quarantined("second"))
}

// TestPartAnsweredBefore guards against a part that has been answered, begins to
// crash upstreams and is never quarantined for its former answers.
func TestPartAnsweredBefore(t *testing.T) {
	f := newFixture(t)
	f.answer("first", "bad")
	for range ambiguousLimit {
		f.crash([]string{"first", "bad"})
		must.False(t, f.quarantined("bad"))
	}
	f.answer("first", "other")
	f.now = f.now.Add(settleTime)
	must.True(t, f.quarantined("bad"))
	must.False(t, f.quarantined("first"))
}

// TestWaveOfCrashes guards against refusing rare parts for ten minutes after a wave of
// crashes with another cause, in several of which they were involved by chance
// (figtray-coop-grown trouble-1), and against sending a part on that crashes upstreams
// beside such a wave.
func TestWaveOfCrashes(t *testing.T) {
	for _, bad := range []bool{false, true} {
		f := newFixture(t)
		for i := range 4 * ambiguousLimit {
			if parts := [][]string{{fmt.Sprint("other", i)}, {"rare"}}; i%4 == 0 {
				f.crash(parts...)
			} else {
				f.crash(parts[:1]...)
			}
			must.False(t, f.quarantined("rare"))
		}
		f.now = f.now.Add(settleTime)
		must.True(t, f.quarantined("rare"))
		f.now = f.now.Add(probationAfter)
		must.False(t, f.quarantined("rare"))
		if bad {
			f.crash([]string{"rare"})
			must.True(t, f.quarantined("rare"))
			f.now = f.now.Add(10 * probationAfter)
			must.True(t, f.quarantined("rare"))
			continue
		}
		f.answer("rare")
		f.crash([]string{"rare"})
		must.False(t, f.quarantined("rare"))
	}
}

// TestBrokenPath guards against refusing parts on a daemon that loses the network path
// to many upstreams at once, or whose retries meet one broken upstream after the other
// within milliseconds (figtray-coop-grown and kwb-kyushu-grown trouble-1).
func TestBrokenPath(t *testing.T) {
	f := newFixture(t)
	for i := range 8 {
		f.Crashed([]string{"first", "rare"}, poison.Crash{ID: fmt.Sprint("u", i), At: f.now.Add(time.Duration(i) * 6 * time.Millisecond)})
	}
	must.False(t, f.quarantined("rare"))
	f.now = f.now.Add(2 * settleTime)
	must.False(t, f.quarantined("rare"))
	must.False(t, f.quarantined("first"))
}

// TestFewOfManyCrashes guards against taking a part for the cause of a wave of crashes,
// because no other crash lies between the three that it was involved in.
func TestFewOfManyCrashes(t *testing.T) {
	f := newFixture(t)
	for i := range 12 {
		if i >= 4 && i < 7 {
			f.crash([]string{"rare"}, []string{fmt.Sprint("other", i)})
		} else {
			f.crash([]string{fmt.Sprint("other", i)})
		}
	}
	f.now = f.now.Add(2 * settleTime)
	must.False(t, f.quarantined("rare"))
}

// TestPopularPartInWave guards against refusing a part that most requests have, because
// crashes with another cause follow each other faster than answers clear it
// (figtray-coop-grown trouble-1).
func TestPopularPartInWave(t *testing.T) {
	f := newFixture(t)
	parts := []string{"first"}
	f.answer(parts...)
	type answer struct {
		known Known
		at    time.Time
	}
	var answers []answer
	for range 200 {
		f.crash(parts)
		answers = append(answers, answer{f.Known(parts), f.now.Add(AnsweredAfter)})
		for len(answers) > 0 && !f.now.Before(answers[0].at) {
			f.Answered(f.now, parts, answers[0].known)
			answers = answers[1:]
		}
		must.False(t, f.quarantined("first"))
	}
}

// TestRestartedDaemon guards against a restarted daemon that refuses nearly all
// requests during a wave of crashes, because it hasn't answered any yet.
func TestRestartedDaemon(t *testing.T) {
	f := newFixture(t)
	f.Table = New(f.crashes)
	for range dominantLimit {
		f.crash([]string{"first"})
	}
	must.False(t, f.quarantined("first"))
	f.now = f.now.Add(warmUp)
	must.True(t, f.quarantined("first"))
}

// TestAnswerEndsQuarantine guards against refusing a part for ten minutes that was
// blamed wrongly: a request with it that was already in progress is answered.
func TestAnswerEndsQuarantine(t *testing.T) {
	f := newFixture(t)
	f.crash([]string{"a"})
	f.crash([]string{"a"})
	known := f.Known([]string{"a"})
	f.crash([]string{"a"})
	must.True(t, f.quarantined("a"))
	f.now = f.now.Add(AnsweredAfter)
	must.True(t, f.Answered(f.now, []string{"a"}, known))
	must.False(t, f.quarantined("a"))
	// The crash that wasn't known when the answer began still counts.
	must.Len(t, 1, f.Known([]string{"a"})[poison.PartKey("a")])
}

// TestOldClearedCrashes guards against crashes that count again because a history
// no longer lists that they were cleared.
func TestOldClearedCrashes(t *testing.T) {
	f := newFixture(t)
	var old []poison.Crash
	for i := range 10 {
		old = append(old, poison.Crash{ID: fmt.Sprint("old", i), At: f.now.Add(time.Duration(i) * time.Millisecond)})
	}
	f.now = f.now.Add(time.Second)
	f.crash([]string{"a"})
	f.answer("a")
	f.crashes.Merge(f.now, poison.Entry{Fingerprint: poison.PartKey("a"), Crashes: old})
	f.now = f.now.Add(2 * settleTime)
	must.False(t, f.quarantined("a"))
}

// TestUsageIsBounded guards against a table that grows with every part and request.
func TestUsageIsBounded(t *testing.T) {
	f := newFixture(t)
	for i := range 10 * maxParts {
		f.now = f.now.Add(time.Millisecond)
		f.Sent(f.now, []string{fmt.Sprint(i)})
	}
	must.LessEq(t, maxParts, f.usage.EstimatedSize())
	must.LessEq(t, maxParts, len(slices.Collect(f.usage.Keys())))
	for i := range 10 * maxCompleted {
		f.Completed(f.now, []string{fmt.Sprint(i)})
	}
	must.LessEq(t, maxCompleted, f.completedAt.Len())
}
