package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/logsvc"
)

type (
	// Log is the part of the log client that a Follower needs.
	Log interface {
		Append(ctx context.Context, stream string, data ...[]byte) (first uint64, timeMS int64, err error)
		Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logsvc.Page, error)
	}

	// Peers is how a Follower reaches other daemons.
	Peers interface {
		// Records returns control records from an offset on, from any peer
		// that has them; an empty page if none is ahead.
		Records(ctx context.Context, from uint64) (logsvc.Page, error)
		// State returns a snapshot of a peer's fold.
		State(ctx context.Context) ([]byte, error)
	}

	// Settings of a Follower. Zero fields stand for the defaults.
	Settings struct {
		// Poll is the longest wait of one read; default 10 s.
		PollWait time.Duration
		// Retry is the pause after a failed read; default 500 ms.
		RetryDelay time.Duration
		// PeerPoll is the interval of asking peers while the log is down;
		// default 1 s.
		PeerPollInterval time.Duration
		// AppendTimeout bounds one append call; default 2 s.
		AppendTimeout time.Duration
		// SnapshotInterval is the age of the last snapshot after which a
		// changed stream gets a new one; default 1 h. The log's retention must
		// be several times as long.
		SnapshotInterval time.Duration
	}

	// Follower owns the daemon's Ledger.
	Follower struct {
		log   Log
		peers Peers
		set   Settings

		mu       sync.RWMutex
		led      *ctrl.State
		ready    bool
		logUp    bool
		outcomes map[uint64]ctrl.Outcome
		recent   []logsvc.Record
		// base is the fold before the first of recent.
		base    *ctrl.State
		changed chan struct{}
		// lastSnap is the offset up to which a snapshot covers the stream, and
		// snapTimeMS the log time of that snapshot.
		lastSnap   uint64
		snapTimeMS int64
		lost       bool
	}
)

// Stream is the name of the control stream.
const Stream = "control"

const (
	// keepRecent bounds the records kept for peers, recordings and waiting
	// writers, and keepBytes their size: at the target a day has 890
	// publications of 16 KB each.
	keepRecent = 1024
	keepBytes  = 2 << 20
	// longStream is the length from which a starting daemon takes the state
	// of a peer instead of reading the stream from its start.
	longStream = 512
	// pageMax is the number of records read at once.
	pageMax = 256
	// snapshotEvery is the number of records between snapshots.
	snapshotEvery = 512
)

// New returns a Follower that has applied nothing. Run does the work.
func New(l Log, p Peers, s Settings) *Follower {
	if s.PollWait == 0 {
		s.PollWait = 10 * time.Second
	}
	if s.RetryDelay == 0 {
		s.RetryDelay = 500 * time.Millisecond
	}
	if s.PeerPollInterval == 0 {
		s.PeerPollInterval = time.Second
	}
	if s.AppendTimeout == 0 {
		s.AppendTimeout = 2 * time.Second
	}
	if s.SnapshotInterval == 0 {
		s.SnapshotInterval = time.Hour
	}
	return &Follower{
		log: l, peers: p, set: s, led: ctrl.New(), base: ctrl.New(),
		outcomes: map[uint64]ctrl.Outcome{}, changed: make(chan struct{}),
	}
}

// View calls f with the ledger, which f must neither change nor keep.
func (f *Follower) View(fn func(l *ctrl.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.led)
}

// Status returns the last applied offset, whether the stream has been read to
// its end once, and whether the last read of the log succeeded.
func (f *Follower) Status() (applied uint64, ready, logUp bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.led.Applied(), f.ready, f.logUp
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Recent returns the records from an offset on for a peer, at most pageMax.
// Oldest is the first offset that it can give.
func (f *Follower) RecentRecords(from uint64) logsvc.Page {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p := logsvc.Page{End: f.led.Applied() + 1, Oldest: f.led.Applied() + 1}
	if len(f.recent) > 0 {
		p.Oldest = f.recent[0].Offset
	}
	for _, r := range f.recent {
		if r.Offset >= from && len(p.Records) < pageMax {
			p.Records = append(p.Records, r)
		}
	}
	return p
}

// Snapshot returns the fold as bytes for a starting peer.
func (f *Follower) Snapshot() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.led.Snapshot()
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	limit := pageMax
	for ctx.Err() == nil {
		from, wait := f.next()
		page, err := f.log.Read(ctx, Stream, from, limit, wait)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil && from == 1 && page.End > longStream && f.skipAhead(ctx) {
			continue
		}
		if n := pageLimit(limit, err); n < limit {
			limit = n
			continue
		}
		if err == nil {
			limit = pageMax
		}
		f.setLogUp(err == nil, err)
		if err == nil && page.Oldest > from {
			err = f.restart(ctx, page)
			if err == nil {
				continue
			}
		}
		if err != nil {
			f.fromPeers(ctx)
			pause.For(ctx, f.set.RetryDelay)
			continue
		}
		f.apply(page.Records)
		if next, _ := f.next(); next >= page.End {
			f.setReady()
		}
	}
	return nil
}

// pageLimit returns the number of records to read next. A page with large
// records can exceed the client's bound on answers; fewer records then fit.
func pageLimit(limit int, err error) int {
	var se *logsvc.Error
	if errors.As(err, &se) && se.Kind == logsvc.BadAnswer && limit > 1 {
		return limit / 2
	}
	return limit
}

// next returns the offset to read from and how long a read may wait: not at
// all until the end of the stream has been reached once, nor after a failure,
// because the log counts as unreachable until a read is answered.
func (f *Follower) next() (from uint64, wait time.Duration) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.ready && f.logUp {
		wait = f.set.PollWait
	}
	return f.led.Applied() + 1, wait
}

func (f *Follower) setReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ready {
		f.ready = true
		event.ControlReady.Log("applied", f.led.Applied(), "version", f.led.Version())
		f.notify()
	}
}

func (f *Follower) setLogUp(up bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if up == f.logUp && !(f.led.Applied() == 0 && !up && !f.lost) {
		return
	}
	f.logUp = up
	if up {
		f.lost = false
		event.LogReachable.Log("applied", f.led.Applied())
		return
	}
	f.lost = true
	event.LogUnreachable.Log("applied", f.led.Applied(), "err", err)
}

// notify wakes everyone who waits for a change; f.mu is held.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// apply folds records that follow the last applied one.
func (f *Follower) apply(records []logsvc.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range records {
		if r.Offset <= f.led.Applied() {
			continue
		}
		n++
		f.recent = append(f.recent, r)
		rec, err := record.Decode(r.Data)
		if err != nil {
			event.RecordSkipped.Log("offset", r.Offset, "err", err)
			f.led.Skip(r.Offset)
			continue
		}
		out := f.led.Apply(r.Offset, rec)
		f.outcomes[r.Offset] = out
		logOutcome(out)
		if s, ok := rec.(record.Snapshot); ok {
			// The snapshot's own record needs no further snapshot.
			f.lastSnap, f.snapTimeMS = max(f.lastSnap, s.AsOf, r.Offset), r.TimeMS
		}
	}
	if n == 0 {
		return
	}
	f.dropOld()
	f.notify()
}

// dropOld bounds the retained records in number and size; f.mu is held.
func (f *Follower) dropOld() {
	size := 0
	for _, r := range f.recent {
		size += len(r.Data)
	}
	drop := 0
	for drop < len(f.recent)-1 && (len(f.recent)-drop > keepRecent || size > keepBytes) {
		size -= len(f.recent[drop].Data)
		drop++
	}
	if drop == 0 {
		return
	}
	for _, r := range f.recent[:drop] {
		delete(f.outcomes, r.Offset)
		if rec, err := record.Decode(r.Data); err == nil {
			f.base.Apply(r.Offset, rec)
		} else {
			f.base.Skip(r.Offset)
		}
	}
	f.recent = append(f.recent[:0:0], f.recent[drop:]...)
}

func logOutcome(o ctrl.Outcome) {
	kv := []any{"offset", o.Offset, "record", record.TypeOf(o.Record)}
	switch r := o.Record.(type) {
	case record.Publish:
		kv = append(kv, "operator", r.Operator, "replaces", r.Replaces)
		if o.Reason == ctrl.Accepted {
			event.ConfigInForce.Log(kv...)
			return
		}
	case record.TakeOwnership:
		kv = append(kv, "upstream", r.Upstream, "daemon", r.Daemon)
	case record.AcknowledgeLoss:
		kv = append(kv, "upstream", r.Upstream, "daemon", r.Daemon, "epoch", r.Epoch)
	case record.Grant:
		kv = append(kv, "upstream", r.Upstream, "model", r.Model, "version", r.Version, "epoch", r.Epoch)
	case record.Release:
		kv = append(kv, "upstream", r.Upstream, "model", r.Model, "version", r.Version, "epoch", r.Epoch)
	case record.HostGone:
		kv = append(kv, "host", r.Host)
	case record.Snapshot:
		kv = append(kv, "as-of", r.AsOf)
	}
	if o.Reason == ctrl.Accepted || o.Reason == ctrl.SnapshotRecorded {
		event.RecordApplied.Log(kv...)
		return
	}
	event.RecordRefused.Log(append(kv, "reason", string(o.Reason), "detail", o.Detail)...)
}

// unavailable is the refusal for what needs the log while it is down.
func unavailable(err error) error {
	return fault.Wrap(err, fault.LogUnavailable, "the log service can't be reached")
}
