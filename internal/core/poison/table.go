package poison

import (
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// Verdict classifies a request by its crash history.
	Verdict uint8

	// Crash is one crash of an upstream while it ran a request.
	Crash struct {
		// ID names the upstream and its incarnation, so that reports of the
		// same crash by several daemons count once.
		ID string
		At time.Time
		// Progress is set if the request had produced tokens on the upstream
		// in this attempt.
		Progress bool
	}

	// Entry is the history of one fingerprint.
	Entry struct {
		// Fingerprint identifies a request or, as a PartKey, a part of prompts.
		Fingerprint string
		Crashes     []Crash
		// Cleared are crashes that do not count, because the request has
		// completed since. They are kept so that a daemon which has not
		// learnt of that can't restore them.
		Cleared []Crash
	}

	// Cursor is a position in the sequence of a Table's changes. The zero value
	// is the position before the first one.
	Cursor struct{ Table, Rev uint64 }

	// Settings of a Table.
	Settings struct {
		// Retention is how long a history is kept after its last crash; zero
		// stands for DefaultQuarantine.
		Retention time.Duration
		// CrashLimit is the number of crashes from which a request is
		// quarantined, whichever requests ran on the same upstreams; zero
		// means no such limit.
		CrashLimit int
	}

	// Table holds the crash histories that a daemon knows of. It is safe for
	// concurrent use.
	Table struct {
		settings Settings
		// id distinguishes the table from those of other processes.
		id uint64

		mu      sync.Mutex
		entries map[string]*history
		// rev counts changes.
		rev uint64
		// expiredAt is when old histories were last removed.
		expiredAt time.Time
	}

	// history is an Entry, the revision of its last change, and whether one of
	// its crashes was added by Observe.
	history struct {
		Entry
		rev      uint64
		observed bool
	}
)

// Values of Verdict.
const (
	// Clean means that no upstream has recently crashed while it ran the
	// request.
	Clean Verdict = iota
	// Suspect means that the request may have caused a crash.
	Suspect
	// Quarantined means that the request must not be run again for now.
	Quarantined
)

// partPrefix distinguishes the key of a part from the fingerprint of a request,
// which is hexadecimal.
const partPrefix = "part:"

const (
	// DefaultQuarantine is how long a quarantine lasts by default.
	DefaultQuarantine = 10 * time.Minute
	// progressCrashLimit is the number of crashes from which a request is
	// quarantined although it had produced tokens each time. The limit is high
	// because hosts are reclaimed and engines restarted during long responses
	// as well.
	progressCrashLimit = 4
	// expireInterval is the least time between two removals of old histories,
	// since each goes over all of them.
	expireInterval = time.Second
	// maxCrashes bounds the crashes, and the cleared ones, that are kept for
	// one fingerprint; the newest are kept. It exceeds the upstreams that may
	// crash before a quarantine is known everywhere, so that the part of a
	// prompt that caused them still explains all of them.
	maxCrashes = 24
)

// PartKey returns the key of the history of a part of prompts.
func PartKey(part string) string { return partPrefix + part }

// PartOf returns the part of prompts whose history has a key, and false for that of
// a request.
func PartOf(key string) (part string, ok bool) { return strings.CutPrefix(key, partPrefix) }

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Clean:
		return "clean"
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	}
	return "unknown"
}

// New returns an empty Table. Its id must differ from those of the other tables
// with which it exchanges entries.
func New(settings Settings, id uint64) *Table {
	if settings.Retention == 0 {
		settings.Retention = DefaultQuarantine
	}
	return &Table{settings: settings, id: id, entries: map[string]*history{}}
}

// Observe adds a crash to the history of a fingerprint unless it contains the
// crash already, and returns the history.
func (t *Table) Observe(fingerprint string, c Crash) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(c.At)
	c.At = c.At.Truncate(time.Millisecond) // the resolution of stored histories
	e := t.merge(Entry{Fingerprint: fingerprint, Crashes: []Crash{c}})
	if h := t.entries[fingerprint]; h != nil {
		h.observed = true
	}
	return e
}

// ObservedHere reports whether a crash of a fingerprint was added by Observe, not
// by Merge.
func (t *Table) ObservedHere(fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.entries[fingerprint]
	return h != nil && h.observed
}

// Merge adds the crashes of an entry of another daemon, except those that either
// side has cleared, and clears what the other side has cleared. Crashes that are
// older than the retention at now are ignored. It returns the number of crashes
// known before and after, and whether the history has changed.
func (t *Table) Merge(now time.Time, e Entry) (before, after int, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	e.Crashes, e.Cleared = t.recent(now, e.Crashes), t.recent(now, e.Cleared)
	if h := t.entries[e.Fingerprint]; h != nil {
		before = len(h.Crashes)
	}
	rev := t.rev
	after = len(t.merge(e).Crashes)
	return before, after, t.rev != rev
}

// merge is Merge without the removal of old crashes. It returns the new history.
// t.mu must be held.
func (t *Table) merge(e Entry) Entry {
	h := t.entries[e.Fingerprint]
	if h == nil {
		h = &history{Entry: Entry{Fingerprint: e.Fingerprint}}
	}
	if contains(h.Crashes, e.Crashes) && contains(h.Cleared, e.Cleared) {
		return h.clone()
	}
	joined := Join(h.Entry, e)
	if len(joined.Crashes)+len(joined.Cleared) == 0 || joined.Equal(h.Entry) {
		return h.clone()
	}
	t.rev++
	h.Entry, h.rev = joined, t.rev
	t.entries[e.Fingerprint] = h
	return h.clone()
}

// contains reports whether list has all of crashes, as they are.
func contains(list, crashes []Crash) bool {
	for _, c := range crashes {
		if !slices.ContainsFunc(list, func(d Crash) bool {
			return c.ID == d.ID && !c.At.Before(d.At) && (c.Progress || !d.Progress)
		}) {
			return false
		}
	}
	return true
}

// Join returns the history that has the crashes of both, except those that either
// has cleared. It depends neither on the order of histories nor on how often one is
// joined.
//
// Of a part of prompts, only the last cleared crash is kept and the crashes after it:
// a part that most prompts have is involved in nearly every crash, and its history
// would be long and change often.
func Join(a, b Entry) Entry {
	cleared := union(a.Cleared, b.Cleared, nil)
	crashes := union(a.Crashes, b.Crashes, cleared)
	if _, ok := PartOf(a.Fingerprint); ok && len(cleared) > 0 {
		cleared = cleared[len(cleared)-1:]
		crashes = slices.DeleteFunc(crashes, func(c Crash) bool { return !c.At.After(cleared[0].At) })
	}
	return Entry{Fingerprint: a.Fingerprint, Crashes: crashes, Cleared: cleared}
}

// Equal reports whether two histories have the same crashes.
func (e Entry) Equal(o Entry) bool { return equal(e.Crashes, o.Crashes) && equal(e.Cleared, o.Cleared) }

// union returns the newest crashes of a and b that are not in except, in the order
// of time. A crash in both has the earlier time, and progress only if both have it.
func union(a, b, except []Crash) []Crash {
	byID := make(map[string]Crash, len(a)+len(b))
	for _, c := range append(slices.Clone(a), b...) {
		if old, ok := byID[c.ID]; ok {
			c.Progress = c.Progress && old.Progress
			if old.At.Before(c.At) {
				c.At = old.At
			}
		}
		byID[c.ID] = c
	}
	for _, c := range except {
		delete(byID, c.ID)
	}
	out := make([]Crash, 0, len(byID))
	for _, c := range byID {
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Crash) int {
		if c := x.At.Compare(y.At); c != 0 {
			return c
		}
		return strings.Compare(x.ID, y.ID)
	})
	return out[max(len(out)-maxCrashes, 0):]
}

// equal reports whether two lists have the same crashes in the same order.
func equal(a, b []Crash) bool {
	return slices.EqualFunc(a, b, func(x, y Crash) bool {
		return x.ID == y.ID && x.At.Equal(y.At) && x.Progress == y.Progress
	})
}

// clone returns a copy that doesn't share memory with the table.
func (h *history) clone() Entry {
	return Entry{Fingerprint: h.Fingerprint, Crashes: slices.Clone(h.Crashes), Cleared: slices.Clone(h.Cleared)}
}

// recent returns the crashes that are not older than the retention at now.
func (t *Table) recent(now time.Time, crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return t.left(now, c) <= 0 })
}

// left returns the time until the retention of c ends.
func (t *Table) left(now time.Time, c Crash) time.Duration {
	return c.At.Add(t.settings.Retention).Sub(now)
}

// expire removes the histories whose last crash is older than the retention, at most
// once in expireInterval. t.mu must be held.
func (t *Table) expire(now time.Time) {
	if since := now.Sub(t.expiredAt); since >= 0 && since < expireInterval {
		return
	}
	t.expiredAt = now
	for fp, h := range t.entries {
		if h.lastAt().Add(t.settings.Retention).Sub(now) <= 0 {
			delete(t.entries, fp)
		}
	}
}

// lastAt returns the time of the last crash, cleared ones included.
func (e Entry) lastAt() (at time.Time) {
	for _, list := range [][]Crash{e.Crashes, e.Cleared} {
		if n := len(list); n > 0 && list[n-1].At.After(at) {
			at = list[n-1].At
		}
	}
	return at
}

// Entry returns the history of a fingerprint, empty if it is unknown.
func (t *Table) Entry(fingerprint string) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.entries[fingerprint]; h != nil {
		return h.clone()
	}
	return Entry{Fingerprint: fingerprint}
}

// Clear clears the crashes of a fingerprint whose request has completed. It
// reports whether there were any.
func (t *Table) Clear(fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.entries[fingerprint]
	return h != nil && t.clear(fingerprint, h.Crashes)
}

// ClearCrashes clears some crashes of a fingerprint. It reports whether there were
// any.
func (t *Table) ClearCrashes(fingerprint string, crashes []Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(fingerprint, crashes)
}

// clear is ClearCrashes for callers that hold t.mu.
func (t *Table) clear(fingerprint string, crashes []Crash) bool {
	if len(crashes) == 0 {
		return false
	}
	rev := t.rev
	t.merge(Entry{Fingerprint: fingerprint, Cleared: crashes})
	return t.rev != rev
}

// Parts returns the histories of parts of prompts that have a crash which is not
// older than the retention at now, ordered by key.
func (t *Table) Parts(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for key, h := range t.entries {
		if _, ok := PartOf(key); ok && len(h.Crashes) > 0 && t.left(now, h.Crashes[len(h.Crashes)-1]) > 0 {
			out = append(out, h.clone())
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// CrashTimes returns the times of all crashes in histories by ID, cleared ones
// included.
func (t *Table) CrashTimes() map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]time.Time{}
	for _, h := range t.entries {
		for _, list := range [][]Crash{h.Crashes, h.Cleared} {
			for _, c := range list {
				out[c.ID] = c.At
			}
		}
	}
	return out
}

// Retention returns how long a history is kept after its last crash.
func (t *Table) Retention() time.Duration { return t.settings.Retention }

// Since returns the histories that have changed after a position, and the position
// up to which they are returned. For a position in another table, it returns all.
// Histories of fewer than two crashes, cleared ones included, are returned only if
// single is set and one of them was added by Observe: the other side of an exchange
// needs a suspect of one crash only from the daemon that saw it.
func (t *Table) Since(c Cursor, single bool) ([]Entry, Cursor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := Cursor{Table: t.id, Rev: t.rev}
	if c == next {
		return nil, next
	}
	if c.Table != t.id {
		c.Rev = 0
	}
	var out []Entry
	for _, h := range t.entries {
		if h.rev > c.Rev && (len(h.Crashes)+len(h.Cleared) > 1 || single && h.observed) {
			out = append(out, h.clone())
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out, next
}

// Rev returns the number of changes so far.
func (t *Table) Rev() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rev
}

// Recent returns the histories whose last crash is not older than the retention at
// now, in the order of their last crash.
func (t *Table) Recent(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]Entry, 0, len(t.entries))
	for _, h := range t.entries {
		out = append(out, h.clone())
	}
	slices.SortFunc(out, func(a, b Entry) int {
		if c := a.lastAt().Compare(b.lastAt()); c != 0 {
			return c
		}
		return strings.Compare(a.Fingerprint, b.Fingerprint)
	})
	return out
}

// Count returns the number of requests with known crashes, and of those that are
// quarantined at now.
func (t *Table) Count(now time.Time) (suspects, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, h := range t.entries {
		if _, ok := PartOf(key); ok {
			continue
		}
		switch v, _ := t.judge(now, h); v {
		case Clean:
		case Suspect:
			suspects++
		case Quarantined:
			suspects++
			quarantined++
		}
	}
	return suspects, quarantined
}

// Judge returns the verdict on a fingerprint at now and, if it is quarantined,
// the time until the quarantine ends.
func (t *Table) Judge(now time.Time, fingerprint string) (Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.entries[fingerprint]; h != nil {
		return t.judge(now, h)
	}
	return Clean, 0
}

// judge is Judge for a known history. t.mu must be held.
func (t *Table) judge(now time.Time, h *history) (Verdict, time.Duration) {
	if len(h.Crashes) == 0 {
		return Clean, 0
	}
	left := t.left(now, h.Crashes[len(h.Crashes)-1])
	if left <= 0 {
		return Clean, 0
	}
	if limit := t.settings.CrashLimit; limit > 0 && len(h.Crashes) >= limit {
		return Quarantined, left
	}
	for _, c := range h.Crashes[1:] {
		if t.soleSuspect(h, c) && (!c.Progress || len(h.Crashes) >= progressCrashLimit) {
			return Quarantined, left
		}
	}
	return Suspect, 0
}

// soleSuspect reports whether no other request that was already a suspect was
// running on the upstream at crash c. t.mu must be held.
func (t *Table) soleSuspect(h *history, c Crash) bool {
	for key, o := range t.entries {
		if _, ok := PartOf(key); ok || o == h || len(o.Crashes) == 0 {
			continue
		}
		for _, d := range o.Crashes[1:] {
			if d.ID == c.ID {
				return false
			}
		}
	}
	return true
}
