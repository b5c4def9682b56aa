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
		// times holds the crashes of all histories, dropped ones included, that are
		// not older than the retention.
		times crashTimes
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
	t.bound = newBound(func(key string) {
		delete(t.entries, key)
		delete(t.repeated, key)
	})
	return t
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
	t.times.add(e.Crashes)
	t.times.add(e.Cleared)
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
	t.bound.add(h)
	t.entries[e.Fingerprint] = h
	if len(h.Crashes) > 1 {
		t.repeated[e.Fingerprint] = h
	} else {
		delete(t.repeated, e.Fingerprint)
	}
	return h.clone()
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
			t.bound.remove(fp)
		}
	}
	maps.DeleteFunc(t.times, func(_ string, at time.Time) bool { return at.Add(t.settings.Retention).Sub(now) <= 0 })
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

// Repeated returns the histories that have at least so many crashes, one of which is not
// older than the retention at now, ordered by key. crashes must be at least 2.
func (t *Table) Repeated(now time.Time, crashes int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, h := range t.repeated {
		if len(h.Crashes) >= crashes && t.left(now, h.Crashes[len(h.Crashes)-1]) > 0 {
			out = append(out, h.clone())
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
