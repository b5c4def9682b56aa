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

	// Page is a part of a topic.
	Page struct {
		Records []Record
		// Next is where to read on, End the offset after the newest record.
		Next, End int64
	}

	// Source reads a topic.
	Source interface {
		// Newest returns the newest record of each key.
		Newest(ctx context.Context) (*Page, error)
		// Read returns records from an offset on. The page may be good up to
		// an error.
		Read(ctx context.Context, from int64, wait time.Duration) (*Page, error)
	}

	// Sink takes what a Feed reads.
	Sink interface {
		// Known returns the offset up to which the sink knows the topic from
		// elsewhere, 0 if it doesn't.
		KnownOffset() int64
		// Replace takes the state of all keys.
		Replace(now time.Time, p *Page)
		// Apply takes further records in their order.
		Apply(now time.Time, p *Page)
		// Away is called for each failed call, Back for the first good one
		// after a failure.
		Failed(now time.Time, err error)
		Recovered(now time.Time, away time.Duration)
	}

	// Settings of a Feed.
	Settings struct {
		// Name of the topic in logs.
		Name string
		// Wait returns how long a read waits for records; nil for not at all.
		Wait func() time.Duration
		// Due returns how long the next read can still wait at now.
		Delay func(now time.Time) time.Duration
	}

	// Feed follows one topic.
	Feed struct {
		set  Settings
		src  Source
		sink Sink
		now  func() time.Time

		next     int64
		loaded   bool
		lost     time.Time
		failures int
	}

	// Gone states that the records from an offset on have been deleted.
	DeletedError struct{ From int64 }

	// Refused is an answer of the log that isn't a success.
	StatusError struct {
		Status int
		Detail string
	}

	// Truncated is an answer that breaks off within a record.
	TruncatedError struct {
		Offset int64
		Detail string
	}
)

const (
	// firstRetry and lastRetry bound the delay after failed calls; the log's
	// return must be noticed within the time that a configuration may take.
	firstRetry = 60 * time.Millisecond
	lastRetry  = 600 * time.Millisecond
	// lastWhole is lastRetry for reads of a whole topic, which a crowd of
	// daemons that start together can make fail by their number.
	lastWhole = 3 * time.Second
	// dueCheck is the interval at which Due is asked again, since what is
	// known from elsewhere changes.
	dueCheck = 100 * time.Millisecond
)

// Error describes the gap.
func (e *DeletedError) Error() string {
	return fmt.Sprintf("log: records from %d on were deleted", e.From)
}

// Error describes the refusal.
func (e *StatusError) Error() string { return fmt.Sprintf("log: status %d: %s", e.Status, e.Detail) }

// Error describes the damage.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log: record %d is truncated: %s", e.Offset, e.Detail)
}

// New returns a Feed of src into sink. now is the clock.
func New(set Settings, src Source, sink Sink, now func() time.Time) *Feed {
	return &Feed{set: set, src: src, sink: sink, now: now}
}

// Run follows the topic until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if due := f.set.Delay(f.now()); due > 0 {
			pause.For(ctx, min(due, dueCheck))
			continue
		}
		err := f.step(ctx)
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

// step makes one call. A deleted history is no failure.
func (f *Feed) step(ctx context.Context) error {
	if !f.loaded {
		p, err := f.src.Newest(ctx)
		if err != nil {
			return err
		}
		f.sink.Replace(f.now(), p)
		f.next, f.loaded = p.Next, true
		return nil
	}
	f.next = max(f.next, f.sink.KnownOffset())
	// After a failure the log may still be silent, and a call that waits takes
	// that much longer to show it.
	wait := time.Duration(0)
	if f.set.Wait != nil && f.failures == 0 {
		wait = f.set.Wait()
	}
	p, err := f.src.Read(ctx, f.next, wait)
	var gone *DeletedError
	if errors.As(err, &gone) {
		event.HistoryDeleted.Log("topic", f.set.Name, "from", gone.From)
		f.loaded = false
		return nil
	}
	// Whole records before a truncated one are good. An answer without
	// records is news, too.
	if p != nil && (len(p.Records) > 0 || err == nil) {
		f.sink.Apply(f.now(), p)
		f.next = p.Next
	}
	return err
}

func (f *Feed) failed(err error) {
	now := f.now()
	f.failures++
	if f.failures == 1 {
		f.lost = now
		event.TopicLost.Log("topic", f.set.Name, "err", err)
	}
	var cut *TruncatedError
	if errors.As(err, &cut) {
		// The same bytes may come again; the newest records skip them.
		f.loaded = false
		event.RecordTruncated.Log("topic", f.set.Name, "offset", cut.Offset, "detail", cut.Detail)
	}
	f.sink.Failed(now, err)
}

func (f *Feed) succeeded() {
	if f.failures == 0 {
		return
	}
	now := f.now()
	event.TopicRecovered.Log("topic", f.set.Name, "away-ms", now.Sub(f.lost).Milliseconds(), "failures", f.failures)
	f.sink.Recovered(now, now.Sub(f.lost))
	f.failures = 0
}

// backoff grows with the failures and is jittered, so that the daemons don't
// return to the log together.
func (f *Feed) backoff() time.Duration {
	d := min(firstRetry<<min(f.failures, 4), lastRetry)
	if !f.loaded {
		d = min(firstRetry<<min(f.failures, 6), lastWhole)
	}
	return d/2 + rand.N(d/2)
}
