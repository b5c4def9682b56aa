package pick

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// Began counts a request as sent.
func (t *Table) Start(id string, k fleet.Key) {
	if s := t.ups[id]; s != nil {
		s.own++
		s.running[k]++
		if s.fails > 0 {
			s.trial++
		}
	}
}

// Ended takes over how a request ended that was counted by Began. first is the
// time to the first byte of the answer, 0 if there was none.
func (t *Table) Finish(now time.Time, up fleet.Upstream, k fleet.Key, end Outcome, first time.Duration) {
	s := t.ups[up.ID]
	if s == nil || s.up.Born != up.Born {
		return
	}
	s.own = max(s.own-1, 0)
	if s.running[k]--; s.running[k] <= 0 {
		delete(s.running, k)
	}
	s.trial = max(s.trial-1, 0)
	if first > 0 {
		s.slow = smooth(s.slow, first.Seconds())
	}
	switch end {
	case Succeeded:
		s.fails, s.aside = 0, time.Time{}
		s.errors -= smoothing * s.errors
	case Failed:
		s.errors += smoothing * (1 - s.errors)
	case Interrupted:
		s.errors += smoothing * (1 - s.errors)
		s.fails++
		if s.fails >= brokenLimit {
			s.setAside(now)
		}
	case ConnectFailed:
		s.fails++
		s.setAside(now)
	}
}

func smooth(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + smoothing*(v-old)
}

func (s *state) setAside(now time.Time) {
	d := min(firstAside<<min(s.fails-1, 5), lastAside)
	if until := now.Add(d); until.After(s.aside) {
		s.aside = until
	}
}

// Missing takes over that an engine lacks a model or adapter.
func (t *Table) MarkMissing(now time.Time, id string, k fleet.Key) {
	if s := t.ups[id]; s != nil {
		s.missing[fleet.ModelName(k.Model, k.Adapter)] = now
	}
}
