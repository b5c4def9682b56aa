package queue

import (
	"cmp"
	"slices"
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
		// Account is the request's account; those of none are one account.
		Account string
		// Cost is what the request takes of an upstream, and Weight the account's
		// part beside others; both are bounded, and 0 counts as 1.
		Cost, Weight float64
	}

	// Queue holds waiting requests.
	Queue struct {
		// classes are ordered by urgency.
		classes []*class
		keys    map[fleet.Key]*keyState
		// usages are by service; they are forgotten when nothing waits.
		usages  map[string]*usage
		waiting int
		// dispatches and turns number the calls of Dispatch and the services.
		dispatches, turns uint64
		// regularLast is set if the last request was served in the regular order.
		regularLast bool
		// shared reports whether the places of a key are granted by the holder; nil if
		// none are.
		shared func(fleet.Key) bool
	}

	// dispatch is a call of Dispatch.
	dispatch struct {
		queue *Queue
		// open is the number of keys that wait and haven't been declined.
		open int
		try  func(*Item) bool
		// alternates are the late requests that may take second places, in their
		// order.
		alternates []*entry
		served     int
	}
)

// pressingPeriod is the time before LatestStart from which a late request is
// pressing and competes with punctual ones.
const pressingPeriod = 2 * time.Second

// New returns an empty Queue.
func New() *Queue { return &Queue{keys: map[fleet.Key]*keyState{}, usages: map[string]*usage{}} }

// SetShared sets what reports whether places of a key are granted by the holder, for requests
// that can still be on time: late ones of such a key are never pressing, so that they take no
// place that was granted for another one.
func (q *Queue) SetShared(shared func(fleet.Key) bool) { q.shared = shared }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Waits reports whether a request with the key is waiting.
func (q *Queue) Waits(k fleet.Key) bool { return q.keys[k] != nil }

// Add adds a request.
func (q *Queue) Add(it *Item) {
	k := q.keys[it.Key]
	if k == nil {
		k = &keyState{}
		q.keys[it.Key] = k
	}
	k.waiting++
	q.waiting++
	c := q.class(keyOf(it))
	f := c.flows[it.Account]
	if f == nil {
		q.turns++
		f = &flow{class: c, account: it.Account, turn: q.turns}
		c.flows[it.Account] = f
	}
	f.add(&entry{Item: it, flow: f, key: k})
	f.usage = q.usage(it.Key.Service).add(it.Account)
}

// class returns the class of k, and adds it if there is none.
func (q *Queue) class(k classKey) *class {
	i, found := slices.BinarySearchFunc(q.classes, k, func(c *class, k classKey) int { return c.compare(k) })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class{classKey: k, flows: map[string]*flow{}})
	}
	return q.classes[i]
}

// Remove removes the request with the given id and reports whether it was
// waiting.
func (q *Queue) Remove(id uint64) bool {
	for _, c := range q.classes {
		for _, f := range c.waiting {
			for _, e := range f.items {
				if e.ID == id {
					q.drop(e)
					q.prune()
					return true
				}
			}
		}
	}
	return false
}

// drop marks an entry for the next prune.
func (q *Queue) drop(e *entry) {
	e.served = true
	q.usage(e.Key.Service).remove(e.Account)
	q.waiting--
	if e.key.waiting--; e.key.waiting == 0 {
		delete(q.keys, e.Key)
	}
}

// prune forgets served entries, and accounts and classes that need not be remembered.
func (q *Queue) prune() {
	if q.classes = slices.DeleteFunc(q.classes, (*class).prune); len(q.classes) == 0 {
		clear(q.usages)
	}
}

// usage returns that of a service.
func (q *Queue) usage(service string) *usage {
	u := q.usages[service]
	if u == nil {
		u = &usage{accounts: map[string]*accountUsage{}}
		q.usages[service] = u
	}
	return u
}

// Dispatch offers the requests to try in the order of service and removes those
// that it accepts. After try has declined a request, no other request with the
// same key is offered.
func (q *Queue) Dispatch(now time.Time, try func(*Item) bool) {
	if q.waiting == 0 {
		return
	}
	q.dispatches++
	d := &dispatch{queue: q, open: len(q.keys), try: try}
	for _, c := range q.classes {
		u := q.usage(c.service)
		last, lastOfAll := c.lastStart(), u.lastStart()
		for _, f := range c.waiting {
			f.isOwed = f.owed() || f.usage.start+owedLag <= u.virtual
			mayLag := f.isOwed || max(f.start, c.virtual)+owedLag <= last || max(f.usage.start, u.virtual)+owedLag <= lastOfAll
			for _, e := range f.items {
				e.late = now.After(e.TargetStart)
				e.pressing = e.late && e.LatestStart.Sub(now) < pressingPeriod && !q.isShared(e)
				if e.pressing || e.late && mayLag {
					d.alternates = append(d.alternates, e)
				}
			}
		}
	}
	d.sortAlternates()
	for _, late := range []bool{false, true} {
		for _, c := range q.classes {
			d.serveClass(c, late)
		}
	}
	if d.served > 0 {
		q.prune()
	}
}

// isShared reports whether the places of an entry's key are granted by the holder, as found
// in this Dispatch.
func (q *Queue) isShared(e *entry) bool {
	if q.shared == nil {
		return false
	}
	if e.key.judged != q.dispatches {
		e.key.judged, e.key.shared = q.dispatches, q.shared(e.Key)
	}
	return e.key.shared
}

// serveClass offers the requests of a class that are late, or those that aren't, by
// account and LatestStart.
func (d *dispatch) serveClass(c *class, late bool) {
	flows := slices.Clone(c.waiting)
	slices.SortFunc(flows, compareFlows)
	positions := make([]int, len(flows))
	for i := 0; i < len(flows) && d.open > 0; {
		f := flows[i]
		e := d.next(f, late, &positions[i])
		if e == nil {
			i++
			continue
		}
		served := d.served
		d.serveAlternate(e)
		if !e.served && !e.declinedIn(d.queue.dispatches) {
			d.offer(e, regular)
		}
		if d.served > served {
			// The accounts before this one have nothing left to offer.
			d.resort(flows[i:], positions[i:])
		}
	}
}

// compareFlows orders the accounts of a class.
func compareFlows(f, g *flow) int {
	switch {
	case f.before(g):
		return -1
	case g.before(f):
		return 1
	}
	return 0
}

// resort restores the order of flows and their positions after a service.
func (d *dispatch) resort(flows []*flow, positions []int) {
	for i := 1; i < len(flows); i++ {
		for j := i; j > 0 && flows[j].before(flows[j-1]); j-- {
			flows[j], flows[j-1] = flows[j-1], flows[j]
			positions[j], positions[j-1] = positions[j-1], positions[j]
		}
	}
}

// next returns the first entry of a flow from a position on that can be offered, nil if
// there is none.
func (d *dispatch) next(f *flow, late bool, position *int) *entry {
	for ; *position < len(f.items); *position++ {
		if e := f.items[*position]; e.late == late && !e.served && !e.declinedIn(d.queue.dispatches) {
			return e
		}
	}
	return nil
}

// offer offers an entry and reports whether it was accepted.
func (d *dispatch) offer(e *entry, way service) bool {
	q := d.queue
	if !d.try(e.Item) {
		e.key.declined = q.dispatches
		d.open--
		return false
	}
	d.served++
	q.turns++
	e.flow.charge(e.Item, q.turns)
	q.usage(e.Key.Service).charge(e.Item)
	e.key.last, q.regularLast = way, way == regular
	if e.key.waiting == 1 {
		d.open--
	}
	q.drop(e)
	return true
}

// mayPrecede reports whether a late request may take a place of e by the order of their
// accounts. Between ranks, the account must be e's or have had less than it in all ranks
// together, and a request that is only owed a place goes before none that is more urgent.
func (d *dispatch) mayPrecede(a, e *entry) bool {
	switch c := a.flow.class; {
	case c == e.flow.class:
		return !e.flow.before(a.flow)
	case c.service != e.flow.class.service:
		// They don't share upstreams.
		return true
	case !a.pressing && c.compare(e.flow.class.classKey) > 0:
		return false
	default:
		return a.Account == e.Account || d.lead(e, a) > 0
	}
}

// lead returns how much more the account of e had than that of a, in their class or, if
// they are in different ones, in all.
func (d *dispatch) lead(e, a *entry) float64 {
	switch c := a.flow.class; {
	case c == e.flow.class:
		return e.flow.start - max(a.flow.start, c.virtual)
	case c.service != e.flow.class.service:
		return 0
	default:
		virtual := d.queue.usage(c.service).virtual
		return max(e.flow.usage.start, virtual) - max(a.flow.usage.start, virtual)
	}
}

// serveAlternate offers late requests that may take the place of e, until one is
// accepted. Within a class they go by account, as all requests do: one of an account
// that e's goes before takes no place of it, and another account that goes before has
// its request of the same key offered instead.
func (d *dispatch) serveAlternate(e *entry) {
	for _, a := range d.alternates {
		if a.served || a.declinedIn(d.queue.dispatches) || !d.mayPrecede(a, e) {
			continue
		}
		lead := d.lead(e, a)
		owed := a.flow.isOwed || lead >= owedLag
		// An account that had more than one that is owed places gets none of them.
		if !a.pressing && !owed || !a.mayAlternate(d.queue.regularLast) && !(owed && lead > 0) {
			continue
		}
		f := a.flow
		for _, g := range f.class.waiting {
			if g.before(f) {
				if o := g.first(a.key); o != nil {
					a, f = o, g
				}
			}
		}
		if d.offer(a, alternate) {
			d.sortAlternates()
			return
		}
	}
}

// sortAlternates orders the late requests that may take second places: by the account
// that was served least recently, then LatestStart.
func (d *dispatch) sortAlternates() {
	slices.SortStableFunc(d.alternates, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.flow.turn, b.flow.turn), a.LatestStart.Compare(b.LatestStart))
	})
}

// CountByKey adds the number of waiting requests by key to dst.
func (q *Queue) CountByKey(dst map[fleet.Key]int) {
	for k, s := range q.keys {
		dst[k] += s.waiting
	}
}
