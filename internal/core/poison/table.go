package poison

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// Verdict classifies a request by its crash history.
	Verdict uint8

	// Cursor is a position in the sequence of a Table's changes. The zero value
	// is the position before the first one.
	Cursor struct{ Table, Rev uint64 }

	// Settings of a Table.
	Settings struct {
		// Retention is how long a history is kept after its last crash; zero
		// stands for DefaultQuarantine.
		Retention time.Duration
	}

	// Table holds the crash histories that a daemon knows of. It is safe for
	// concurrent use.
	Table struct {
		settings Settings
		// id distinguishes the table from those of other processes.
		id uint64

		mu      sync.Mutex
		entries map[string]*history
		// repeated are those of entries that have two crashes or more.
		repeated map[string]*history
		bound    *bound
		// once and several hold the histories of one crash, cleared ones included, and
		// of more, in the order of their last change.
		once, several changes
		// times holds the crashes of all histories, dropped ones included, that are
		// not older than the retention, and timeline the same in order. timesRev counts
		// their changes.
		times    crashTimes
		timeline timeline
		timesRev uint64
		// rev counts changes, and severalRev is that of the last change that moved a
		// history to the end of several.
		rev, severalRev uint64
		// dropped counts the histories of two crashes or more that were removed.
		dropped uint64
		// merging is the key of the history that is being changed.
		merging string
		// told is the position up to which the table with the ID told.Table knows the
		// histories that Since returns to it.
		told Cursor
		// expiredAt is when old histories were last removed, and expiresAt a time before
		// which none of them expires.
		expiredAt, expiresAt time.Time
	}

	// history is an Entry, the revision of its last change, and whether one of
	// its crashes was added by Observe. Its lists of crashes are replaced and never
	// changed, so they can be returned to callers.
	history struct {
		Entry
		rev      uint64
		observed bool
		// crashRevs and clearedRevs are the revisions of the last changes of the crashes,
		// or that since which the history has several.
		crashRevs, clearedRevs []uint64
		// peer is the ID of a table that is known to have all of the history, 0 if there
		// is none.
		peer uint64
		// previous and next are the neighbours in the order of changes.
		previous, next *history
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
)

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
	t := &Table{settings: settings, id: id, entries: map[string]*history{}, repeated: map[string]*history{}, times: crashTimes{}}
	t.once.init()
	t.several.init()
	t.bound = newBound(t.drop)
	return t
}

// drop removes the history with a key from all but the bound. t.mu must be held.
func (t *Table) drop(key string) {
	h := t.entries[key]
	if h == nil {
		return
	}
	h.unlink()
	delete(t.entries, key)
	delete(t.repeated, key)
	if len(h.Crashes) > 1 && key != t.merging {
		t.dropped++
	}
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
	return t.MergeFrom(now, 0, e)
}

// MergeFrom is Merge for an entry that the table with the ID peer has sent. SinceFor
// doesn't return to that table what it is known to have.
func (t *Table) MergeFrom(now time.Time, peer uint64, e Entry) (before, after int, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	e.Crashes, e.Cleared = t.recent(now, e.Crashes), t.recent(now, e.Cleared)
	h := t.entries[e.Fingerprint]
	known := h == nil || t.knows(peer, h)
	if h != nil {
		before = len(h.Crashes)
	}
	rev := t.rev
	joined := t.merge(e)
	known = known || contains(e.Crashes, joined.Crashes) && contains(e.Cleared, joined.Cleared)
	if h = t.entries[e.Fingerprint]; h != nil && peer != 0 && known {
		h.peer = peer
	}
	return before, len(joined.Crashes), t.rev != rev
}

// merge is Merge without the removal of old crashes. It returns the new history.
// t.mu must be held.
func (t *Table) merge(e Entry) Entry {
	t.addTimes(e.Crashes)
	t.addTimes(e.Cleared)
	h := t.entries[e.Fingerprint]
	if h == nil {
		h = &history{Entry: Entry{Fingerprint: e.Fingerprint}}
	}
	if contains(h.Crashes, e.Crashes) && contains(h.Cleared, e.Cleared) {
		return h.Entry
	}
	joined := Join(h.Entry, e)
	if len(joined.Crashes)+len(joined.Cleared) == 0 || joined.Equal(h.Entry) {
		return h.Entry
	}
	t.rev++
	if h.isSingle() {
		// The other tables aren't sent it so far.
		h.Entry = Entry{}
	}
	h.crashRevs = revisions(joined.Crashes, h.Crashes, h.crashRevs, t.rev)
	h.clearedRevs = revisions(joined.Cleared, h.Cleared, h.clearedRevs, t.rev)
	h.Entry, h.rev, h.peer = joined, t.rev, 0
	t.merging = e.Fingerprint
	t.bound.add(h)
	t.merging = ""
	t.entries[e.Fingerprint] = h
	t.changed(h)
	if len(h.Crashes) > 1 {
		t.repeated[e.Fingerprint] = h
	} else {
		delete(t.repeated, e.Fingerprint)
	}
	return h.Entry
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
	if t.timeline.expire(now.Add(-t.settings.Retention)) {
		t.timesRev++
		maps.DeleteFunc(t.times, func(_ string, at time.Time) bool { return at.Add(t.settings.Retention).Sub(now) <= 0 })
	}
	if now.Before(t.expiresAt) {
		return
	}
	t.expiresAt = time.Time{}
	for fp, h := range t.entries {
		if end := h.lastAt().Add(t.settings.Retention); end.Sub(now) <= 0 {
			t.bound.remove(fp)
		} else {
			t.expiresBy(end)
		}
	}
}

// Entry returns the history of a fingerprint, empty if it is unknown. Its lists must not be
// changed.
func (t *Table) Entry(fingerprint string) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.entries[fingerprint]; h != nil {
		return h.Entry
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

// Repeated returns the histories that have at least so many crashes, one of which is not
// older than the retention at now, ordered by key. crashes must be at least 2.
func (t *Table) Repeated(now time.Time, crashes int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, h := range t.repeated {
		if len(h.Crashes) >= crashes && t.left(now, h.Crashes[len(h.Crashes)-1]) > 0 {
			out = append(out, h.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Use records that a history is still needed, so that others are dropped first.
func (t *Table) Use(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bound.use(key)
}

// CrashTimes returns the times of all crashes in histories by ID, cleared ones and
// those of dropped histories included.
func (t *Table) CrashTimes() map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.times)
}

// Retention returns how long a history is kept after its last crash.
func (t *Table) Retention() time.Duration { return t.settings.Retention }

// Recent returns the histories whose last crash is not older than the retention at
// now, in the order of their last crash.
func (t *Table) Recent(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]Entry, 0, len(t.entries))
	for _, h := range t.entries {
		out = append(out, h.Entry)
	}
	sortByLast(out)
	return out
}

// RecentOf is Recent for the histories with some keys.
func (t *Table) RecentOf(now time.Time, keys map[string]struct{}) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []Entry
	for k := range keys {
		if h := t.entries[k]; h != nil {
			out = append(out, h.Entry)
		}
	}
	sortByLast(out)
	return out
}

// sortByLast orders histories by their last crash.
func sortByLast(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int {
		if c := a.lastAt().Compare(b.lastAt()); c != 0 {
			return c
		}
		return strings.Compare(a.Fingerprint, b.Fingerprint)
	})
}
