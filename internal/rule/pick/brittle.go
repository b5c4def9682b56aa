package pick

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// brittleness is what the last response that said something of it has said: that
	// the upstream fails once it has to turn more than maxRejections requests a second
	// away.
	brittleness struct {
		// at is when the response was read, zero if there was none.
		at            time.Time
		brittle       bool
		maxRejections int
	}

	// spacing keeps the requests of a daemon apart in time, at random, so that those of
	// many daemons that begin to send at the same moment don't arrive together.
	spacing struct {
		// mean is the mean time between two requests.
		mean time.Duration
		// nextAt is when the next one may be sent, and askedAt when one was last to be.
		nextAt, askedAt time.Time
	}
)

const (
	// brittleUse is the share of a brittle upstream's slots that the daemons use
	// together; the rest is for what they don't know of each other. Where a daemon's
	// part is less than a slot, chance decides how many requests meet, and
	// brittleSharedUse applies.
	brittleUse       = 0.7
	brittleSharedUse = 0.4
	// newsLag is the time after which a daemon knows of the others' requests.
	newsLag = 300 * time.Millisecond
	// assumedRunTime is the time that a request to a plain service takes until one has
	// been measured.
	assumedRunTime = 50 * time.Millisecond
	// minRejectedPause and maxRejectedPause bound the time for which a daemon sends
	// nothing to a brittle upstream that has turned a request away.
	minRejectedPause = 250 * time.Millisecond
	maxRejectedPause = 4 * time.Second
)

// noticeBrittle takes over whether an upstream is brittle, as the response to a request
// that was sent at sent says.
func (t *Table) noticeBrittle(now, sent time.Time, u *upstream, n fleet.Notice) (news bool) {
	if !n.Brittle && sent.Before(u.brittleness.at) {
		// Responses may overtake each other.
		return false
	}
	news = t.brittle(u) != n.Brittle
	b := brittleness{now, n.Brittle, n.MaxRejections}
	u.brittleness, t.brittleServices[u.info.Service] = b, b
	if n.Brittle && n.Full {
		// Of all daemons together, maxRejections may be turned away each second.
		d := time.Duration(float64(t.daemons) / float64(max(n.MaxRejections, 1)) * float64(time.Second))
		d = min(max(d, minRejectedPause), maxRejectedPause)
		u.pausedUntil = later(u.pausedUntil, now.Add(d*3/4+time.Duration(t.rng.Int64N(int64(d/2)))))
	}
	return news
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// brittle reports whether an upstream is brittle: one that hasn't answered yet is what
// the last answer of its service said.
func (t *Table) brittle(u *upstream) bool {
	if !u.brittleness.at.IsZero() {
		return u.brittleness.brittle
	}
	return t.brittleServices[u.info.Service].brittle
}

// brittleAllows reports whether a brittle upstream has room for another request of this
// daemon, so that it need not turn one away.
//
// Streams of an engine last longer than news of the other daemons' requests take, so
// these are counted, and each daemon takes its part of the room that is left. Requests to
// a plain service are over before. Each daemon has its part of the slots, and where that is
// less than one, its part of what the service can do in a time.
func (t *Table) brittleAllows(now time.Time, u *upstream) bool {
	slots := float64(t.concurrency(u))
	part := brittleUse * slots / float64(t.daemons)
	switch {
	case t.slots[u.info.Service] > 0:
		return t.engineRoom(now, u, brittleUse*slots) >= 1
	case part >= 1:
		return float64(u.localRunning)+1 <= part
	}
	return u.localRunning == 0 && t.mayFollow(now, u.info.Service)
}

// engineRoom returns the number of requests that this daemon may still send to a brittle
// engine before it knows of what the others have sent: its part of the room that was left
// at the last draw, where chance decides about a part of less than one.
func (t *Table) engineRoom(now time.Time, u *upstream, usable float64) int {
	if age := now.Sub(u.drawnAt); age >= newsLag {
		part := max(usable-float64(u.localRunning+u.remoteRunning), 0) / float64(t.daemons)
		u.room = int(part + t.rng.Float64())
		u.drawnAt = now
	}
	return u.room
}

// brittleLoad returns the load by which a brittle upstream is compared with others. For a
// plain service it leaves out what is known of the other daemons' requests, which have
// ended since: all daemons would send to the upstream that had the fewest.
func (t *Table) brittleLoad(u *upstream) float64 {
	if t.slots[u.info.Service] > 0 {
		return t.load(u)
	}
	return float64(u.localRunning) / float64(t.concurrency(u))
}

// mayFollow reports whether this daemon may send the next request to a brittle plain
// service of which it has less than a slot at each upstream.
func (t *Table) mayFollow(now time.Time, service string) bool {
	slots, runTime, measured := 0, 0.0, 0
	for _, u := range t.byService[service] {
		if u.leaving() || u.paused(now) {
			continue
		}
		slots += t.concurrency(u)
		if u.firstByteSeconds > 0 {
			runTime, measured = runTime+u.firstByteSeconds, measured+1
		}
	}
	if measured == 0 {
		runTime, measured = assumedRunTime.Seconds(), 1
	}
	p := t.spacings[service]
	if p == nil {
		p = &spacing{}
		t.spacings[service] = p
	}
	perSecond := brittleSharedUse * float64(slots) / float64(t.daemons) / (runTime / float64(measured))
	p.mean = time.Duration(float64(time.Second) / perSecond)
	if now.Sub(p.askedAt) > 2*p.mean {
		p.nextAt = now.Add(time.Duration(t.rng.Float64() * float64(p.mean)))
	}
	p.askedAt = now
	return !now.Before(p.nextAt)
}

// follow counts a request that is sent to a brittle upstream.
func (t *Table) follow(now time.Time, u *upstream) {
	u.room--
	if p := t.spacings[u.info.Service]; p != nil {
		p.nextAt = now.Add(time.Duration((0.5 + t.rng.Float64()) * float64(p.mean)))
	}
}
