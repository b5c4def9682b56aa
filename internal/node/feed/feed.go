package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/node/eras"
)

type (
	// Record is one record of a keyed topic. An empty Value deletes the key. The
	// names of its fields and of those of Page are part of the messages between
	// daemons.
	Record struct {
		Key    string
		Value  []byte
		Offset logpos.Position
	}

	// Page is the result of a read.
	Page struct {
		Records []Record
		// Next is the position of the next read, End the one after the newest
		// record.
		Next, End logpos.Position
		// Took is the duration of the call and EndAt the earliest time at which the
		// log can have found End, both set by Feed.
		Took  time.Duration
		EndAt time.Time
	}

	// Source reads a topic.
	Source interface {
		// Newest returns the newest record of each key.
		Newest(ctx context.Context) (*Page, error)
		// Read returns records from the offset of a position on and waits up to
		// wait for the first. The page states its own era, which may be another
		// one than that of from. With an error, the page may hold the records
		// before it.
		Read(ctx context.Context, from logpos.Position, wait time.Duration) (*Page, error)
	}

	// Sink receives what a Feed reads.
	Sink interface {
		// KnownPosition returns the position up to which the sink knows the
		// topic from another source, 0 if there is none.
		KnownPosition() logpos.Position
		// Replace replaces the state by the newest record of each key.
		Replace(now time.Time, p *Page)
		// Apply applies further records in their order.
		Apply(now time.Time, p *Page)
		// Failed is called for each failed call, Recovered for the first
		// successful one after it.
		Failed(now time.Time, err error)
		Recovered(now time.Time, outage time.Duration)
	}

	// Settings of a Feed.
	Settings struct {
		// Name is the topic's name in logs.
		Name string
		// Wait returns how long a read waits for records; nil means that reads
		// don't wait.
		Wait func() time.Duration
		// Delay returns the time from now until the next read is due.
		Delay func(now time.Time) time.Duration
		// Eras knows the log's era. When it rises, the topic is read anew after
		// Spread, unless the sink knows it from another source by then. Without
		// Spread there is no delay.
		Eras   *eras.Tracker
		Spread func() time.Duration
	}

	// Feed follows one topic.
	Feed struct {
		settings Settings
		source   Source
		sink     Sink
		now      func() time.Time

		next   logpos.Position
		loaded bool
		// reloadAt is when the topic is read anew after a new era, zero if it
		// isn't to be.
		reloadAt    time.Time
		failedSince time.Time
		failures    int
	}

	// AnswerEra is the era that an error response of the log names; Named is
	// false if it names none.
	AnswerEra struct {
		Era   int64
		Named bool
	}

	// DeletedError states that the log doesn't have the records from a position
	// on: they were deleted, or it has returned from a copy that ends before.
	DeletedError struct {
		From logpos.Position
		AnswerEra
	}

	// StatusError is a response of the log with a status other than success.
	StatusError struct {
		Status int
		Detail string
		AnswerEra
	}

	// TruncatedError states that a response ends within a record.
	TruncatedError struct {
		Offset logpos.Position
		Detail string
	}
)

const (
	// minRetryDelay and maxRetryDelay bound the delay after failed calls. The
	// log's return must be noticed early enough for a configuration to be in
	// force within its deadline.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// maxReloadDelay replaces maxRetryDelay for reads of a whole topic, which
	// can fail by their number if many daemons start together.
	maxReloadDelay = 3 * time.Second
	// maxRetryShift and maxReloadShift bound the doublings of minRetryDelay.
	maxRetryShift  = 4
	maxReloadShift = 6
	// delayCheckInterval is the interval at which Delay is evaluated again,
	// since it depends on what the sink knows from another source.
	delayCheckInterval = 100 * time.Millisecond
)

// Error implements error.
func (e *DeletedError) Error() string {
	return fmt.Sprintf("log: records from %v on were deleted", e.From)
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("log: status %d: %s", e.Status, e.Detail) }

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log: record %v is truncated: %s", e.Offset, e.Detail)
}

// LogEra returns the era of the answer; ok is false if it names none.
func (a AnswerEra) LogEra() (era int64, ok bool) { return a.Era, a.Named }

// New returns a Feed from source to sink. now is the clock.
func New(settings Settings, source Source, sink Sink, now func() time.Time) *Feed {
	return &Feed{settings: settings, source: source, sink: sink, now: now}
}

// Run follows the topic until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if delay := f.delay(f.now()); delay > 0 {
			pause.For(ctx, min(delay, delayCheckInterval))
			continue
		}
		err := f.readOnce(ctx)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			f.failed(err)
			pause.For(ctx, f.backoff())
			continue
		}
		f.succeeded()
	}
	return ctx.Err()
}

// delay returns the time until the next call is due.
func (f *Feed) delay(now time.Time) time.Duration {
	due := f.settings.Delay(now)
	f.next = max(f.next, f.sink.KnownPosition())
	if f.next.Era() >= f.settings.Eras.Era() {
		if !f.reloadAt.IsZero() {
			// The sink has learnt the newer state from another source.
			f.loaded, f.reloadAt = true, time.Time{}
		}
		return due
	}
	if f.loaded {
		f.reloadAfter(now)
	}
	if f.reloadAt.IsZero() {
		return due
	}
	return f.reloadAt.Sub(now)
}

// reloadAfter makes the feed read the newest records after the delay of this host.
func (f *Feed) reloadAfter(now time.Time) {
	f.loaded, f.reloadAt = false, now
	if f.settings.Spread != nil {
		f.reloadAt = now.Add(f.settings.Spread())
	}
}

// readOnce makes one call. Deleted records are not a failure: the next call reads
// the newest records.
func (f *Feed) readOnce(ctx context.Context) error {
	began := f.now()
	if !f.loaded {
		p, err := f.source.Newest(ctx)
		if err = f.observe(p, err); err != nil {
			return err
		}
		p.Took, p.EndAt = f.now().Sub(began), began
		f.sink.Replace(f.now(), p)
		f.next, f.loaded, f.reloadAt = p.Next, true, time.Time{}
		return nil
	}
	// After a failure the log may still be unresponsive, and the wait would delay
	// the time-out that shows it.
	wait := time.Duration(0)
	if f.settings.Wait != nil && f.failures == 0 {
		wait = f.settings.Wait()
	}
	p, err := f.source.Read(ctx, f.next, wait)
	err = f.observe(p, err)
	var deleted *DeletedError
	missing := errors.As(err, &deleted)
	if (err == nil || missing) && f.hasReturned(p) {
		// The records are of another history than those before them.
		f.reloadAfter(f.now())
		return nil
	}
	var fell *eras.FellError
	if errors.As(err, &fell) {
		return err
	}
	if missing {
		event.HistoryDeleted.Log("topic", f.settings.Name, "from", deleted.From)
		f.loaded = false
		return nil
	}
	// Complete records before a truncated one are valid. A response without
	// records is applied as well: it shows how recent the state is.
	if p != nil && (len(p.Records) > 0 || err == nil) {
		p.Took, p.EndAt = f.now().Sub(began), began
		if len(p.Records) == 0 && p.Took >= wait {
			// The log has answered at the end of the wait.
			p.EndAt = began.Add(wait)
		}
		f.sink.Apply(f.now(), p)
		f.next = p.Next
	}
	return err
}

// hasReturned reports whether the log has returned from an older copy since the last
// page, as p, nil for none, or another answer says.
func (f *Feed) hasReturned(p *Page) bool {
	return f.next.Era() < f.settings.Eras.Era() || p != nil && !p.Next.SameEra(f.next)
}

// observe takes note of the era of an answer and returns the error, if any, for
// which it can't be used.
func (f *Feed) observe(p *Page, err error) error {
	var at logpos.Position
	if p != nil {
		at = p.End
	}
	return f.settings.Eras.Observe(f.settings.Name, at, err)
}

func (f *Feed) failed(err error) {
	now := f.now()
	f.failures++
	if f.failures == 1 {
		f.failedSince = now
		event.TopicLost.Log("topic", f.settings.Name, "err", err)
	}
	var truncated *TruncatedError
	if errors.As(err, &truncated) {
		// The next read may return the same bytes; reading the newest records
		// avoids that.
		f.loaded = false
		event.RecordTruncated.Log("topic", f.settings.Name, "offset", truncated.Offset, "detail", truncated.Detail)
	}
	f.sink.Failed(now, err)
}

func (f *Feed) succeeded() {
	if f.failures == 0 {
		return
	}
	now := f.now()
	event.TopicRecovered.Log("topic", f.settings.Name, "away-ms", now.Sub(f.failedSince).Milliseconds(), "failures", f.failures)
	f.sink.Recovered(now, now.Sub(f.failedSince))
	f.failures = 0
}

// backoff returns the delay after a failure. It grows with the number of failures
// and is jittered, so that the daemons don't call the log all at once after an
// outage.
func (f *Feed) backoff() time.Duration {
	d := min(minRetryDelay<<min(f.failures, maxRetryShift), maxRetryDelay)
	if !f.loaded {
		d = min(minRetryDelay<<min(f.failures, maxReloadShift), maxReloadDelay)
	}
	return d/2 + rand.N(d/2)
}
