package blame

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/core/poison"
)

type (
	// candidate is an attribute that may have caused crashes.
	candidate struct {
		key     string
		breadth breadth
		crashes []poison.Crash
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
	}

	// suspect is what is learnt and decided over time about a candidate.
	suspect struct {
		// knownAt is since when its crashes are known, by ID.
		knownAt map[string]time.Time
		// quarantinedAt is when it was quarantined, with so many crashes; zero
		// before.
		quarantinedAt time.Time
		crashes       int
	}
)

// refresh judges all attributes again if their histories have changed, or if time may
// have changed a verdict. t.mu must be held.
func (t *Table) refresh(now time.Time) {
	rev := t.crashes.Rev()
	if rev == t.rev && (t.dueAt.IsZero() || now.Before(t.dueAt)) {
		return
	}
	t.rev, t.dueAt = rev, time.Time{}
	before := t.quarantined
	t.quarantined, t.oneVersion = map[string]time.Time{}, map[string]string{}
	explained := map[string]bool{}
	for _, c := range t.candidates(now) {
		guilty, unexplained := t.guilty(now, c, explained)
		if !guilty {
			continue
		}
		for _, crash := range c.crashes {
			explained[crash.ID] = true
		}
		until := c.crashes[len(c.crashes)-1].At.Add(t.crashes.Retention())
		t.quarantined[c.key] = until
		if attribute, ok := attributeOf(c.key); ok && until.After(t.quarantined[t.oneVersion[attribute]]) {
			t.oneVersion[attribute] = c.key
		}
		if _, ok := before[c.key]; !ok {
			t.changed(Change{Key: c.key, Until: until, Crashes: len(c.crashes), Unexplained: unexplained, Answered: c.answered, Dominant: c.dominant})
		}
	}
	for key := range before {
		if _, ok := t.quarantined[key]; !ok {
			t.changed(Change{Key: key, Crashes: len(t.crashes.Entry(key).Crashes)})
		}
	}
}

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

// candidates returns the attributes that may be quarantined, the most likely ones first.
// t.mu must be held.
func (t *Table) candidates(now time.Time) (out []candidate) {
	var all map[string]time.Time
	warmAt := now.Add(warmUp)
	if !t.firstSentAt.IsZero() {
		warmAt = t.firstSentAt.Add(warmUp)
	}
	suspects := map[string]*suspect{}
	for _, e := range t.crashes.Repeated(now, dominantLimit) {
		c := candidate{key: e.Fingerprint, breadth: breadthOf(e.Fingerprint), crashes: e.Crashes}
		_, c.oneVersion = attributeOf(c.key)
		switch c.breadth {
		case single, repeated:
			at, ok := t.completedAt.Peek(c.key)
			c.answered = ok && now.Sub(at) < recentAnswer
		case shared:
			if all == nil {
				all = t.crashes.CrashTimes()
			}
			c.dominant = dominates(e.Crashes, all)
			t.addUsage(now, &c)
			if known := e.Crashes[0].At.Add(clearTime); now.Before(warmAt) && (len(e.Cleared) > 0 || now.Before(known)) {
				c.untested = true
				t.judgeAt(warmAt)
				if now.Before(known) {
					t.judgeAt(known)
				}
			}
		case ignored:
			continue
		}
		v := t.suspects[c.key]
		if v == nil {
			v = &suspect{}
		}
		suspects[c.key] = v
		v.learn(now, e.Crashes)
		out = append(out, c)
	}
	t.suspects = suspects
	slices.SortFunc(out, compare)
	return out
}

// addUsage adds the usage of a shared attribute to a candidate. t.mu must be held.
func (t *Table) addUsage(now time.Time, c *candidate) {
	answeredAt := t.forgottenAt
	if u, ok := t.usage.GetEntryQuietly(c.key); ok {
		c.sent, answeredAt = u.Value.sent, u.Value.answeredAt
	}
	c.answered = !answeredAt.IsZero() && now.Sub(answeredAt) < recentAnswer
}

// dominates reports whether crashes are at least half of all crashes of their time.
// all holds the time of each.
func dominates(crashes []poison.Crash, all map[string]time.Time) bool {
	first, last := crashes[0].At.Add(-dominanceMargin), crashes[len(crashes)-1].At.Add(dominanceMargin)
	n := 0
	for _, at := range all {
		if !at.Before(first) && !at.After(last) {
			n++
		}
	}
	return 2*len(crashes) >= n
}

// compare orders candidates by how likely they are to have caused their crashes.
func compare(a, b candidate) int {
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

// guilty reports whether a candidate is to be quarantined, given the crashes that are
// explained by other attributes, and the number of those that aren't. t.mu must be
// held.
func (t *Table) guilty(now time.Time, c candidate, explained map[string]bool) (guilty bool, left int) {
	v := t.suspects[c.key]
	distinct, settled := 0, 0
	var previous time.Time
	for _, crash := range c.crashes {
		if explained[crash.ID] {
			continue
		}
		left++
		if crash.At.Sub(previous) < sameCause {
			continue
		}
		previous = crash.At
		distinct++
		if due := v.knownAt[crash.ID].Add(settleTime); now.Before(due) {
			t.judgeAt(due)
		} else {
			settled++
		}
	}
	switch {
	case c.answered || c.untested || c.oneVersion:
	case c.breadth != shared:
		return left >= dominantLimit, left
	case c.dominant:
		return distinct >= dominantLimit, left
	}
	if settled < ambiguousLimit {
		return false, left
	}
	if v.quarantinedAt.IsZero() {
		v.quarantinedAt, v.crashes = now, len(c.crashes)
	}
	if due := v.quarantinedAt.Add(probationAfter); now.Before(due) {
		t.judgeAt(due)
		return true, left
	}
	return len(c.crashes) > v.crashes, left
}

// learn records since when crashes are known, and forgets others.
func (v *suspect) learn(now time.Time, crashes []poison.Crash) {
	knownAt := make(map[string]time.Time, len(crashes))
	for _, c := range crashes {
		knownAt[c.ID] = now
		if at, ok := v.knownAt[c.ID]; ok {
			knownAt[c.ID] = at
		}
	}
	v.knownAt = knownAt
}

// judgeAt has the attributes judged again at a time, if not earlier. t.mu must be held.
func (t *Table) judgeAt(due time.Time) {
	if t.dueAt.IsZero() || due.Before(t.dueAt) {
		t.dueAt = due
	}
}
