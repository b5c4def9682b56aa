package idle

import (
	"math"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Settings tune a Keeper. A zero field stands for its default.
	Settings struct {
		// ColdStartWeight of the deployment, in [0, 1].
		ColdStartWeight float64
		// Rate is the idle accelerator time that a second of a caller's
		// wait is worth at weight 0.5; default 10 s.
		WaitExchangeRate float64
		// WakeGrace is how long after a wake-at a replica is kept for its
		// first request; default 10 min.
		WakeGrace time.Duration
		// WakeLead is the reserve beyond the load time before a wake-at;
		// default 5 s.
		WakeLead time.Duration
		// Recheck bounds the time until a kept replica is looked at again;
		// default 1 min.
		RecheckInterval time.Duration
	}

	// Replica is what Decide is asked about.
	Replica struct {
		Model *declare.Model
		// Rank is 0 for the model's first replica in the view of the
		// caller, 1 for the second, …; the caller asks about the idle
		// replica with the highest rank first.
		Rank int
		// Replicas that are loaded.
		Replicas int
		// Active requests on this replica, or waiting for the model.
		Active int
		// IdleSince is when the last one ended.
		IdleSince time.Time
		// Load is the time to load it again.
		LoadTime time.Duration
	}

	// Reason explains a Verdict.
	Reason string

	// Verdict is Keep or Unload.
	Decision interface{ verdict() }

	// Keep states that the replica stays.
	Keep struct {
		Reason Reason
		// Until is when Decide should be asked again.
		Until time.Time
	}

	// Unload states that the replica goes.
	Unload struct{ Reason Reason }

	// Keeper holds the histories.
	Policy struct {
		s      Settings
		models map[string]*history
	}
)

// Reasons of a Verdict and of a prewake.
const (
	InUse              Reason = "in-use"
	MinReplicas        Reason = "min-replicas"
	WakeAt             Reason = "wake-at"
	Recurrence         Reason = "recurrence"
	RequestExpected    Reason = "request-expected"
	ColdStartWeightOne Reason = "cold-start-weight-one"
	NotWorthwhile      Reason = "keeping-costs-more"
)

// minKeep in seconds is the shortest time worth another look; it also bounds
// how often Decide is asked.
const minKeep = 0.05

var (
	_ Decision = Keep{}
	_ Decision = Unload{}
)

func (Keep) verdict()   {}
func (Unload) verdict() {}

// New returns a Keeper without history.
func New(s Settings) *Policy {
	if s.WaitExchangeRate == 0 {
		s.WaitExchangeRate = 10
	}
	if s.WakeGrace == 0 {
		s.WakeGrace = 10 * time.Minute
	}
	if s.WakeLead == 0 {
		s.WakeLead = 5 * time.Second
	}
	if s.RecheckInterval == 0 {
		s.RecheckInterval = time.Minute
	}
	return &Policy{s: s, models: map[string]*history{}}
}

// SetWeight replaces the cold-start weight.
func (k *Policy) SetWeight(w float64) { k.s.ColdStartWeight = w }

// Busy records that requests for model occupy n replicas from now on: 0 if
// none runs or waits.
func (k *Policy) RecordBusy(now time.Time, model string, n int) {
	h := k.models[model]
	if h == nil {
		h = &history{}
		k.models[model] = h
	}
	h.busy(now, n)
}

// Decide returns whether r stays loaded at now.
func (k *Policy) Decide(now time.Time, r Replica) Decision {
	recheck := now.Add(k.s.RecheckInterval)
	switch {
	case r.Active > 0:
		return Keep{InUse, recheck}
	case r.Replicas <= r.Model.MinReplicas:
		return Keep{MinReplicas, recheck}
	case k.s.ColdStartWeight >= 1:
		return Keep{ColdStartWeightOne, recheck}
	}
	if r.Rank == 0 {
		if reason, until := k.expected(now, r.Model, r.LoadTime); reason != "" {
			return Keep{reason, until}
		}
	}
	h := k.models[r.Model.Name]
	keep := h.worthKeeping(now, r.Rank, max(now.Sub(r.IdleSince), 0).Seconds(), k.missCost(r.LoadTime))
	if keep < minKeep {
		return Unload{NotWorthwhile}
	}
	until := now.Add(time.Duration(keep * float64(time.Second)))
	if until.After(recheck) {
		until = recheck
	}
	return Keep{RequestExpected, until}
}

// PrewakeDue reports whether an idle model without a replica should be loaded
// at now, because its wake-at comes or a request recurs at this time of day.
func (k *Policy) PrewakeDue(now time.Time, m *declare.Model, load time.Duration) (Reason, bool) {
	reason, _ := k.expected(now, m, load)
	return reason, reason != ""
}

// price is the idle time that a second of a caller's wait is worth.
func (k *Policy) price() float64 {
	w := k.s.ColdStartWeight
	return k.s.WaitExchangeRate * w / math.Max(1-w, 1e-9)
}

// missCost is the cost in seconds of a request that finds no replica.
func (k *Policy) missCost(load time.Duration) float64 {
	return load.Seconds() * (1 + k.price())
}

// expected returns why the model is to be loaded at now whether or not a
// request came, and until when; the reason is empty if there is none.
func (k *Policy) expected(now time.Time, m *declare.Model, load time.Duration) (Reason, time.Time) {
	day := now.UTC().Truncate(24 * time.Hour)
	for _, s := range m.WakeAt {
		t, err := time.Parse("15:04", s)
		if err != nil {
			continue // Validate rejects it
		}
		// The lead of a wake-at just after midnight lies in the day before.
		for d := range 2 {
			at := day.Add(time.Duration(d)*24*time.Hour + time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute)
			if end := at.Add(k.s.WakeGrace); !now.Before(at.Add(-load-k.s.WakeLead)) && now.Before(end) {
				return WakeAt, end
			}
		}
	}
	if h := k.models[m.Name]; h != nil {
		if until, ok := h.recurs(now, load, k.price()); ok {
			return Recurrence, until
		}
	}
	return "", time.Time{}
}
