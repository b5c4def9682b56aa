package share

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// class is what waits for an engine with one urgency. A request that several engines
	// may run counts for a part at each.
	class struct {
		urgency
		// arrived counts the requests that began to wait, and granted those that were
		// granted a slot.
		arrived, granted flow
		// onTime and late are the requests that wait as of the last summary: those that
		// can still be on time and yield, those that yield to no other, and those that
		// are late.
		onTime, near, late float64
	}

	// flow counts events by an average that forgets.
	flow struct {
		at    time.Time
		count float64
	}
)

const (
	// maxClasses bounds the urgencies that are told apart at an engine. Less urgent ones
	// count as the last of them.
	maxClasses = 8
	// settleTime is the time for which an engine must have been contended before a request
	// is refused for want of its slots, so that a burst in calm refuses few: twice the
	// memory of the averages.
	settleTime = 2 * time.Second
	// horizon is the time beyond which the averages say nothing of what will be free: a
	// few of their memories. A request that may wait for longer isn't refused by them.
	horizon = 3 * time.Second
	// allowance is for chance in the averages: an engine ends some 20 requests in their
	// memory, give or take a fifth.
	allowance = 1.2
	// minLateSeconds is the time for which late requests must have waited, of the
	// averages' memory of a second, for their grants to be measured by it.
	minLateSeconds = 0.4
	// doubt is the factor by which the expected wait must exceed what is left of a
	// request's time for it to be refused: averages of some 20 requests don't tell more.
	doubt = 2
	// summaryTTL is the time for which a summary of what waits is used again.
	summaryTTL = 20 * time.Millisecond
)

// Refuse returns the requests of a daemon that wait and can't be served, and forgets them.
func (t *Table) Refuse(now time.Time, name string) (refusals []fleet.SlotRefusal) {
	d := t.daemons[name]
	if d == nil || len(d.requests) == 0 || now.Sub(t.beganAt) < warmUp {
		return nil
	}
	t.summarize(now)
	d.requests = slices.DeleteFunc(d.requests, func(r *request) bool {
		r.judge(now)
		in, can := t.forecast(now, r)
		if r.id == 0 || can {
			return false
		}
		refusals = append(refusals, fleet.SlotRefusal{ID: r.id, In: in})
		return true
	})
	return refusals
}

// summarize counts what waits for each contended engine.
func (t *Table) summarize(now time.Time) {
	if now.Sub(t.summarizedAt) < summaryTTL {
		return
	}
	passed := min(now.Sub(t.summarizedAt), endsMemory)
	t.summarizedAt = now
	for _, e := range t.contended {
		for i := range e.classes {
			c := &e.classes[i]
			if c.late > 0 {
				e.lateSeconds.add(now, passed.Seconds())
				break
			}
		}
		for i := range e.classes {
			c := &e.classes[i]
			c.onTime, c.late, c.near = 0, 0, 0
		}
	}
	for _, d := range t.daemons {
		for _, r := range d.requests {
			r.judge(now)
			for _, e := range r.engines {
				c, part := e.class(r.urgency), 1/float64(len(r.engines))
				switch {
				case r.isLate:
					c.late += part
				case r.isNear:
					c.near += part
				default:
					c.onTime += part
				}
			}
		}
	}
}

// forecast reports whether a request can be served, and if not, in which time it could be,
// 0 if that isn't known. It judges by what goes before the request now, and by what the
// engines do beside the requests that will go before it.
func (t *Table) forecast(now time.Time, r *request) (in time.Duration, can bool) {
	// perSecond is what the engines end in a second, urgent what arrives that always goes
	// before this one, and rest what is left for late ones.
	perSecond, urgent, rest := 0.0, 0.0, 0.0
	onTime, near, late, served := 0.0, 0.0, 1.0, 0.0
	for _, e := range r.engines {
		took := e.ends.duration(now, e.total).Seconds()
		if !e.isContended || took <= 0 || now.Sub(e.ends.since) < settleTime {
			return 0, true
		}
		all, ends := 0.0, float64(t.slots[e.id])/took
		perSecond += ends
		for i := range e.classes {
			c := &e.classes[i]
			arrives := c.arrived.perSecond(now, e.ends.since)
			all += arrives
			late += c.late
			near += c.near
			switch order := c.compare(r.urgency); {
			case r.isNear:
				onTime += c.onTime
			case order < 0:
				onTime += c.onTime
				urgent += arrives
			case order == 0:
				onTime += c.onTime * min(max(r.slack, 0), 1)
				served += c.granted.perSecond(now, e.ends.since)
			}
		}
		rest += e.forLate(now, max(allowance*ends-all, 0))
	}
	// Both take every second place while both wait.
	ahead := onTime + min(near, onTime+1)
	if r.isNear {
		near *= r.slack / nearPart
		ahead = near + min(onTime, near+1)
	}
	left, until := r.onTime.Sub(now), r.until.Sub(now)
	if len(r.engines) == 0 {
		return 0, true
	}
	if !r.isLate {
		switch {
		case perSecond > urgent && seconds(ahead/(perSecond-urgent)) <= left:
			return 0, true
		case r.within >= patience && !r.isNear && (served <= 0 || seconds(ahead/served) <= until):
			// It yields as yet.
			return 0, true
		}
	}
	if rest > 0 {
		in = max(left, 0) + seconds(late/rest)
		return in, in <= doubt*until || until > horizon
	}
	return 0, until > horizon
}

// forLate returns the number of late requests that get slots in a second while some wait:
// what was measured if they have waited for most of the memory of the averages, where one
// more grant is allowed for chance, or what is expected.
func (e *engine) forLate(now time.Time, expected float64) float64 {
	waited := e.lateSeconds.count * forget(now, e.lateSeconds.at)
	if waited < minLateSeconds {
		return expected
	}
	return (e.lateGranted.count*forget(now, e.lateGranted.at) + 1) / waited
}

// seconds returns a number of seconds as a time, within bounds.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

// class returns that of an urgency.
func (e *engine) class(u urgency) *class {
	i, found := slices.BinarySearchFunc(e.classes, u, func(c class, u urgency) int { return c.compare(u) })
	switch {
	case found:
	case len(e.classes) < maxClasses:
		e.classes = slices.Insert(e.classes, i, class{urgency: u})
	default:
		i = min(i, maxClasses-1)
	}
	return &e.classes[i]
}

// add counts an event.
func (f *flow) add(now time.Time, n float64) {
	f.count = f.count*forget(now, f.at) + n
	f.at = now
}

// perSecond returns the events in a second if counting began at since.
func (f *flow) perSecond(now, since time.Time) float64 {
	if f.at.IsZero() || !now.After(since) {
		return 0
	}
	return f.count * forget(now, f.at) / (endsMemory.Seconds() * (1 - forget(now, since)))
}
