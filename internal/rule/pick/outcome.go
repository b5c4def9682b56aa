package pick

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// Start records that a request is sent to an upstream.
func (t *Table) Start(now time.Time, id string, k fleet.Key) {
	if u := t.upstreams[id]; u != nil {
		t.limits.Take(now, u.info)
		t.sent(u)
		u.localRunning++
		if t.brittle(u) {
			t.follow(now, u)
		}
		u.running[k]++
		if u.suspect() {
			u.probes++
		}
	}
}

// Finish records the outcome of a request that was counted by Start. firstByte
// is the time to the first byte of the response, 0 if there was none.
func (t *Table) Finish(now time.Time, up fleet.Upstream, k fleet.Key, o Outcome, firstByte time.Duration) {
	u := t.find(up)
	if u == nil {
		return
	}
	u.localRunning = max(u.localRunning-1, 0)
	if u.running[k]--; u.running[k] <= 0 {
		delete(u.running, k)
	}
	u.probes = max(u.probes-1, 0)
	t.ended(now, u, o, firstByte)
	if firstByte > 0 {
		u.firstByteSeconds = ewma(u.firstByteSeconds, firstByte.Seconds())
	}
	switch {
	case o == Inconclusive || o == GivenUp:
	case o != ConnectFailed:
		u.unconnectedAt = time.Time{}
	case u.unconnectedAt.IsZero():
		u.unconnectedAt = now
	}
	switch o {
	case Succeeded:
		u.consecutiveFailures, u.ejectedUntil = 0, time.Time{}
		u.silentSince, u.silentUntil = time.Time{}, time.Time{}
		u.errorRate -= ewmaWeight * u.errorRate
	case Failed:
		u.errorRate += ewmaWeight * (1 - u.errorRate)
	case Interrupted:
		u.errorRate += ewmaWeight * (1 - u.errorRate)
		u.consecutiveFailures++
		if u.consecutiveFailures >= interruptionLimit {
			u.eject(now)
		}
	case ConnectFailed:
		u.consecutiveFailures++
		u.eject(now)
	}
}

// ewma returns the exponentially weighted moving average after a new sample;
// the first sample is taken as it is.
func ewma(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + ewmaWeight*(sample-old)
}

// eject excludes the upstream from the preferred candidates, with exponential
// backoff in its consecutive failures.
func (u *upstream) eject(now time.Time) {
	d := min(minEjection<<min(u.consecutiveFailures-1, maxEjectionDoublings), maxEjection)
	if until := now.Add(d); until.After(u.ejectedUntil) {
		u.ejectedUntil = until
	}
}

// Silent records that an upstream has sent nothing of a response since a time. It is
// ejected for as long as its silence has lasted, unless it has sent something of
// another response within minSilence.
func (t *Table) Silent(now time.Time, up fleet.Upstream, since time.Time) {
	u := t.find(up)
	if u == nil {
		return
	}
	if u.heardAt.After(since) {
		since = u.heardAt
	}
	if now.Sub(since) < minSilence {
		return
	}
	if u.silentSince.IsZero() || since.Before(u.silentSince) {
		u.silentSince = since
	}
	u.silentUntil = now.Add(min(now.Sub(u.silentSince), maxEjection))
}

// Heard records that an upstream has sent a part of a response, and reports whether
// that ended a silence.
func (t *Table) Heard(now time.Time, up fleet.Upstream) bool {
	u := t.find(up)
	if u == nil {
		return false
	}
	ended := !u.silentSince.IsZero()
	u.unconnectedAt = time.Time{}
	u.heardAt, u.silentSince, u.silentUntil = now, time.Time{}, time.Time{}
	return ended
}

// ejected reports whether the upstream is excluded from the preferred candidates.
func (u *upstream) ejected(now time.Time) bool {
	return now.Before(u.ejectedUntil) || now.Before(u.silentUntil)
}

// suspect reports whether the upstream has failed, or been silent, and not succeeded
// since.
func (u *upstream) suspect() bool { return u.consecutiveFailures > 0 || !u.silentSince.IsZero() }

// MarkMissing records that an engine answered that it lacks a model or adapter. Others
// than those that it has reported as loaded are ignored: callers choose their names.
func (t *Table) MarkMissing(now time.Time, id string, k fleet.Key) {
	u := t.upstreams[id]
	if u == nil {
		return
	}
	if adapters, loaded := u.models[k.Model]; loaded && (k.Adapter == "" || adapters[k.Adapter]) {
		u.missing[fleet.ModelName(k.Model, k.Adapter)] = now
	}
}
