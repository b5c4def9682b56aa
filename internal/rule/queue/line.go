package queue

import (
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Item is a waiting request.
	Item struct {
		ID   uint64
		Key  fleet.Key
		Rank int
		// Aim is when it must start to be on time, Due when it must start at
		// the latest.
		TargetStart, LatestStart time.Time
	}

	// Line holds waiting requests.
	Queue struct {
		// items are ordered by Due.
		items []*Item
		// promoted alternates between pressing requests and the rest.
		promoted bool
	}
)

// pressing is the time before Due from which a late request competes with
// punctual ones.
const pressing = 2 * time.Second

// New returns an empty Line.
func New() *Queue { return &Queue{} }

// Len returns the number of waiting requests.
func (l *Queue) Len() int { return len(l.items) }

// Add puts it in.
func (l *Queue) Add(it *Item) {
	i := sort.Search(len(l.items), func(i int) bool { return it.LatestStart.Before(l.items[i].LatestStart) })
	l.items = append(l.items, nil)
	copy(l.items[i+1:], l.items[i:])
	l.items[i] = it
}

// order returns the requests in the order of service at now: those that can
// still be on time before late ones, and among each by rank.
func (l *Queue) order(now time.Time) []*Item {
	all := append([]*Item(nil), l.items...)
	sort.SliceStable(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if la, lb := now.After(a.TargetStart), now.After(b.TargetStart); la != lb {
			return lb
		}
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		return a.LatestStart.Before(b.LatestStart)
	})
	return all
}

// Remove takes the request with the given id out and reports whether it
// waited.
func (l *Queue) Remove(id uint64) bool {
	for i, it := range l.items {
		if it.ID == id {
			l.items = append(l.items[:i], l.items[i+1:]...)
			return true
		}
	}
	return false
}

// Serve offers the requests to try in their order and takes out those that it
// accepts. After a key has been declined, the other requests for it aren't
// offered.
func (l *Queue) Dispatch(now time.Time, try func(*Item) bool) {
	declined := map[fleet.Key]bool{}
	offer := func(it *Item) bool {
		if declined[it.Key] {
			return false
		}
		if try(it) {
			return true
		}
		declined[it.Key] = true
		return false
	}
	var press []*Item
	for _, it := range l.items {
		if it.LatestStart.Sub(now) < pressing && now.After(it.TargetStart) {
			press = append(press, it)
		}
	}
	served := map[*Item]bool{}
	for _, it := range l.order(now) {
		if l.promoted && len(press) > 0 {
			p := press[0]
			press = press[1:]
			if !served[p] && offer(p) {
				served[p] = true
				l.promoted = false
			}
		}
		if !served[it] && offer(it) {
			served[it] = true
			l.promoted = true
		}
	}
	if len(served) == 0 {
		return
	}
	kept := l.items[:0]
	for _, it := range l.items {
		if !served[it] {
			kept = append(kept, it)
		}
	}
	clear(l.items[len(kept):])
	l.items = kept
}

// Waiting adds the number of waiting requests by key to dst.
func (l *Queue) CountByKey(dst map[fleet.Key]int) {
	for _, it := range l.items {
		dst[it.Key]++
	}
}
