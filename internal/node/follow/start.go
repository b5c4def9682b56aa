package follow

import (
	"context"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/logsvc"
)

// peerStateAttempts bounds how often a starting daemon asks for a peer's state.
const peerStateAttempts = 3

// rebuild rebuilds the control state when the stream no longer holds the next
// record: at the start of a daemon, or after it was paused for longer than the
// log's retention. It uses the newest snapshot whose following records are all
// retained, or a peer's state if there is no such snapshot.
func (f *Follower) rebuild(ctx context.Context, page logsvc.Page) error {
	oldest := page.Oldest
	var records []logsvc.Record
	var base *record.Snapshot
	for from := oldest; ; {
		p, err := f.log.Read(ctx, StreamName, from, pageRecords, 0)
		if err != nil {
			return err
		}
		for _, r := range p.Records {
			records = append(records, r)
			from = r.Offset + 1
			rec, err := record.Decode(r.Data)
			if err != nil {
				continue
			}
			if s, ok := rec.(record.Snapshot); ok && s.AsOf+1 >= oldest {
				base = &s
				records = recordsAfter(records, s.AsOf)
			}
		}
		if len(p.Records) == 0 || from >= p.End {
			break
		}
	}
	state := []byte(nil)
	if base != nil {
		state = base.State
	} else if b, err := f.peers.State(ctx); err == nil {
		state = b
	}
	if state == nil {
		return fault.New(fault.NotReady, "the control stream starts at offset %d without a snapshot, and no peer has the state", oldest)
	}
	if err := f.installState(state); err != nil {
		return err
	}
	f.apply(records)
	return nil
}

// startFromPeer installs a peer's state instead of reading a long stream from
// its start, and reports whether it did. At the target size, a day of
// publications is 14 MB in the log and the state is 46 KB. The state is a
// deterministic function of the records, so a peer's state is the same as the
// result of applying them.
func (f *Follower) startFromPeer(ctx context.Context) bool {
	for range peerStateAttempts {
		if state, err := f.peers.State(ctx); err == nil {
			if err := f.installState(state); err != nil {
				event.RecordSkipped.Log("offset", 0, "err", err)
				return false
			}
			applied, _, _ := f.Status()
			return applied > 0
		}
		// The first gossip exchange may not have taken place yet.
		if !pause.For(ctx, f.settings.RetryDelay) {
			return false
		}
	}
	return false
}

// recordsAfter returns a copy of the records after offset.
func recordsAfter(records []logsvc.Record, offset uint64) []logsvc.Record {
	for i, r := range records {
		if r.Offset > offset {
			return append([]logsvc.Record(nil), records[i:]...)
		}
	}
	return nil
}

// installState replaces the control state with a newer one. An older one is
// ignored, so that no configuration reverts.
func (f *Follower) installState(snapshot []byte) error {
	state, err := ctrl.Restore(snapshot)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if state.Applied() <= f.state.Applied() {
		return nil
	}
	f.state = state
	f.snapshotOffset = state.Applied()
	f.recent, f.base = nil, state.Clone()
	f.outcomes = map[uint64]ctrl.Outcome{}
	event.SnapshotInstalled.Log("applied", state.Applied(), "version", state.Version())
	f.notify()
	return nil
}

// readFromPeers gets newer records, or a newer state, from peers while the log
// can't be read.
func (f *Follower) readFromPeers(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, f.settings.PeerTimeout)
	defer cancel()
	from, _ := f.nextRead()
	page, err := f.peers.Records(c, from)
	if err != nil || page.End <= from {
		return
	}
	if len(page.Records) > 0 && page.Records[0].Offset == from {
		event.RecordsFromPeer.Log("from", from, "records", len(page.Records))
		f.apply(page.Records)
		return
	}
	// Control records have consecutive offsets, so a gap means that the peer
	// no longer retains the records that are missing here.
	if state, err := f.peers.State(c); err == nil {
		if err := f.installState(state); err != nil {
			event.RecordSkipped.Log("offset", from, "err", err)
		}
	}
}
