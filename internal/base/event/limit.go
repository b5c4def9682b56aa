package event

import (
	"sync"
	"time"
)

type (
	// limiter limits the rate of lines with a token bucket for each event, and those of
	// an event with a limit of its own in addition.
	limiter struct {
		mu sync.Mutex
		// perSecond is the rate, 0 for no limit.
		perSecond float64
		now       func() time.Time
		// buckets holds the buckets by event number.
		buckets map[int]*bucket
		// omitted is called with what isn't logged, nil if nobody counts it.
		omitted func(name string, n int)
	}

	bucket struct {
		tokens   float64
		refilled time.Time
		// written are the times of the last lines of an event with a limit of its own,
		// in a ring of as many; next is the place of the oldest.
		written []time.Time
		next    int
		// dropped counts the lines that were dropped and not yet reported.
		dropped  int
		reported time.Time
	}
)

const (
	// burstSeconds is the capacity of a bucket, in seconds at the rate.
	burstSeconds = 2
	// minReportInterval is the minimum time between two lines that report
	// dropped lines of an event.
	minReportInterval = time.Second
)

var limits limiter

// CountOmitted has f called with the name of an event and the number of lines that the limits
// suppressed, or of things that a line summed up without naming them. f must not log.
func CountOmitted(f func(name string, n int)) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	limits.omitted = f
}

// SetRateLimit limits the lines of each event to perSecond, with bursts of
// burstSeconds at that rate. Zero removes this limit; an event's own limit (PerSecond) holds
// in either case. A LinesDropped line reports how many lines of an event were dropped.
func SetRateLimit(perSecond float64, now func() time.Time) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	limits.perSecond, limits.buckets, limits.now = perSecond, map[int]*bucket{}, now
}

// allowNow is allow at the present time.
func (l *limiter) allowNow(e *Event) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond == 0 && e.PerSecond == 0 {
		return true, 0
	}
	now := time.Now
	if l.now != nil {
		now = l.now
	}
	return l.allow(now(), e)
}

// allow reports whether a line of the event may be written at now, and how many
// dropped lines must be reported first. l.mu must be held.
func (l *limiter) allow(now time.Time, e *Event) (ok bool, dropped int) {
	b := l.buckets[e.Number]
	if b == nil {
		b = &bucket{tokens: burstSeconds * l.perSecond, refilled: now, written: make([]time.Time, e.PerSecond)}
		if l.buckets == nil {
			l.buckets = map[int]*bucket{}
		}
		l.buckets[e.Number] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.refilled).Seconds()*l.perSecond, burstSeconds*l.perSecond)
	b.refilled = now
	if l.perSecond > 0 && b.tokens < 1 || !b.inTime(now) {
		b.dropped++
		l.omit(e, 1)
		return false, 0
	}
	b.tokens--
	if b.dropped > 0 && now.Sub(b.reported) >= minReportInterval {
		dropped, b.dropped, b.reported = b.dropped, 0, now
	}
	return true, dropped
}

// inTime reports whether a second has passed since the line after which the event's own limit
// was reached, and records another line if so.
func (b *bucket) inTime(now time.Time) bool {
	if len(b.written) == 0 {
		return true
	}
	if last := b.written[b.next]; !last.IsZero() && now.Sub(last) < time.Second {
		return false
	}
	b.written[b.next] = now
	b.next = (b.next + 1) % len(b.written)
	return true
}

// omit counts what isn't logged of an event. l.mu must be held.
func (l *limiter) omit(e *Event, n int) {
	if l.omitted != nil {
		l.omitted(e.Name, n)
	}
}
