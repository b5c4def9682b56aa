package poison

import (
	"slices"
	"strings"
	"time"
)

// changes is a list of histories in the order of their last change. Its root is the
// successor of the last and the predecessor of the first one.
type changes struct{ root history }

// init empties the list.
func (c *changes) init() { c.root.previous, c.root.next = &c.root, &c.root }

// add adds a history that is in no list as the one that was changed last.
func (c *changes) add(h *history) {
	h.previous, h.next = c.root.previous, &c.root
	h.previous.next, h.next.previous = h, h
}

// unlink removes a history from its list, if it is in one.
func (h *history) unlink() {
	if h.next == nil {
		return
	}
	h.previous.next, h.next.previous = h.next, h.previous
	h.previous, h.next = nil, nil
}

// after calls f for the histories that were changed after a revision, the last one first.
func (c *changes) after(rev uint64, f func(*history)) {
	for h := c.root.previous; h != &c.root && h.rev > rev; h = h.previous {
		f(h)
	}
}

// changed moves a history to the end of its list. t.mu must be held.
func (t *Table) changed(h *history) {
	h.unlink()
	if h.isSingle() {
		t.once.add(h)
	} else {
		t.several.add(h)
		t.severalRev = t.rev
	}
	t.expiresBy(h.lastAt().Add(t.settings.Retention))
}

// expiresBy notes when a history expires. t.mu must be held.
func (t *Table) expiresBy(end time.Time) {
	if t.expiresAt.IsZero() || end.Before(t.expiresAt) {
		t.expiresAt = end
	}
}

// isSingle reports whether the history has fewer than two crashes, cleared ones included.
func (h *history) isSingle() bool { return len(h.Crashes)+len(h.Cleared) < 2 }

// Since returns the histories that have changed after a position, and the position
// up to which they are returned. For a position in another table, it returns all.
// Histories of fewer than two crashes, cleared ones included, are returned only if
// single is set and one of them was added by Observe: the other side of an exchange
// needs a suspect of one crash only from the daemon that saw it. Without single, histories
// have only the crashes that have changed after the position: whoever joins them with what
// was returned before knows the whole. The lists of the histories must not be changed.
func (t *Table) Since(c Cursor, single bool) ([]Entry, Cursor) { return t.SinceFor(c, single, 0) }

// SinceFor is Since without the histories that the table with the ID peer is known to have.
func (t *Table) SinceFor(c Cursor, single bool, peer uint64) ([]Entry, Cursor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := Cursor{Table: t.id, Rev: t.rev}
	if c == next || peer != 0 && peer == t.id {
		return nil, next
	}
	if c.Table != t.id {
		c.Rev = 0
	}
	var out []Entry
	add := func(h *history) {
		if (!h.isSingle() || h.observed) && !t.knows(peer, h) {
			if single {
				out = append(out, h.Entry)
			} else {
				out = append(out, Entry{Fingerprint: h.Fingerprint, Crashes: newer(h.Crashes, h.crashRevs, c.Rev), Cleared: newer(h.Cleared, h.clearedRevs, c.Rev)})
			}
		}
	}
	t.several.after(c.Rev, add)
	if single {
		t.once.after(c.Rev, add)
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out, next
}

// newer returns the crashes that have changed after a revision. revs are the revisions of
// their last changes.
func newer(crashes []Crash, revs []uint64, rev uint64) []Crash {
	// They are the last ones, unless another daemon has reported one late.
	first := len(crashes)
	for first > 0 && revs[first-1] > rev {
		first--
	}
	out := crashes[first:len(crashes):len(crashes)]
	for i := first - 1; i >= 0; i-- {
		if revs[i] > rev {
			out = append([]Crash{crashes[i]}, out...)
		}
	}
	return out
}

// revisions returns the revisions of the last changes of crashes. Those that are in former as
// they are keep theirs, and the others have changed at rev.
func revisions(crashes, former []Crash, formerRevs []uint64, rev uint64) []uint64 {
	out := make([]uint64, len(crashes))
	for i, c := range crashes {
		out[i] = rev
		if j := slices.IndexFunc(former, func(d Crash) bool { return d.ID == c.ID && d.At.Equal(c.At) && d.Progress == c.Progress }); j >= 0 {
			out[i] = formerRevs[j]
		}
	}
	return out
}

// Told records that the table with the ID peer has merged all that SinceFor returned for it,
// single crashes included, up to a position.
func (t *Table) Told(peer uint64, c Cursor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Table == t.id {
		t.told = Cursor{Table: peer, Rev: c.Rev}
	}
}

// knows reports whether the table with the ID peer is known to have all of a history. t.mu
// must be held.
func (t *Table) knows(peer uint64, h *history) bool {
	if peer == 0 {
		return false
	}
	return h.peer == peer || t.told.Table == peer && h.rev <= t.told.Rev && (!h.isSingle() || h.observed)
}

// ID returns the ID of the table.
func (t *Table) ID() uint64 { return t.id }

// Rev returns the number of changes so far.
func (t *Table) Rev() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rev
}

// SharedRev returns the number of changes so far up to the last one that Since returns also
// without single crashes.
func (t *Table) SharedRev() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.severalRev
}

// Changed calls f for the histories that have changed after a revision, and returns the
// present one. f must not call the table.
func (t *Table) Changed(rev uint64, f func(e Entry)) (now uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	visit := func(h *history) { f(h.Entry) }
	t.several.after(rev, visit)
	t.once.after(rev, visit)
	return t.rev
}

// Dropped returns the number of histories of two crashes or more that were dropped so far.
func (t *Table) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dropped
}
