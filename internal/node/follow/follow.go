package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/clock"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/logsvc"
)

type (
	// Log appends to and reads the streams of the log service.
	Log interface {
		Append(ctx context.Context, stream string, data ...[]byte) (first uint64, timeMS int64, err error)
		Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logsvc.Page, error)
	}

	// Peers reads the control stream and its state from other daemons.
	Peers interface {
		// Records returns control records from an offset on, from any peer
		// that has them. It returns an empty page or an error if none has.
		Records(ctx context.Context, from uint64) (logsvc.Page, error)
		// State returns a snapshot of a peer's control state.
		State(ctx context.Context) ([]byte, error)
	}

	// Settings configures a Follower. Zero fields take the defaults.
	Settings struct {
		// PollWait bounds the wait of one read for new records; default 10 s.
		PollWait time.Duration
		// RetryDelay is the pause after a failed read or append; default
		// 500 ms.
		RetryDelay time.Duration
		// PeerTimeout bounds one attempt to get records or a state from peers
		// while the log can't be read; default 1 s.
		PeerTimeout time.Duration
		// AppendTimeout bounds one append call; default 2 s.
		AppendTimeout time.Duration
		// SnapshotInterval is the age of the last snapshot after which a
		// changed stream gets a new one; default 1 h. The log's retention must
		// be several times as long.
		SnapshotInterval time.Duration
		// Boot is a clock that counts suspensions of the machine; default
		// clock.Boottime.
		Boot func() time.Time
	}

	// Follower holds the daemon's control state. It is safe for concurrent
	// use.
	Follower struct {
		log      Log
		peers    Peers
		settings Settings

		mu    sync.RWMutex
		state *ctrl.State
		// ready is set once the stream has been read to its end.
		ready bool
		logUp bool
		// recent holds the retained records, and outcomes their outcomes by
		// offset.
		outcomes map[uint64]ctrl.Outcome
		recent   []logsvc.Record
		// base is the state before the first of recent.
		base *ctrl.State
		// changed is closed and replaced at each change.
		changed chan struct{}
		// snapshotOffset is the offset up to which a snapshot covers the
		// stream, and snapshotTimeMS the log time of that snapshot.
		snapshotOffset uint64
		snapshotTimeMS int64
		// provenAt is the last time of Boot at which the state was known to be the
		// newest.
		provenAt time.Time
		// outageLogged is set while an outage of the log has been logged.
		outageLogged bool
	}
)

// StreamName is the name of the control stream.
const StreamName = "control"

const (
	// maxRecentRecords bounds the records that are retained for peers, traces
	// and waiting appends, and maxRecentBytes their size in bytes: at the
	// target size a day has 890 publications of 16 KB each.
	maxRecentRecords = 1024
	maxRecentBytes   = 2 << 20
	// longStreamRecords is the length of the stream above which a starting
	// daemon takes the state of a peer instead of reading the stream from its
	// start.
	longStreamRecords = 512
	// pageRecords is the maximum number of records of one read.
	pageRecords = 256
	// snapshotRecords is the number of records after which a new snapshot is
	// due.
	snapshotRecords = 512
)

// New returns a Follower that has applied no records. It does nothing until Run
// is called.
func New(l Log, p Peers, s Settings) *Follower {
	if s.PollWait == 0 {
		s.PollWait = 10 * time.Second
	}
	if s.RetryDelay == 0 {
		s.RetryDelay = 500 * time.Millisecond
	}
	if s.PeerTimeout == 0 {
		s.PeerTimeout = time.Second
	}
	if s.AppendTimeout == 0 {
		s.AppendTimeout = 2 * time.Second
	}
	if s.SnapshotInterval == 0 {
		s.SnapshotInterval = time.Hour
	}
	if s.Boot == nil {
		s.Boot = clock.Boottime
	}
	return &Follower{
		log: l, peers: p, settings: s, state: ctrl.New(), base: ctrl.New(),
		outcomes: map[uint64]ctrl.Outcome{}, changed: make(chan struct{}),
	}
}

// View calls fn with the control state, which fn must neither change nor
// retain.
func (f *Follower) View(fn func(state *ctrl.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
}

// Status returns the last applied offset, whether the stream has been read to
// its end once, and whether the last read of the log succeeded.
func (f *Follower) Status() (applied uint64, ready, logUp bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Applied(), f.ready, f.logUp
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// RecentRecords returns the retained records from an offset on for a peer, at
// most pageRecords. Oldest is the offset of the first retained record.
func (f *Follower) RecentRecords(from uint64) logsvc.Page {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p := logsvc.Page{End: f.state.Applied() + 1, Oldest: f.state.Applied() + 1}
	if len(f.recent) > 0 {
		p.Oldest = f.recent[0].Offset
	}
	for _, r := range f.recent {
		if r.Offset >= from && len(p.Records) < pageRecords {
			p.Records = append(p.Records, r)
		}
	}
	return p
}

// Snapshot returns the encoded control state for a peer.
func (f *Follower) Snapshot() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Snapshot()
}

// Run reads and applies the records of the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	limit := pageRecords
	for ctx.Err() == nil {
		from, wait := f.nextRead()
		began := f.settings.Boot()
		page, err := f.log.Read(ctx, StreamName, from, limit, wait)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil && from == 1 && page.End > longStreamRecords && f.startFromPeer(ctx) {
			continue
		}
		if n := pageLimit(limit, err); n < limit {
			limit = n
			continue
		}
		if err == nil {
			limit = pageRecords
		}
		f.setLogUp(err == nil, err)
		if err == nil && page.Oldest > from {
			err = f.rebuild(ctx, page)
			if err == nil {
				continue
			}
		}
		if err != nil {
			f.readFromPeers(ctx)
			pause.For(ctx, f.settings.RetryDelay)
			continue
		}
		f.apply(page.Records)
		if next, _ := f.nextRead(); next >= page.End {
			f.setProven(began)
			f.setReady()
		}
	}
	return nil
}

// pageLimit returns the number of records to request after a read with limit
// ended with err. A page with large records can exceed the client's limit on
// the size of answers, and is requested again with half as many records.
func pageLimit(limit int, err error) int {
	var se *logsvc.Error
	if errors.As(err, &se) && se.Kind == logsvc.BadAnswer && limit > 1 {
		return limit / 2
	}
	return limit
}

// nextRead returns the offset to read from and how long the read may wait. It
// does not wait until the end of the stream has been reached once, nor after a
// failure, because the log counts as unreachable until a read is answered.
func (f *Follower) nextRead() (from uint64, wait time.Duration) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.ready && f.logUp {
		wait = f.maxWait()
	}
	return f.state.Applied() + 1, wait
}

func (f *Follower) setReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ready {
		f.ready = true
		event.ControlReady.Log("applied", f.state.Applied(), "version", f.state.Version())
		f.notify()
	}
}

// setLogUp records whether the last read of the log succeeded, and logs a
// change. An outage at the start of the daemon is logged as well.
func (f *Follower) setLogUp(up bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if up == f.logUp && !(f.state.Applied() == 0 && !up && !f.outageLogged) {
		return
	}
	f.logUp = up
	if up {
		f.outageLogged = false
		event.LogReachable.Log("applied", f.state.Applied())
		return
	}
	f.outageLogged = true
	event.LogUnreachable.Log("applied", f.state.Applied(), "err", err)
}

// notify wakes all callers that wait for a change. f.mu must be held.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// apply applies the records that follow the last applied one.
func (f *Follower) apply(records []logsvc.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := 0
	for _, r := range records {
		if r.Offset <= f.state.Applied() {
			continue
		}
		applied++
		f.recent = append(f.recent, r)
		rec, err := record.Decode(r.Data)
		if err != nil {
			event.RecordSkipped.Log("offset", r.Offset, "err", err)
			f.state.Skip(r.Offset)
			continue
		}
		out := f.state.Apply(r.Offset, rec)
		f.outcomes[r.Offset] = out
		logOutcome(out)
		if s, ok := rec.(record.Snapshot); ok {
			// The record of the snapshot counts as covered too. Otherwise it
			// would make the next snapshot due.
			f.snapshotOffset, f.snapshotTimeMS = max(f.snapshotOffset, s.AsOf, r.Offset), r.TimeMS
		}
	}
	if applied == 0 {
		return
	}
	f.dropOldRecords()
	f.notify()
}

// dropOldRecords bounds the retained records in number and size, and applies
// the dropped ones to the base state. f.mu must be held.
func (f *Follower) dropOldRecords() {
	size := 0
	for _, r := range f.recent {
		size += len(r.Data)
	}
	drop := 0
	for drop < len(f.recent)-1 && (len(f.recent)-drop > maxRecentRecords || size > maxRecentBytes) {
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

// logUnavailable returns the fault for operations that need the log while it is
// unreachable.
func logUnavailable(err error) error {
	return fault.Wrap(err, fault.LogUnavailable, "the log service can't be reached")
}
