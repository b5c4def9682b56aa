package blame

import (
	"slices"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/core/poison"
)

// revision collects what one call of refresh has to judge.
type revision struct {
	now time.Time
	// candidates are those that have changed or may be explained by others than before.
	candidates map[*candidate]struct{}
	// changed are those of them that have changed themselves.
	changed map[*candidate]struct{}
	// ended are the keys that are no longer candidates.
	ended []string
}

// refresh judges the attributes again that a change of histories concerns, or for which
// time may have changed a verdict. The verdicts are those of judging all candidates, the
// most likely one to have caused its crashes first, each without the crashes of those that
// were quarantined before it. A verdict depends on more likely candidates in quarantine
// that share a crash, so only those are judged again that share one with a candidate whose
// verdict or place has changed. t.mu must be held.
func (t *Table) refresh(now time.Time) {
	if t.crashes.Rev() == t.rev && !isDue(now, t.dueAt) && !isDue(now, t.suspects.dueAt()) {
		return
	}
	t.dueAt = time.Time{}
	r := &revision{now: now, candidates: map[*candidate]struct{}{}, changed: map[*candidate]struct{}{}}
	t.takeHistories(r)
	t.takeDropped(r)
	t.suspects.takeDue(now, r.change)
	t.takeTouched(r)
	for c := range r.changed {
		t.updateCandidate(r, c)
	}
	t.decide(r)
}

// isDue reports whether a time that isn't zero has come.
func isDue(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// change records that a candidate has changed.
func (r *revision) change(c *candidate) { r.changed[c] = struct{}{} }

// takeHistories adds, changes and removes candidates by the histories that have changed.
// t.mu must be held.
func (t *Table) takeHistories(r *revision) {
	var entries []poison.Entry
	rev := t.crashes.Changed(t.rev, func(e poison.Entry) {
		if len(e.Crashes) >= dominantLimit || t.suspects.byKey[e.Fingerprint] != nil {
			entries = append(entries, e)
		}
	})
	t.rev = rev
	for _, e := range entries {
		c := t.suspects.byKey[e.Fingerprint]
		if len(e.Crashes) < dominantLimit {
			t.end(r, c)
			continue
		}
		if c == nil {
			c = &candidate{key: e.Fingerprint, breadth: breadthOf(e.Fingerprint)}
			if c.breadth == ignored {
				continue
			}
			_, c.oneVersion = attributeOf(c.key)
		} else {
			t.release(r, c)
			t.suspects.remove(c)
		}
		c.learn(r.now, e.Crashes)
		c.cleared = len(e.Cleared) > 0
		t.suspects.add(c)
		r.change(c)
	}
}

// takeDropped removes the candidates whose histories were dropped. t.mu must be held.
func (t *Table) takeDropped(r *revision) {
	dropped := t.crashes.Dropped()
	if dropped == t.droppedRev {
		return
	}
	t.droppedRev = dropped
	for _, c := range t.suspects.byKey {
		if len(t.crashes.Entry(c.key).Crashes) == 0 {
			t.end(r, c)
		}
	}
}

// takeTouched records the candidates whose usage has changed, or which may dominate the
// crashes of their time now and didn't before or the other way round. t.mu must be held.
func (t *Table) takeTouched(r *revision) {
	for c := range t.touched {
		if t.suspects.byKey[c.key] == c {
			r.change(c)
		}
	}
	clear(t.touched)
	timesRev := t.crashes.TimesRev()
	all := t.allTouched || t.firstSentAt.IsZero()
	if all || timesRev != t.timesRev {
		for _, c := range t.suspects.byKey {
			if all || c.breadth == shared && c.dominant != t.dominates(c.crashes) {
				r.change(c)
			}
		}
	}
	t.timesRev, t.allTouched = timesRev, false
}

// updateCandidate brings a candidate that has changed up to date. t.mu must be held.
func (t *Table) updateCandidate(r *revision, c *candidate) {
	if last := c.crashes[len(c.crashes)-1]; !r.now.Before(last.At.Add(t.crashes.Retention())) {
		t.end(r, c)
		return
	}
	// The candidate may lose its place to others.
	t.release(r, c)
	judgeAt, staleAt := c.judgeAt, c.staleAt
	t.update(r.now, c)
	t.suspects.arrange(c, judgeAt, staleAt)
	r.candidates[c] = struct{}{}
}

// end removes a candidate. t.mu must be held.
func (t *Table) end(r *revision, c *candidate) {
	t.release(r, c)
	t.suspects.remove(c)
	delete(r.changed, c)
	delete(r.candidates, c)
	r.ended = append(r.ended, c.key)
}

// release has the candidates judged again whose crashes c explains, if it is in quarantine.
// t.mu must be held.
func (t *Table) release(r *revision, c *candidate) {
	if !c.guilty {
		return
	}
	for _, crash := range c.crashes {
		for _, other := range t.suspects.byCrash[crash.ID] {
			if other != c {
				r.candidates[other] = struct{}{}
			}
		}
	}
}

// decide judges candidates, in the order of how likely they are to have caused their
// crashes, and those that they explain. t.mu must be held.
func (t *Table) decide(r *revision) {
	var judged []*candidate
	for a := newAgenda(r.candidates); a.Len() > 0; {
		c := a.next()
		judgeAt, was := c.judgeAt, c.guilty
		guilty := t.judge(r.now, c)
		t.suspects.arrange(c, judgeAt, c.staleAt)
		t.suspects.setGuilty(c, guilty)
		judged = append(judged, c)
		if _, changed := r.changed[c]; guilty == was && (!changed || !guilty) {
			continue
		}
		for _, crash := range c.crashes {
			for _, other := range t.suspects.byCrash[crash.ID] {
				if other != c && compare(c, other) < 0 {
					a.add(other)
				}
			}
		}
	}
	t.record(r, judged)
}

// record takes over the verdicts on candidates. t.mu must be held.
func (t *Table) record(r *revision, judged []*candidate) {
	attributes := map[string]struct{}{}
	slices.SortFunc(judged, compare)
	for _, c := range judged {
		until, was := t.quarantined[c.key]
		if attribute, ok := attributeOf(c.key); ok && (was || c.guilty) {
			attributes[attribute] = struct{}{}
		}
		switch {
		case c.guilty:
			t.quarantined[c.key] = c.crashes[len(c.crashes)-1].At.Add(t.crashes.Retention())
			if !r.now.Before(until) {
				t.begun++
			}
			if !was {
				t.changed(Change{Key: c.key, Until: t.quarantined[c.key], Crashes: len(c.crashes), Unexplained: c.left, Answered: c.answered, Dominant: c.dominant})
			}
		case was:
			r.ended = append(r.ended, c.key)
		}
	}
	slices.SortFunc(r.ended, strings.Compare)
	for _, key := range r.ended {
		if _, was := t.quarantined[key]; !was {
			continue
		}
		delete(t.quarantined, key)
		if attribute, ok := attributeOf(key); ok {
			attributes[attribute] = struct{}{}
		}
		t.changed(Change{Key: key, Crashes: len(t.crashes.Entry(key).Crashes)})
	}
	if len(attributes) > 0 {
		t.recordVersions()
	}
}

// recordVersions determines the quarantine at one version that ends last for each attribute
// with such quarantines. t.mu must be held.
func (t *Table) recordVersions() {
	t.oneVersion = map[string]string{}
	var at []*candidate
	for key := range t.quarantined {
		if _, ok := attributeOf(key); ok {
			at = append(at, t.suspects.byKey[key])
		}
	}
	slices.SortFunc(at, compare)
	for _, c := range at {
		attribute, _ := attributeOf(c.key)
		if until := t.quarantined[c.key]; until.After(t.quarantined[t.oneVersion[attribute]]) {
			t.oneVersion[attribute] = c.key
		}
	}
}
