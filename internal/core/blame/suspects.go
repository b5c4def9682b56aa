package blame

import (
	"container/heap"
	"slices"
	"time"
)

type (
	// suspects holds the candidates for quarantine and finds those that a change
	// concerns: by key, by crash, and by the time at which their verdicts may change.
	suspects struct {
		byKey map[string]*candidate
		// byCrash and guilty hold all candidates, and those in quarantine, by the IDs of
		// their crashes.
		byCrash, guilty map[string][]*candidate
		// due and stale are the times judgeAt and staleAt of candidates. They have former
		// times of candidates, too.
		due, stale appointments
	}

	// appointments are times of candidates; the first one is at the head.
	appointments []appointment

	appointment struct {
		at        time.Time
		candidate *candidate
	}

	// agenda holds the candidates to be judged, the most likely one to have caused its
	// crashes at the head.
	agenda struct {
		heap   []*candidate
		queued map[*candidate]struct{}
	}
)

func newSuspects() *suspects {
	return &suspects{byKey: map[string]*candidate{}, byCrash: map[string][]*candidate{}, guilty: map[string][]*candidate{}}
}

// add adds a candidate, or one whose crashes have changed and that was removed before.
func (s *suspects) add(c *candidate) {
	s.byKey[c.key] = c
	addTo(s.byCrash, c)
}

// remove removes a candidate.
func (s *suspects) remove(c *candidate) {
	delete(s.byKey, c.key)
	removeFrom(s.byCrash, c)
	s.setGuilty(c, false)
}

// setGuilty records whether a candidate is in quarantine.
func (s *suspects) setGuilty(c *candidate, guilty bool) {
	if c.guilty == guilty {
		return
	}
	if c.guilty = guilty; guilty {
		addTo(s.guilty, c)
	} else {
		removeFrom(s.guilty, c)
	}
}

func addTo(index map[string][]*candidate, c *candidate) {
	for _, crash := range c.crashes {
		index[crash.ID] = append(index[crash.ID], c)
	}
}

func removeFrom(index map[string][]*candidate, c *candidate) {
	for _, crash := range c.crashes {
		list := index[crash.ID]
		if i := slices.Index(list, c); i >= 0 {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			list = list[:len(list)-1]
		}
		if len(list) == 0 {
			delete(index, crash.ID)
		} else {
			index[crash.ID] = list
		}
	}
}

// explained reports whether a candidate that is more likely to have caused a crash is in
// quarantine.
func (s *suspects) explained(c *candidate, crash string) bool {
	for _, g := range s.guilty[crash] {
		if g != c && compare(g, c) < 0 {
			return true
		}
	}
	return false
}

// arrange notes the times of a candidate. before are those that were noted last.
func (s *suspects) arrange(c *candidate, judgeAt, staleAt time.Time) {
	if !c.judgeAt.IsZero() && !c.judgeAt.Equal(judgeAt) {
		heap.Push(&s.due, appointment{c.judgeAt, c})
	}
	if !c.staleAt.IsZero() && !c.staleAt.Equal(staleAt) {
		heap.Push(&s.stale, appointment{c.staleAt, c})
	}
}

// dueAt returns when the first candidate is to be judged, zero for never.
func (s *suspects) dueAt() time.Time {
	for len(s.due) > 0 {
		if a := s.due[0]; s.byKey[a.candidate.key] == a.candidate && a.candidate.judgeAt.Equal(a.at) {
			return a.at
		}
		heap.Pop(&s.due)
	}
	return time.Time{}
}

// takeDue calls f for the candidates that are to be judged at now, or for which time has
// changed what their verdicts depend on.
func (s *suspects) takeDue(now time.Time, f func(c *candidate)) {
	for at := s.dueAt(); !at.IsZero() && !now.Before(at); at = s.dueAt() {
		c := heap.Pop(&s.due).(appointment).candidate
		c.judgeAt = time.Time{}
		f(c)
	}
	for len(s.stale) > 0 && !now.Before(s.stale[0].at) {
		a := heap.Pop(&s.stale).(appointment)
		if c := a.candidate; s.byKey[c.key] == c && c.staleAt.Equal(a.at) {
			c.staleAt = time.Time{}
			f(c)
		}
	}
}

// Len implements heap.Interface.
func (a appointments) Len() int { return len(a) }

// Less implements heap.Interface.
func (a appointments) Less(i, j int) bool { return a[i].at.Before(a[j].at) }

// Swap implements heap.Interface.
func (a appointments) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *appointments) Push(x any) { *a = append(*a, x.(appointment)) }

// Pop implements heap.Interface.
func (a *appointments) Pop() any {
	last := (*a)[len(*a)-1]
	(*a)[len(*a)-1] = appointment{}
	*a = (*a)[:len(*a)-1]
	return last
}

// newAgenda returns an agenda with candidates.
func newAgenda(candidates map[*candidate]struct{}) *agenda {
	a := &agenda{queued: candidates}
	for c := range candidates {
		a.heap = append(a.heap, c)
	}
	heap.Init(a)
	return a
}

// add adds a candidate that isn't queued.
func (a *agenda) add(c *candidate) {
	if _, ok := a.queued[c]; !ok {
		a.queued[c] = struct{}{}
		heap.Push(a, c)
	}
}

// next removes and returns the first candidate.
func (a *agenda) next() *candidate {
	c := heap.Pop(a).(*candidate)
	delete(a.queued, c)
	return c
}

// Len implements heap.Interface.
func (a *agenda) Len() int { return len(a.heap) }

// Less implements heap.Interface.
func (a *agenda) Less(i, j int) bool { return compare(a.heap[i], a.heap[j]) < 0 }

// Swap implements heap.Interface.
func (a *agenda) Swap(i, j int) { a.heap[i], a.heap[j] = a.heap[j], a.heap[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { a.heap = append(a.heap, x.(*candidate)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := a.heap[len(a.heap)-1]
	a.heap[len(a.heap)-1] = nil
	a.heap = a.heap[:len(a.heap)-1]
	return last
}
