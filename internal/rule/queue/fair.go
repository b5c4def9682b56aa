package queue

import (
	"cmp"
	"maps"
	"slices"
	"sort"
)

type (
	// classKey identifies requests of equal urgency that share upstreams.
	classKey struct {
		accountRank, rank int
		service           string
	}

	// class orders the accounts of a classKey by start-time fair queueing (Goyal,
	// Vin and Cheng, 1996, section 2): the account whose next request has the
	// smallest start goes first, and a service moves its next start on by the
	// request's step.
	class struct {
		classKey
		// virtual is the largest start that has been served.
		virtual float64
		flows   map[string]*flow
		// waiting are the flows with items, in no order.
		waiting []*flow
	}

	// flow is what a class knows of one account. It is dropped once it has no items
	// and its start is no later than the virtual time, or there are maxIdleFlows.
	flow struct {
		class   *class
		account string
		start   float64
		// turn is the number of the flow's last service, or of its creation.
		turn uint64
		// isOwed is set if its late requests took second places at the beginning
		// of the Dispatch.
		isOwed bool
		// usage is the account's while it has requests waiting.
		usage *accountUsage
		// items are ordered by LatestStart.
		items []*entry
	}

	// usage orders the accounts of a service by what they had in all classes, as a
	// class does.
	usage struct {
		virtual  float64
		accounts map[string]*accountUsage
	}

	// accountUsage is an account's start and the number of its waiting requests.
	accountUsage struct {
		start   float64
		waiting int
	}

	// entry is an Item in its flow.
	entry struct {
		*Item
		flow *flow
		key  *keyState
		// late and pressing are as of the present Dispatch.
		late, pressing, served bool
	}

	// keyState is what is known of a key for which requests wait.
	keyState struct {
		waiting int
		// declined is the number of the last Dispatch that declined the key.
		declined uint64
		last     service
		// shared is set if the holder grants the key's places, as of the Dispatch
		// judged.
		shared bool
		judged uint64
	}

	// service is how the last request of a key was chosen.
	service uint8
)

const (
	// maxCost and maxWeight bound what one request counts for and the weight of an
	// account, and 1/maxWeight does that from below, so that a large request or a
	// small weight doesn't keep an account out for long.
	maxCost   = 8
	maxWeight = 2
	// owedLag is the lag of an account's start behind the virtual time, in costs,
	// from which its late requests take every second place, as pressing ones do.
	owedLag = 4
	// maxIdleFlows is the number of accounts without waiting requests that a class
	// remembers, about 100 bytes each.
	maxIdleFlows = 256
)

// Ways in which a request is chosen.
const (
	none service = iota
	// regular: in the order of service.
	regular
	// alternate: as a late request that took a second place.
	alternate
)

// step returns by how much a request moves its account's start on.
func (it *Item) step() float64 {
	cost, weight := it.Cost, it.Weight
	if weight == 0 {
		weight = 1
	}
	return min(max(cost, 1), maxCost) / min(max(weight, 1.0/maxWeight), maxWeight)
}

// compare orders classes: the most urgent first.
func (k classKey) compare(o classKey) int {
	return cmp.Or(cmp.Compare(k.accountRank, o.accountRank), cmp.Compare(k.rank, o.rank), cmp.Compare(k.service, o.service))
}

// before reports whether f goes before g of the same class. What a flow lags behind the
// virtual time isn't made up, so that one whose upstreams were full takes no series of
// places later; of such flows the one served least recently goes first.
func (f *flow) before(g *flow) bool {
	if a, b := max(f.start, f.class.virtual), max(g.start, g.class.virtual); a != b {
		return a < b
	}
	return f.turn < g.turn
}

// owed reports whether the account has had less than others of its class for so long
// that its late requests take every second place.
func (f *flow) owed() bool { return f.start+owedLag <= f.class.virtual }

// charge counts the service of an item.
func (f *flow) charge(it *Item, turn uint64) {
	f.class.virtual = max(f.start, f.class.virtual)
	f.start, f.turn = f.class.virtual+it.step(), turn
}

// of returns what is known of an account.
func (u *usage) of(account string) *accountUsage {
	a := u.accounts[account]
	if a == nil {
		a = &accountUsage{start: u.virtual}
		u.accounts[account] = a
	}
	return a
}

// add counts a request that begins to wait.
func (u *usage) add(account string) *accountUsage {
	a := u.of(account)
	if a.waiting++; a.waiting == 1 {
		a.start = max(a.start, u.virtual)
	}
	return a
}

// remove counts a request that waits no more, and forgets accounts as a class does.
func (u *usage) remove(account string) {
	u.of(account).waiting--
	idle := func(_ string, a *accountUsage) bool { return a.waiting == 0 && a.start <= u.virtual }
	if len(u.accounts) <= maxIdleFlows {
		return
	}
	maps.DeleteFunc(u.accounts, idle)
	if len(u.accounts) <= maxIdleFlows {
		return
	}
	for _, a := range u.accounts {
		if a.waiting == 0 {
			u.virtual = max(u.virtual, a.start)
		}
	}
	maps.DeleteFunc(u.accounts, idle)
}

// start returns an account's start.
func (u *usage) start(account string) float64 { return max(u.of(account).start, u.virtual) }

// charge counts the service of an item.
func (u *usage) charge(it *Item) {
	u.virtual = u.start(it.Account)
	u.of(it.Account).start = u.virtual + it.step()
}

// lastStart returns the latest start of an account with waiting requests.
func (u *usage) lastStart() (last float64) {
	for _, a := range u.accounts {
		if a.waiting > 0 {
			last = max(last, a.start)
		}
	}
	return last
}

// add inserts an item in the order of LatestStart.
func (f *flow) add(e *entry) {
	if len(f.items) == 0 {
		f.start = max(f.start, f.class.virtual)
		f.class.waiting = append(f.class.waiting, f)
	}
	i := sort.Search(len(f.items), func(i int) bool { return e.LatestStart.Before(f.items[i].LatestStart) })
	f.items = slices.Insert(f.items, i, e)
}

// lastStart returns the latest start of an account with waiting requests.
func (c *class) lastStart() (last float64) {
	for _, f := range c.waiting {
		last = max(last, f.start)
	}
	return last
}

// prune drops served items and the flows that need not be remembered. It reports
// whether the class may be dropped.
func (c *class) prune() bool {
	for _, f := range c.waiting {
		f.items = slices.DeleteFunc(f.items, func(e *entry) bool { return e.served })
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(f *flow) bool { return len(f.items) == 0 })
	if len(c.waiting) == 0 {
		return true
	}
	if len(c.flows)-len(c.waiting) > maxIdleFlows {
		// The virtual time may be too late, but accounts that wait lose nothing:
		// none of those forgotten goes before them when it returns.
		for _, f := range c.flows {
			if len(f.items) == 0 {
				c.virtual = max(c.virtual, f.start)
			}
		}
	}
	for account, f := range c.flows {
		if len(f.items) == 0 && f.start <= c.virtual {
			delete(c.flows, account)
		}
	}
	return false
}

// first returns the first entry of a key, a punctual one if there is one; nil if there
// is none.
func (f *flow) first(k *keyState) (e *entry) {
	for _, o := range f.items {
		switch {
		case o.key != k || o.served:
		case !o.late:
			return o
		case e == nil:
			e = o
		}
	}
	return e
}

// declinedIn reports whether the entry's key was declined in a Dispatch.
func (e *entry) declinedIn(dispatch uint64) bool { return e.key.declined == dispatch }

// mayAlternate reports whether a late request may take a second place: after a regular
// service of its key, or of any key if it is the first of its own.
func (e *entry) mayAlternate(regularLast bool) bool {
	return e.key.last == regular || e.key.last == none && regularLast
}

// keyOf returns the class that an item belongs to.
func keyOf(it *Item) classKey { return classKey{it.AccountRank, it.Rank, it.Key.Service} }
