package share

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// group is a part of the requests that wait.
type group uint8

// Groups, in the order in which sort places them.
const (
	// nearGroup are patient requests that yield to no other.
	nearGroup group = iota
	// onTimeGroup are the others that can still be on time.
	onTimeGroup
	lateGroup
)

// Allocate grants the slots that are free, and returns the daemons that were granted some.
func (t *Table) Allocate(now time.Time) (names []string) {
	if now.Sub(t.beganAt) < warmUp || now.Sub(t.allocatedAt) < min(time.Duration(t.asked)*gapPerRequest, maxAllocationGap) {
		return nil
	}
	t.allocatedAt, t.asked = now, 0
	for _, d := range t.daemons {
		t.dropGrants(d, func(g *grant) bool { return now.Sub(g.at) > grantTTL })
		t.asked += len(d.requests)
	}
	if t.asked == 0 || !t.measure(now) {
		return nil
	}
	t.waiting = t.waiting[:0]
	for _, d := range t.daemons {
		for _, r := range d.requests {
			if r.freest() != nil {
				r.judge(now)
				t.waiting = append(t.waiting, r)
			}
		}
	}
	if len(t.waiting) == 0 {
		return nil
	}
	t.order()
	for _, r := range t.ordered {
		e := r.freest()
		if e == nil {
			continue
		}
		t.grant(now, r, e)
		if !r.isLate {
			t.nearLast = r.isNear
		}
		if !slices.Contains(names, r.daemon.name) {
			names = append(names, r.daemon.name)
		}
	}
	return names
}

// grant grants a slot of an engine for a request.
func (t *Table) grant(now time.Time, r *request, e *engine) {
	t.granted++
	e.granted++
	e.free--
	if r.isLate {
		e.lateGranted.add(now, 1)
	}
	for _, o := range r.engines {
		o.class(r.urgency).granted.add(now, 1/float64(len(r.engines)))
	}
	d := r.daemon
	d.grants = append(d.grants, grant{SlotGrant: fleet.SlotGrant{Number: t.granted, Engine: e.id}, key: r.key, at: now})
	d.requests = slices.DeleteFunc(d.requests, func(o *request) bool { return o == r })
}

// measure sets the room of the contended engines, and reports whether one has any.
func (t *Table) measure(now time.Time) (free bool) {
	for _, e := range t.contended {
		e.free = t.room(now, e)
		free = free || e.free >= 1
	}
	return free
}

// freest returns the contended engine with the most room of those that may run the request,
// nil if none has room.
func (r *request) freest() (best *engine) {
	most := 1.0
	for _, e := range r.engines {
		if e.isContended && (best == nil && e.free >= most || e.free > most) {
			best, most = e, e.free
		}
	}
	return best
}

// judge sets what is as of now.
func (r *request) judge(now time.Time) {
	left := r.onTime.Sub(now)
	r.isLate = left < 0
	r.slack = float64(left) / float64(max(r.within, time.Millisecond))
	r.isNear = !r.isLate && r.within >= patience && r.slack <= nearPart
}

// order sorts the waiting requests: those that can still be on time first, by rank, and
// beneath that by the part of their time that is left. A patient one leaves slots to more
// urgent ones as long as it has time for that, and then takes every second place.
func (t *Table) order() {
	slices.SortFunc(t.waiting, func(r, o *request) int {
		if r.group() != o.group() {
			return cmp.Compare(r.group(), o.group())
		}
		byRank := 0
		if !r.isNear {
			byRank = r.urgency.compare(o.urgency)
		}
		return cmp.Or(byRank, cmp.Compare(r.slack, o.slack), cmp.Compare(r.daemon.name, o.daemon.name))
	})
	nears := t.waiting[:sort.Search(len(t.waiting), func(i int) bool { return t.waiting[i].group() > nearGroup })]
	others := t.waiting[len(nears):sort.Search(len(t.waiting), func(i int) bool { return t.waiting[i].group() > onTimeGroup })]
	t.ordered = t.ordered[:0]
	for nearLast := t.nearLast; len(nears)+len(others) > 0; {
		if nearLast = len(nears) > 0 && (!nearLast || len(others) == 0); nearLast {
			t.ordered, nears = append(t.ordered, nears[0]), nears[1:]
		} else {
			t.ordered, others = append(t.ordered, others[0]), others[1:]
		}
	}
	t.ordered = append(t.ordered, t.waiting[len(t.ordered):]...)
}

// group returns which requests one belongs to in the order of grants.
func (r *request) group() group {
	switch {
	case r.isLate:
		return lateGroup
	case r.isNear:
		return nearGroup
	}
	return onTimeGroup
}

// compare orders urgencies, the most urgent first.
func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.account, o.account), cmp.Compare(u.route, o.route))
}

// room returns the number of requests that an engine has room for.
func (t *Table) room(now time.Time, e *engine) float64 {
	slots := float64(t.slots[e.id])
	return slots + t.headroom(now, e) - t.inProgress(now, e) - float64(e.granted) - math.Floor(e.foreign)
}

// headroom returns the number of requests that an engine gets beyond its slots. A part of
// one counts as a whole one by chance.
func (t *Table) headroom(now time.Time, e *engine) float64 {
	took := e.ends.duration(now, e.total)
	if took <= 0 || turnaround.Seconds() < maxIdle*took.Seconds() {
		return 0
	}
	if e.hasEnded {
		e.draw, e.hasEnded = t.rng.Float64(), false
	}
	return math.Floor(min(e.ends.perSecond(now)*turnaround.Seconds(), maxHeadroom*float64(t.slots[e.id])) + e.draw)
}

// inProgress returns the requests that are in progress at now: daemons report the end of a
// request at a contended engine at once. Those of a daemon that reports no more are taken to
// end as others did.
func (t *Table) inProgress(now time.Time, e *engine) (n float64) {
	took := e.ends.duration(now, e.total)
	if took <= 0 {
		return float64(e.total)
	}
	interval := max(reportInterval, time.Duration(len(t.daemons))*reportPerDaemon)
	missed := time.Duration(missedPart * float64(interval))
	for d, running := range e.running {
		silent := max(now.Sub(d.at)-missed, 0)
		n += float64(running) * max(1-float64(silent)/float64(took), 0)
	}
	return n
}
