package share

import (
	"math"
	"time"
)

// ends measures the requests that end at an engine, and the time that they take its
// slots, by averages that forget.
type ends struct {
	at, since      time.Time
	count, seconds float64
}

// advance lets the averages forget, and counts the time since the last call for a number of
// requests in progress.
func (m *ends) advance(now time.Time, running int) {
	if m.at.IsZero() {
		m.at, m.since = now, now
	}
	passed := now.Sub(m.at)
	if passed <= 0 {
		return
	}
	kept := forget(now, m.at)
	m.count *= kept
	m.seconds = m.seconds*kept + float64(running)*passed.Seconds()
	m.at = now
}

// perSecond returns the requests that end in a second.
func (m *ends) perSecond(now time.Time) float64 {
	if m.at.IsZero() || !now.After(m.since) {
		return 0
	}
	return m.count * forget(now, m.at) / (endsMemory.Seconds() * (1 - forget(now, m.since)))
}

// duration returns the mean time that a request takes a slot, 0 if none has ended.
func (m *ends) duration(now time.Time, running int) time.Duration {
	if m.count <= 0 {
		return 0
	}
	seconds := m.seconds + float64(running)*now.Sub(m.at).Seconds()
	return time.Duration(seconds / m.count * float64(time.Second))
}

// forget returns the part of what was counted at a time that still counts at now.
func forget(now, at time.Time) float64 {
	return math.Exp(-max(now.Sub(at).Seconds(), 0) / endsMemory.Seconds())
}
