package event

import (
	"sync"
	"time"
)

// limiter bounds the lines of each event by a token bucket.
type limiter struct {
	mu        sync.Mutex
	perSecond float64
	buckets   map[int]*bucket
}

type bucket struct {
	tokens  float64
	at      time.Time
	dropped int
	told    time.Time
}

// tellDropped is the least time between two lines that count dropped ones.
const tellDropped = time.Second

var limits limiter

// Limit bounds the lines of each event to perSecond, with bursts of twice that.
// Zero lifts the limit. What is dropped is counted by a line of its own.
func SetRateLimit(perSecond float64) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	limits.perSecond, limits.buckets = perSecond, map[int]*bucket{}
}

// allow reports whether a line of the event may be written at now, and how many
// dropped lines must be told of first.
func (l *limiter) allow(now time.Time, number int) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond == 0 {
		return true, 0
	}
	b := l.buckets[number]
	if b == nil {
		b = &bucket{tokens: 2 * l.perSecond, at: now}
		l.buckets[number] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*l.perSecond, 2*l.perSecond)
	b.at = now
	if b.tokens < 1 {
		b.dropped++
		return false, 0
	}
	b.tokens--
	if b.dropped > 0 && now.Sub(b.told) >= tellDropped {
		dropped, b.dropped, b.told = b.dropped, 0, now
	}
	return true, dropped
}
