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

// Append appends r to the control stream, waits until it has been applied to
// the state of this daemon, and returns its outcome.
//
// The answer to an append can be lost after it took effect. Append then appends
// r again. That is safe because the records that a daemon appends are
// idempotent: a second take-ownership names a stale epoch, and a second grant
// or release finds nothing to change. The caller must therefore check the
// control state for the desired effect, and not only the outcome. Append fails
// with a fault of kind LogUnavailable.
func (f *Follower) Append(ctx context.Context, r record.Record) (ctrl.Outcome, error) {
	data, err := record.Encode(r)
	if err != nil {
		return ctrl.Outcome{}, err
	}
	for {
		c, cancel := context.WithTimeout(ctx, f.settings.AppendTimeout)
		first, _, err := f.log.Append(c, StreamName, data)
		cancel()
		if err == nil {
			return f.awaitApplied(ctx, first)
		}
		var se *logsvc.Error
		if !errors.As(err, &se) || ctx.Err() != nil {
			return ctrl.Outcome{}, logUnavailable(err)
		}
		switch {
		case se.Kind == logsvc.RateLimited:
			pause.For(ctx, max(se.RetryAfter, f.settings.RetryDelay))
		case se.Ambiguous:
			event.AppendAmbiguous.Log("record", record.TypeOf(r), "err", err)
			pause.For(ctx, f.settings.RetryDelay)
		default:
			return ctrl.Outcome{}, logUnavailable(err)
		}
	}
}

// awaitApplied waits until offset has been applied and returns its outcome.
func (f *Follower) awaitApplied(ctx context.Context, offset uint64) (ctrl.Outcome, error) {
	for {
		f.mu.RLock()
		out, ok := f.outcomes[offset]
		applied, changed := f.state.Applied(), f.changed
		f.mu.RUnlock()
		if ok || applied >= offset {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return ctrl.Outcome{}, logUnavailable(ctx.Err())
		case <-changed:
		}
	}
}

// SnapshotDue reports whether a snapshot should be appended at now: because
// snapshotRecords records have been applied since the last one, or because some
// have and the last one is older than SnapshotInterval. Without the second rule,
// the log's retention would delete the only snapshot of a stream with few
// records.
func (f *Follower) SnapshotDue(now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	uncovered := f.state.Applied() > f.snapshotOffset
	old := now.Sub(time.UnixMilli(f.snapshotTimeMS)) >= f.settings.SnapshotInterval
	return f.ready && uncovered && (f.state.Applied() >= f.snapshotOffset+snapshotRecords || old)
}

// AppendSnapshot appends a snapshot of the control state to the stream.
func (f *Follower) AppendSnapshot(ctx context.Context) error {
	f.mu.RLock()
	asOf := f.state.Applied()
	b, err := f.state.Snapshot()
	f.mu.RUnlock()
	if err != nil {
		return err
	}
	_, err = f.Append(ctx, record.Snapshot{AsOf: asOf, State: b})
	return err
}

// Recording returns the encoded control state before the retained records, and
// the outcomes of these records in order. Records that can't be decoded have no
// effect and no outcome.
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
