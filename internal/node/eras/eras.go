package eras

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/hrw"
	"github.com/azurespan/azurespan/internal/core/logpos"
)

type (
	// Loss is what a new era has made void, as far as is known.
	Loss struct {
		// Positions is the number of positions in topics that were dropped.
		Positions int
		// Records is the number of records of this daemon that may be lost and
		// are compared with the log or written again.
		Records int
	}

	// Tracker knows the newest era of the log. It is safe for concurrent use. A
	// nil Tracker accepts all answers.
	Tracker struct {
		metrics *metric.Metrics
		now     func() time.Time

		mu  sync.Mutex
		era int64
		// known is set once there was an answer.
		known bool
		// rejected is set from an invalid answer to the next valid one.
		rejected    bool
		subscribers []func(now time.Time, era int64) Loss
	}

	// HeaderError states that an answer of the log doesn't name its era in a valid
	// way.
	HeaderError struct{ Value string }

	// FellError states that an answer names an older era than a former one.
	FellError struct{ Era, Known int64 }

	// eraError is an error answer of the log that names its era.
	eraError interface {
		error
		// LogEra returns the era; ok is false if the answer doesn't name one.
		LogEra() (era int64, ok bool)
	}
)

// Error implements error.
func (e *HeaderError) Error() string { return fmt.Sprintf("log: invalid era %.40q", e.Value) }

// Error implements error.
func (e *FellError) Error() string {
	return fmt.Sprintf("log: answer of era %d after one of era %d", e.Era, e.Known)
}

// New returns a Tracker that knows no era. now is the clock.
func New(metrics *metric.Metrics, now func() time.Time) *Tracker {
	return &Tracker{metrics: metrics, now: now}
}

// Spread returns a delay of less than limit that is derived from the host's name,
// so that the hosts don't read a topic all at once.
func Spread(host, topic string, limit time.Duration) time.Duration {
	return time.Duration(hrw.Score(topic, host) % uint64(max(limit, 1)))
}

// Subscribe makes t call f for each new era. It is called before the answer that
// names the era is used.
func (t *Tracker) Subscribe(f func(now time.Time, era int64) Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers = append(t.subscribers, f)
}

// Era returns the newest era, 0 while it is unknown.
func (t *Tracker) Era() int64 {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// Observe takes note of an answer of the log: of a position, or err. It returns err,
// and an error for an answer that must not be used because its era is invalid.
func (t *Tracker) Observe(topic string, at logpos.Position, err error) error {
	if t == nil {
		return err
	}
	var header *HeaderError
	var named eraError
	switch {
	case errors.As(err, &header):
		t.reject(topic, header)
		return err
	case errors.As(err, &named):
		if era, ok := named.LogEra(); ok {
			// The error goes first, whatever its era is.
			_ = t.observe(topic, era)
		}
		return err
	case err != nil:
		return err
	}
	return t.observe(topic, at.Era())
}

// Told takes note of the era of a position that another daemon knows. It may still
// be in an older era than this one.
func (t *Tracker) Told(at logpos.Position) {
	if t != nil && at.Era() > t.Era() {
		_ = t.observe("told", at.Era()) // it rises
	}
}

// Rewritten counts records that were written again in a new era.
func (t *Tracker) Rewritten(n int) {
	if t != nil {
		t.metrics.RecordsRewritten.Add(float64(n))
	}
}

func (t *Tracker) observe(topic string, era int64) error {
	t.mu.Lock()
	known, first := t.era, !t.known
	if era < known {
		t.mu.Unlock()
		err := &FellError{era, known}
		t.reject(topic, err)
		return err
	}
	t.era, t.known, t.rejected = era, true, false
	subscribers := t.subscribers
	t.mu.Unlock()
	if first {
		t.metrics.LogEra.Set(float64(era))
	}
	if first || era == known {
		return nil
	}
	t.metrics.LogEra.Set(float64(era))
	var loss Loss
	for _, f := range subscribers {
		l := f(t.now(), era)
		loss.Positions += l.Positions
		loss.Records += l.Records
	}
	t.metrics.PositionsDropped.Add(float64(loss.Positions))
	event.EraNoticed.Log("from", known, "to", era, "topic", topic, "positions-dropped", loss.Positions, "records-to-check", loss.Records)
	return nil
}

// reject logs the first of a series of invalid answers.
func (t *Tracker) reject(topic string, err error) {
	t.mu.Lock()
	logged := t.rejected
	t.rejected = true
	era := t.era
	t.mu.Unlock()
	if !logged {
		event.EraInvalid.Log("topic", topic, "cause", err.Error(), "known", era)
	}
}
