package idle

import (
	"math"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Settings of a Policy. A zero field stands for its default.
	Settings struct {
		// ColdStartWeight of the deployment, in [0, 1].
		ColdStartWeight float64
		// WaitExchangeRate is the idle accelerator time, in seconds, that a
		// second of a caller's wait is worth at weight 0.5; default 10.
		WaitExchangeRate float64
		// WakeGrace is how long after a wake-at a replica is kept for its
		// first request; default 10 min.
		WakeGrace time.Duration
		// WakeLead is the time before a wake-at, in addition to the load time,
		// at which the load starts; default 5 s.
		WakeLead time.Duration
		// RecheckInterval is the longest time until Decide is called again for
		// a kept replica; default 1 min.
		RecheckInterval time.Duration
	}

	// Replica describes a replica for Decide.
	Replica struct {
		Model *declare.Model
		// Rank is 0 for the model's first replica in the view of the
		// caller, 1 for the second, …. The caller checks the idle replica with
		// the highest rank first.
		Rank int
		// Replicas is the number of loaded replicas.
		Replicas int
		// Active is the number of requests on this replica or waiting for the
		// model.
		Active int
		// IdleSince is when the last request ended.
		IdleSince time.Time
		// LoadTime is the time to load the replica again.
		LoadTime time.Duration
	}

	// Reason states why a Decision was made or a model is loaded ahead.
	Reason string

	// Decision is Keep or Unload.
	Decision interface{ decision() }

	// Keep states that the replica stays loaded.
	Keep struct {
		Reason Reason
		// Until is when Decide should be called again.
		Until time.Time
	}

	// Unload states that the replica is to be unloaded.
	Unload struct{ Reason Reason }

	// Policy decides on the replicas of all models by their histories.
	Policy struct {
		settings  Settings
		histories map[string]*history
	}
)

// Reasons of a Decision and of a load ahead of the first request.
const (
	InUse              Reason = "in-use"
	MinReplicas        Reason = "min-replicas"
	WakeAt             Reason = "wake-at"
	Recurrence         Reason = "recurrence"
	RequestExpected    Reason = "request-expected"
	ColdStartWeightOne Reason = "cold-start-weight-one"
	NotWorthwhile      Reason = "keeping-costs-more"
)

const (
	defaultWaitExchangeRate = 10 // seconds per second of a caller's wait
	defaultWakeGrace        = 10 * time.Minute
	defaultWakeLead         = 5 * time.Second
	defaultRecheckInterval  = time.Minute

	// minKeepSeconds is the shortest time for which a replica is kept. It also
	// limits how often Decide is called.
	minKeepSeconds = 0.05
	// minAcceleratorWeight is the least weight of accelerator time; it avoids
	// a division by zero.
	minAcceleratorWeight = 1e-9
)

var (
	_ Decision = Keep{}
	_ Decision = Unload{}
)

func (Keep) decision()   {}
func (Unload) decision() {}

// New returns a Policy without history.
func New(s Settings) *Policy {
	if s.WaitExchangeRate == 0 {
		s.WaitExchangeRate = defaultWaitExchangeRate
	}
	if s.WakeGrace == 0 {
		s.WakeGrace = defaultWakeGrace
	}
	if s.WakeLead == 0 {
		s.WakeLead = defaultWakeLead
	}
	if s.RecheckInterval == 0 {
		s.RecheckInterval = defaultRecheckInterval
	}
	return &Policy{settings: s, histories: map[string]*history{}}
}

// SetWeight replaces the cold-start weight.
func (p *Policy) SetWeight(w float64) { p.settings.ColdStartWeight = w }

// RecordBusy records that requests for model occupy n replicas from now on; n
// is 0 if no request runs or waits.
func (p *Policy) RecordBusy(now time.Time, model string, n int) {
	h := p.histories[model]
	if h == nil {
		h = &history{}
		p.histories[model] = h
	}
	h.recordBusy(now, n)
}

// Decide returns whether r stays loaded at now.
func (p *Policy) Decide(now time.Time, r Replica) Decision {
	recheck := now.Add(p.settings.RecheckInterval)
	switch {
	case r.Active > 0:
		return Keep{InUse, recheck}
	case r.Replicas <= r.Model.MinReplicas:
		return Keep{MinReplicas, recheck}
	case p.settings.ColdStartWeight >= 1:
		return Keep{ColdStartWeightOne, recheck}
	}
	if r.Rank == 0 {
		if reason, until := p.prewakeReason(now, r.Model, r.LoadTime); reason != "" {
			return Keep{reason, until}
		}
	}
	h := p.histories[r.Model.Name]
	keep := h.worthKeeping(now, r.Rank, max(now.Sub(r.IdleSince), 0).Seconds(), p.missCost(r.LoadTime))
	if keep < minKeepSeconds {
		return Unload{NotWorthwhile}
	}
	until := now.Add(time.Duration(keep * float64(time.Second)))
	if until.After(recheck) {
		until = recheck
	}
	return Keep{RequestExpected, until}
}

// PrewakeDue reports whether a model without a replica should be loaded at now,
// because its wake-at is near or a request recurs at this time of day.
func (p *Policy) PrewakeDue(now time.Time, m *declare.Model, load time.Duration) (Reason, bool) {
	reason, _ := p.prewakeReason(now, m, load)
	return reason, reason != ""
}

// waitPrice returns the idle accelerator time, in seconds, that a second of a
// caller's wait is worth.
func (p *Policy) waitPrice() float64 {
	w := p.settings.ColdStartWeight
	return p.settings.WaitExchangeRate * w / math.Max(1-w, minAcceleratorWeight)
}

// missCost returns the cost, in seconds of accelerator time, of a request that
// finds no replica.
func (p *Policy) missCost(load time.Duration) float64 {
	return load.Seconds() * (1 + p.waitPrice())
}

// prewakeReason returns why the model must be loaded at now even without a
// request, and until when. The reason is empty if there is none.
func (p *Policy) prewakeReason(now time.Time, m *declare.Model, load time.Duration) (Reason, time.Time) {
	day := now.UTC().Truncate(24 * time.Hour)
	for _, s := range m.WakeAt {
		t, err := time.Parse("15:04", s)
		if err != nil {
			continue // rejected by Validate
		}
		// The load for a wake-at just after midnight starts on the day before.
		for d := range 2 {
			at := day.Add(time.Duration(d)*24*time.Hour + time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute)
			if end := at.Add(p.settings.WakeGrace); !now.Before(at.Add(-load-p.settings.WakeLead)) && now.Before(end) {
				return WakeAt, end
			}
		}
	}
	if h := p.histories[m.Name]; h != nil {
		if until, ok := h.recurrence(now, load, p.waitPrice()); ok {
			return Recurrence, until
		}
	}
	return "", time.Time{}
}
