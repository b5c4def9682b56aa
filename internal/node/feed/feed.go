package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
)

type (
	// Record is one record of a keyed topic. An empty Value deletes the key.
	Record struct {
		Key    string
		Value  []byte
		Offset int64
	}

	// Page is the result of a read.
	Page struct {
		Records []Record
		// Next is the offset of the next read, End the offset after the newest
		// record.
		Next, End int64
		// Took is the duration of the call and EndAt the earliest time at which the
		// log can have found End, both set by Feed.
		Took  time.Duration
		EndAt time.Time
	}

	// Source reads a topic.
	Source interface {
		// Newest returns the newest record of each key.
		Newest(ctx context.Context) (*Page, error)
		// Read returns records from an offset on and waits up to wait for the
		// first. With an error, the page may hold the records before it.
		Read(ctx context.Context, from int64, wait time.Duration) (*Page, error)
	}

	// Sink receives what a Feed reads.
	Sink interface {
		// KnownOffset returns the offset up to which the sink knows the topic
		// from another source, 0 if there is none.
		KnownOffset() int64
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
	}

	// Feed follows one topic.
	Feed struct {
		settings Settings
		source   Source
		sink     Sink
		now      func() time.Time

		nextOffset  int64
		loaded      bool
		failedSince time.Time
		failures    int
	}

	// DeletedError states that the records from an offset on were deleted.
	DeletedError struct{ From int64 }

	// StatusError is a response of the log with a status other than success.
	StatusError struct {
		Status int
		Detail string
	}

	// TruncatedError states that a response ends within a record.
	TruncatedError struct {
		Offset int64
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
	return fmt.Sprintf("log: records from %d on were deleted", e.From)
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("log: status %d: %s", e.Status, e.Detail) }

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log: record %d is truncated: %s", e.Offset, e.Detail)
}

// New returns a Feed from source to sink. now is the clock.
func New(settings Settings, source Source, sink Sink, now func() time.Time) *Feed {
	return &Feed{settings: settings, source: source, sink: sink, now: now}
}

// Run follows the topic until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if delay := f.settings.Delay(f.now()); delay > 0 {
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

// readOnce makes one call. Deleted records are not a failure: the next call reads
// the newest records.
func (f *Feed) readOnce(ctx context.Context) error {
	began := f.now()
	if !f.loaded {
		p, err := f.source.Newest(ctx)
		if err != nil {
			return err
		}
		p.Took, p.EndAt = f.now().Sub(began), began
		f.sink.Replace(f.now(), p)
		f.nextOffset, f.loaded = p.Next, true
		return nil
	}
	f.nextOffset = max(f.nextOffset, f.sink.KnownOffset())
	// After a failure the log may still be unresponsive, and the wait would delay
	// the time-out that shows it.
	wait := time.Duration(0)
	if f.settings.Wait != nil && f.failures == 0 {
		wait = f.settings.Wait()
	}
	p, err := f.source.Read(ctx, f.nextOffset, wait)
	var deleted *DeletedError
	if errors.As(err, &deleted) {
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
		f.nextOffset = p.Next
	}
	return err
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
