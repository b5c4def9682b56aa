package poison

import (
	"slices"
	"time"
)

type (
	// crashTimes holds the times of crashes by ID.
	crashTimes map[string]time.Time

	// timeline holds times in ascending order.
	timeline []time.Time
)

// add adds a time.
func (l *timeline) add(at time.Time) { *l = slices.Insert(*l, l.before(at), at) }

// remove removes a time once.
func (l *timeline) remove(at time.Time) {
	if i := l.before(at); i < len(*l) && (*l)[i].Equal(at) {
		*l = slices.Delete(*l, i, i+1)
	}
}

// before returns the number of times before at.
func (l *timeline) before(at time.Time) int {
	i, _ := slices.BinarySearchFunc(*l, at, time.Time.Compare)
	return i
}

// expire removes the times up to a time. It reports whether there were any.
func (l *timeline) expire(until time.Time) bool {
	n := l.before(until.Add(1))
	*l = slices.Delete(*l, 0, n)
	return n > 0
}

// addTimes adds the times of crashes. Of several times of one crash, the earliest counts.
// t.mu must be held.
func (t *Table) addTimes(crashes []Crash) {
	for _, c := range crashes {
		at, ok := t.times[c.ID]
		if ok && !c.At.Before(at) {
			continue
		}
		if ok {
			t.timeline.remove(at)
		}
		t.times[c.ID] = c.At
		t.timeline.add(c.At)
		t.timesRev++
	}
}

// CrashesBetween returns the number of crashes in histories from one time to another,
// cleared ones and those of dropped histories included.
func (t *Table) CrashesBetween(first, last time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timeline.before(last.Add(1)) - t.timeline.before(first)
}

// TimesRev returns the number of changes so far of what CrashesBetween counts.
func (t *Table) TimesRev() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timesRev
}
