package queue

import (
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Item is a waiting request.
	Item struct {
		ID  uint64
		Key fleet.Key
		// AccountRank is the urgency of the request's account, or the route's if
		// it belongs to none, and Rank that of its route; 0 is the most urgent.
		AccountRank, Rank int
		// TargetStart is the time until which the request must start to be on
		// time; LatestStart is the last time at which it may start at all.
		TargetStart, LatestStart time.Time
	}

	// Queue holds waiting requests.
	Queue struct {
		// items are ordered by LatestStart.
		items []*Item
		// servePressingNext alternates between pressing requests and the rest.
		servePressingNext bool
	}
)

// pressingPeriod is the time before LatestStart from which a late request is
// pressing and competes with punctual ones.
const pressingPeriod = 2 * time.Second

// New returns an empty Queue.
func New() *Queue { return &Queue{} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Add inserts it in the order of LatestStart.
func (q *Queue) Add(it *Item) {
	i := sort.Search(len(q.items), func(i int) bool { return it.LatestStart.Before(q.items[i].LatestStart) })
	q.items = append(q.items, nil)
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = it
}

// serviceOrder returns the requests in the order of service at now: those that
// can still be on time before late ones, and within each group by the rank of the
// account, that of the route and then LatestStart.
func (q *Queue) serviceOrder(now time.Time) []*Item {
	all := append([]*Item(nil), q.items...)
	sort.SliceStable(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if la, lb := now.After(a.TargetStart), now.After(b.TargetStart); la != lb {
			return lb
		}
		if a.AccountRank != b.AccountRank {
			return a.AccountRank < b.AccountRank
		}
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		return a.LatestStart.Before(b.LatestStart)
	})
	return all
}

// Remove removes the request with the given id and reports whether it was
// waiting.
func (q *Queue) Remove(id uint64) bool {
	for i, it := range q.items {
		if it.ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Dispatch offers the requests to try in the order of service and removes those
// that it accepts. After try has declined a request, no other request with the
// same key is offered.
func (q *Queue) Dispatch(now time.Time, try func(*Item) bool) {
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
	var pressing []*Item
	for _, it := range q.items {
		if it.LatestStart.Sub(now) < pressingPeriod && now.After(it.TargetStart) {
			pressing = append(pressing, it)
		}
	}
	served := map[*Item]bool{}
	for _, it := range q.serviceOrder(now) {
		if q.servePressingNext && len(pressing) > 0 {
			p := pressing[0]
			pressing = pressing[1:]
			if !served[p] && offer(p) {
				served[p] = true
				q.servePressingNext = false
			}
		}
		if !served[it] && offer(it) {
			served[it] = true
			q.servePressingNext = true
		}
	}
	if len(served) == 0 {
		return
	}
	kept := q.items[:0]
	for _, it := range q.items {
		if !served[it] {
			kept = append(kept, it)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
}

// CountByKey adds the number of waiting requests by key to dst.
func (q *Queue) CountByKey(dst map[fleet.Key]int) {
	for _, it := range q.items {
		dst[it.Key]++
	}
}
