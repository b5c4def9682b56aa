package blame

import (
	"fmt"
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
	return &fixture{Table: New(poison.New(poison.Settings{CrashLimit: 3}, 1)), t: t, now: time.Unix(100, 0)}
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
	must.Eq(t, 1, f.Count(f.now))
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
	f.now = f.now.Add(2 * clearTime)
	must.False(t, f.quarantined("first"))
	must.False(t, f.quarantined("second"))
}

// TestPartAnsweredBefore guards against a part that has been answered, begins to
// crash upstreams and is never quarantined for its former answers.
func TestPartAnsweredBefore(t *testing.T) {
	f := newFixture(t)
	f.answer("first", "bad")
	for range answeredLimit {
		f.crash([]string{"first", "bad"})
		must.False(t, f.quarantined("bad"))
	}
	f.answer("first", "other")
	f.now = f.now.Add(clearTime)
	must.True(t, f.quarantined("bad"))
	must.False(t, f.quarantined("first"))
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
	must.Len(t, 1, f.Known([]string{"a"})["a"])
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
	f.now = f.now.Add(2 * clearTime)
	must.False(t, f.quarantined("a"))
}

// TestUsageIsBounded guards against a table that grows with every part.
func TestUsageIsBounded(t *testing.T) {
	f := newFixture(t)
	for i := range 10 * maxParts {
		f.now = f.now.Add(time.Millisecond)
		f.Sent(f.now, []string{fmt.Sprint(i)})
	}
	must.LessEq(t, 2*maxParts+int(pruneInterval/time.Millisecond), len(f.usage))
}
