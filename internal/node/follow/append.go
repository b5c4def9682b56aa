package follow

import (
	"context"
	"errors"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/logsvc"
)

// Append writes r to the control stream and waits until it has been applied
// here. It returns the outcome of the fold.
//
// The answer of an append can be lost after it took effect. Append then writes
// r again: the records that a daemon appends have an effect once only (a
// second take-ownership names a stale epoch, a second grant or release finds
// nothing to change), so the caller checks the ledger for the state it wants
// and not only the outcome. It fails with a fault of kind LogUnavailable.
func (f *Follower) Append(ctx context.Context, r record.Record) (ctrl.Outcome, error) {
	b, err := record.Encode(r)
	if err != nil {
		return ctrl.Outcome{}, err
	}
	for {
		c, cancel := context.WithTimeout(ctx, f.set.AppendTimeout)
		first, _, err := f.log.Append(c, Stream, b)
		cancel()
		if err == nil {
			return f.await(ctx, first)
		}
		var se *logsvc.Error
		if !errors.As(err, &se) || ctx.Err() != nil {
			return ctrl.Outcome{}, unavailable(err)
		}
		switch {
		case se.Kind == logsvc.RateLimited:
			pause.For(ctx, max(se.RetryAfter, f.set.RetryDelay))
		case se.Ambiguous:
			event.AppendAmbiguous.Log("record", record.TypeOf(r), "err", err)
			pause.For(ctx, f.set.RetryDelay)
		default:
			return ctrl.Outcome{}, unavailable(err)
		}
	}
}

// await waits until offset has been applied.
func (f *Follower) await(ctx context.Context, offset uint64) (ctrl.Outcome, error) {
	for {
		f.mu.RLock()
		out, ok := f.outcomes[offset]
		applied, changed := f.led.Applied(), f.changed
		f.mu.RUnlock()
		if ok || applied >= offset {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return ctrl.Outcome{}, unavailable(ctx.Err())
		case <-changed:
		}
	}
}

// SnapshotDue reports whether a snapshot should be appended at now: enough
// records have come since the last one, or there are any and it is old. Without
// the second rule a quiet stream would lose its only snapshot to retention.
func (f *Follower) SnapshotDue(now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	behind := f.led.Applied() > f.lastSnap
	old := now.Sub(time.UnixMilli(f.snapTimeMS)) >= f.set.SnapshotInterval
	return f.ready && behind && (f.led.Applied() >= f.lastSnap+snapshotEvery || old)
}

// AppendSnapshot writes the fold to the stream.
func (f *Follower) AppendSnapshot(ctx context.Context) error {
	f.mu.RLock()
	asOf := f.led.Applied()
	b, err := f.led.Snapshot()
	f.mu.RUnlock()
	if err != nil {
		return err
	}
	_, err = f.Append(ctx, record.Snapshot{AsOf: asOf, State: b})
	return err
}

// Recording returns the fold before the retained records, as bytes, and the
// outcomes of these records in order. Records that can't be decoded are left
// out, as they have no effect.
func (f *Follower) Recording() (base []byte, outcomes []ctrl.Outcome, err error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	base, err = f.base.Snapshot()
	for _, r := range f.recent {
		if o, ok := f.outcomes[r.Offset]; ok {
			outcomes = append(outcomes, o)
		}
	}
	return base, outcomes, err
}
