package blame

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/maypok86/otter/v2"

	"github.com/azurespan/azurespan/internal/core/poison"
)

type (
	// Table judges the parts of prompts. It is safe for concurrent use.
	Table struct {
		crashes *poison.Table

		mu sync.Mutex
		// usage holds the parts of requests that this daemon has sent. The least
		// frequently used ones are dropped.
		usage *otter.Cache[string, *usage]
		// forgottenAt is when the last of the answers to requests with parts that
		// were dropped from usage was given.
		forgottenAt time.Time
		// firstSentAt is when the first request was sent.
		firstSentAt time.Time
		// suspects holds what is decided over time about candidates.
		suspects map[string]*suspect
		// quarantined holds the ends of quarantines by part, as judged at rev.
		// They are judged again at dueAt, unless it is zero.
		quarantined map[string]time.Time
		rev         uint64
		dueAt       time.Time
		// changes are the latest of quarantined that TakeChanges hasn't returned.
		changes []Change
	}

	// Change is the beginning or the end of the quarantine of a part, with the
	// evidence for it.
	Change struct {
		Part string
		// Until is the end of the quarantine, zero if the part no longer is in
		// quarantine.
		Until time.Time
		// Crashes are those in the part's history, Unexplained those of them that no
		// other quarantined part explains.
		Crashes, Unexplained int
		// Answered is set if a request with the part was answered here recently, and
		// Dominant if the part was involved in most crashes of its time.
		Answered, Dominant bool
	}

	// Known holds the crashes of parts that were known at a moment.
	Known map[string][]poison.Crash

	// usage is how this daemon has used a part.
	usage struct {
		// sent is the number of requests sent.
		sent int
		// answeredAt is when a request was last answered, or may have been.
		answeredAt time.Time
	}

	// candidate is a part that may have caused crashes.
	candidate struct {
		part    string
		crashes []poison.Crash
		// answered is set if a request with the part was answered here recently,
		// or may have been: before the daemon was started, or before its usage was
		// dropped.
		answered bool
		// sent is the number of requests with the part that were sent here.
		sent int
		// dominant is set if the part was involved in at least half of the
		// crashes of its time.
		dominant bool
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

const (
	// AnsweredAfter is how long an upstream must have been answering a request
	// to be taken as unharmed by it. An upstream that is crashed by a part ends
	// some 100 ms after it has begun to answer.
	AnsweredAfter = 500 * time.Millisecond
	// dominantLimit is the number of crashes from which a part is quarantined that
	// was involved in most crashes of its time, if no request with it has been
	// answered here recently. ambiguousLimit is the same for other parts, of
	// crashes that have been known for settleTime: until then, answers in
	// progress may clear a part that many requests have. The platform counts
	// requests that are sent later than 3 s after the fifth crash.
	dominantLimit  = 3
	ambiguousLimit = 5
	settleTime     = time.Second
	// sameCause is the time within which crashes count as one: a part crashes an
	// upstream only once it answers, while a lost network path or a wave of
	// crashes breaks several connections at once, those of a retry among them.
	sameCause = 20 * time.Millisecond
	// dominanceMargin is added to the time between a part's first and last crash
	// for which it is compared with all crashes.
	dominanceMargin = time.Second
	// warmUp is the time from the first request until a daemon knows which parts
	// are answered.
	warmUp = 5 * time.Second
	// probationAfter is the time after which a part that isn't clearly to blame
	// may be sent again, until the next crash: after a wave of crashes with
	// another cause, some rare parts have been involved in several.
	probationAfter = 10 * time.Second
	// recentAnswer is how long a part counts as answered recently.
	recentAnswer = time.Minute
	// maxParts is the number of parts whose usage is kept: eight times what a
	// daemon of the largest deployment is sent in recentAnswer (docs/CAPACITY.md).
	maxParts = 8192
	// maxPartsPerRequest is the number of the first parts of a prompt that are
	// judged. Prompts have a few shared parts; a header has room for thousands, each
	// of which would get a history in a crash.
	maxPartsPerRequest = 64
	// maxChanges bounds the changes that TakeChanges returns.
	maxChanges = 64
)

// New returns a Table that judges by the histories in crashes.
func New(crashes *poison.Table) *Table {
	t := &Table{crashes: crashes, suspects: map[string]*suspect{}, quarantined: map[string]time.Time{}}
	t.usage = otter.Must(&otter.Options[string, *usage]{
		MaximumSize: maxParts,
		// Otherwise uses aren't counted until half of the size is reached.
		InitialCapacity: maxParts,
		OnDeletion:      t.dropped,
		// In the caller's goroutine, which holds t.mu, so that the size is kept.
		Executor: func(fn func()) { fn() },
	})
	return t
}

// dropped records that the usage of a part was dropped. t.mu must be held.
func (t *Table) dropped(e otter.DeletionEvent[string, *usage]) {
	if at := e.Value.answeredAt; at.After(t.forgottenAt) {
		t.forgottenAt = at
	}
}

// Sent records that a request with parts is sent to an upstream.
func (t *Table) Sent(now time.Time, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstSentAt.IsZero() {
		t.firstSentAt = now
	}
	for _, p := range judged(parts) {
		t.used(p).sent++
	}
}

// judged returns the parts of a prompt that are judged.
func judged(parts []string) []string { return parts[:min(len(parts), maxPartsPerRequest)] }

// used returns the usage of a part. That of a part which isn't known counts as
// answered when any forgotten one was: it may be among them. t.mu must be held.
func (t *Table) used(part string) *usage {
	u, ok := t.usage.GetIfPresent(part)
	if !ok {
		u = &usage{answeredAt: t.forgottenAt}
		t.usage.Set(part, u)
	}
	return u
}

// Crashed records that an upstream crashed while it ran a request with parts.
func (t *Table) Crashed(parts []string, c poison.Crash) {
	for _, p := range judged(parts) {
		t.crashes.Observe(poison.PartKey(p), c)
	}
}

// Known returns the crashes of parts that are known when the answer to a request
// with them begins.
func (t *Table) Known(parts []string) Known {
	var out Known
	for _, p := range judged(parts) {
		if e := t.crashes.Entry(poison.PartKey(p)); len(e.Crashes) > 0 {
			if out == nil {
				out = Known{}
			}
			out[p] = e.Crashes
		}
	}
	return out
}

// Answered records that a request with parts has been answered, or for at least
// AnsweredAfter, and clears the parts of the crashes that were known when the answer
// began. It reports whether any crash was cleared.
func (t *Table) Answered(now time.Time, parts []string, known Known) bool {
	t.mu.Lock()
	for _, p := range judged(parts) {
		t.used(p).answeredAt = now
		if _, ok := t.quarantined[p]; ok {
			t.dueAt = now
		}
	}
	t.mu.Unlock()
	cleared := false
	for p, crashes := range known {
		cleared = t.crashes.ClearCrashes(poison.PartKey(p), crashes) || cleared
	}
	return cleared
}

// Judge returns the first part of a prompt that is quarantined at now and the time
// until the quarantine ends, or an empty part.
func (t *Table) Judge(now time.Time, parts []string) (part string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	for _, p := range judged(parts) {
		if left := t.quarantined[p].Sub(now); left > 0 {
			return p, left
		}
	}
	return "", 0
}

// Quarantined reports whether a request or part with a history is quarantined.
func (t *Table) Quarantined(now time.Time, key string) bool {
	if part, ok := poison.PartOf(key); ok {
		found, _ := t.Judge(now, []string{part})
		return found != ""
	}
	verdict, _ := t.crashes.Judge(now, key)
	return verdict == poison.Quarantined
}

// Count returns the number of parts that are quarantined at now.
func (t *Table) Count(now time.Time) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	for _, until := range t.quarantined {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// refresh judges all parts again if their histories have changed, or if time may
// have changed a verdict. t.mu must be held.
func (t *Table) refresh(now time.Time) {
	rev := t.crashes.Rev()
	if rev == t.rev && (t.dueAt.IsZero() || now.Before(t.dueAt)) {
		return
	}
	t.rev, t.dueAt = rev, time.Time{}
	before := t.quarantined
	t.quarantined = map[string]time.Time{}
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
		t.quarantined[c.part] = until
		if _, ok := before[c.part]; !ok {
			t.changed(Change{Part: c.part, Until: until, Crashes: len(c.crashes), Unexplained: unexplained, Answered: c.answered, Dominant: c.dominant})
		}
	}
	for part := range before {
		if _, ok := t.quarantined[part]; !ok {
			t.changed(Change{Part: part, Crashes: len(t.crashes.Entry(poison.PartKey(part)).Crashes)})
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

// candidates returns the parts that may be quarantined, the most likely ones first.
// t.mu must be held.
func (t *Table) candidates(now time.Time) (out []candidate) {
	var all map[string]time.Time
	warmAt := t.firstSentAt.Add(warmUp)
	warm := !t.firstSentAt.IsZero() && !now.Before(warmAt)
	suspects := map[string]*suspect{}
	for _, e := range t.crashes.Parts(now, dominantLimit) {
		if all == nil {
			all = t.crashes.CrashTimes()
		}
		part, _ := poison.PartOf(e.Fingerprint)
		c := candidate{part: part, crashes: e.Crashes, answered: !warm, dominant: dominates(e.Crashes, all)}
		answeredAt := t.forgottenAt
		if u, ok := t.usage.GetEntryQuietly(part); ok {
			c.sent, answeredAt = u.Value.sent, u.Value.answeredAt
		}
		c.answered = c.answered || !answeredAt.IsZero() && now.Sub(answeredAt) < recentAnswer
		v := t.suspects[part]
		if v == nil {
			v = &suspect{}
		}
		suspects[part] = v
		v.learn(now, e.Crashes)
		out = append(out, c)
	}
	t.suspects = suspects
	if len(out) > 0 && now.Before(warmAt) {
		t.judgeAt(warmAt)
	}
	slices.SortFunc(out, compare)
	return out
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
	return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.sent, b.sent), strings.Compare(a.part, b.part))
}

// guilty reports whether a candidate is to be quarantined, given the crashes that
// are explained by other parts, and the number of those that aren't. t.mu must be held.
func (t *Table) guilty(now time.Time, c candidate, explained map[string]bool) (guilty bool, left int) {
	v := t.suspects[c.part]
	settled := 0
	var previous time.Time
	for _, crash := range c.crashes {
		if explained[crash.ID] || crash.At.Sub(previous) < sameCause {
			continue
		}
		previous = crash.At
		left++
		if due := v.knownAt[crash.ID].Add(settleTime); now.Before(due) {
			t.judgeAt(due)
		} else {
			settled++
		}
	}
	if c.dominant && !c.answered {
		return left >= dominantLimit, left
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

// judgeAt has the parts judged again at a time, if not earlier. t.mu must be held.
func (t *Table) judgeAt(due time.Time) {
	if t.dueAt.IsZero() || due.Before(t.dueAt) {
		t.dueAt = due
	}
}
