package blame

import (
	"cmp"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/core/poison"
)

type (
	// candidate is an attribute that may have caused crashes, with what is learnt and
	// decided over time about it.
	candidate struct {
		key     string
		breadth breadth
		crashes []poison.Crash
		// cleared is set if crashes of its history were cleared.
		cleared bool
		// answered is set if a request with it was answered here recently, or may have
		// been before its usage was dropped. untested is set if the daemon has served
		// for too short a time to know, and doesn't know from the others either.
		answered, untested bool
		// sent is the number of requests with it that were sent here, 0 if it isn't
		// shared.
		sent int
		// dominant is set if it was involved in at least half of the
		// crashes of its time.
		dominant bool
		// oneVersion is set if its crashes are those of one software version, beside
		// which others may run its requests without harm.
		oneVersion bool

		// knownAt is since when its crashes are known, by ID.
		knownAt map[string]time.Time
		// quarantinedAt is when it was quarantined, with so many crashes; zero
		// before.
		quarantinedAt  time.Time
		crashesAtStart int

		// guilty is set while it is quarantined, and left is the number of its crashes
		// that no other quarantined attribute explains.
		guilty bool
		left   int
		// testAt is when it may cease to be untested, and judgeAt when time may change its
		// verdict, that included. staleAt is when time may change what the verdict depends
		// on without being a reason to judge again. All are zero for never.
		testAt, judgeAt, staleAt time.Time
	}
)

// changed adds a change for TakeChanges. t.mu must be held.
func (t *Table) changed(c Change) {
	t.changes = append(t.changes, c)
	t.changes = t.changes[max(len(t.changes)-maxChanges, 0):]
}

// TakeChanges returns the quarantines that have begun or ended since the last call, as
// of now. If there are more than maxChanges, the oldest are left out.
func (t *Table) TakeChanges(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	changes := t.changes
	t.changes = nil
	return changes
}

// update brings all up to date that the verdict on a candidate depends on, other than its
// crashes and other candidates. t.mu must be held.
func (t *Table) update(now time.Time, c *candidate) {
	last := c.crashes[len(c.crashes)-1].At
	c.testAt, c.staleAt = time.Time{}, last.Add(t.crashes.Retention())
	if c.breadth != shared {
		at, ok := t.completedAt.Peek(c.key)
		c.answered = ok && now.Sub(at) < recentAnswer
		if c.answered {
			c.staleAt = earlier(c.staleAt, at.Add(recentAnswer))
		}
		return
	}
	c.dominant = t.dominates(c.crashes)
	t.addUsage(now, c)
	c.untested = false
	warmAt := now.Add(warmUp)
	if !t.firstSentAt.IsZero() {
		warmAt = t.firstSentAt.Add(warmUp)
	}
	if known := c.crashes[0].At.Add(clearTime); now.Before(warmAt) && (c.cleared || now.Before(known)) {
		c.untested, c.testAt = true, warmAt
		if now.Before(known) {
			c.testAt = earlier(warmAt, known)
		}
	}
}

// earlier returns the earlier of two times, of which a zero one stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// addUsage adds the usage of a shared attribute to a candidate. t.mu must be held.
func (t *Table) addUsage(now time.Time, c *candidate) {
	answeredAt := t.forgottenAt
	if u, ok := t.usage.GetEntryQuietly(c.key); ok {
		c.sent, answeredAt = u.Value.sent, u.Value.answeredAt
	}
	c.answered = !answeredAt.IsZero() && now.Sub(answeredAt) < recentAnswer
	if c.answered {
		c.staleAt = earlier(c.staleAt, answeredAt.Add(recentAnswer))
	}
}

// dominates reports whether crashes are at least half of all crashes of their time.
func (t *Table) dominates(crashes []poison.Crash) bool {
	first, last := crashes[0].At.Add(-dominanceMargin), crashes[len(crashes)-1].At.Add(dominanceMargin)
	return 2*len(crashes) >= t.crashes.CrashesBetween(first, last)
}

// compare orders candidates by how likely they are to have caused their crashes.
func compare(a, b *candidate) int {
	if a.answered != b.answered {
		if b.answered {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.sent, b.sent), strings.Compare(a.key, b.key))
}

// rank orders candidates with equally many crashes. Path and body come first, whoever
// sends them: the next request may come from another caller or with another query, and
// sound ones have less in common with it than a path or a part. Then the others follow
// from narrow to wide, those of single callers after what they repeat.
func (c *candidate) rank() int {
	kind, _, _ := strings.Cut(c.key, ":")
	switch kind + ":" {
	case contentKey:
		return 0
	case requestKey:
		return 1
	case bodyKey:
		return 2
	}
	if c.breadth == single {
		return 3
	}
	return 4
}

// judge decides whether a candidate is to be quarantined, given the crashes that are
// explained by other attributes. t.mu must be held.
func (t *Table) judge(now time.Time, c *candidate) (guilty bool) {
	distinct, settled := 0, 0
	var previous time.Time
	c.left, c.judgeAt = 0, c.testAt
	for _, crash := range c.crashes {
		if t.suspects.explained(c, crash.ID) {
			continue
		}
		c.left++
		if crash.At.Sub(previous) < sameCause {
			continue
		}
		previous = crash.At
		distinct++
		if due := c.knownAt[crash.ID].Add(settleTime); now.Before(due) {
			c.judgeAt = earlier(c.judgeAt, due)
		} else {
			settled++
		}
	}
	switch {
	case c.answered || c.untested || c.oneVersion:
	case c.breadth != shared:
		return c.left >= dominantLimit
	case c.dominant:
		return distinct >= dominantLimit
	}
	if settled < ambiguousLimit {
		return false
	}
	if c.quarantinedAt.IsZero() {
		c.quarantinedAt, c.crashesAtStart = now, len(c.crashes)
	}
	if due := c.quarantinedAt.Add(probationAfter); now.Before(due) {
		c.judgeAt = earlier(c.judgeAt, due)
		return true
	}
	return len(c.crashes) > c.crashesAtStart
}

// learn records since when crashes are known, and forgets others.
func (c *candidate) learn(now time.Time, crashes []poison.Crash) {
	knownAt := make(map[string]time.Time, len(crashes))
	for _, crash := range crashes {
		knownAt[crash.ID] = now
		if at, ok := c.knownAt[crash.ID]; ok {
			knownAt[crash.ID] = at
		}
	}
	c.crashes, c.knownAt = crashes, knownAt
}
