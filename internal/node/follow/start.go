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

// skipTries bounds how often a starting daemon asks for a peer's state.
const skipTries = 3

// restart rebuilds the fold when the stream no longer holds the next record:
// at the start of a daemon, or after it was paused for longer than the
// retention. It uses the newest snapshot whose following records are all
// still there, and a peer's state if there is none.
func (f *Follower) restart(ctx context.Context, page logsvc.Page) error {
	oldest := page.Oldest
	var all []logsvc.Record
	var base *record.Snapshot
	for from := oldest; ; {
		p, err := f.log.Read(ctx, Stream, from, pageMax, 0)
		if err != nil {
			return err
		}
		for _, r := range p.Records {
			all = append(all, r)
			from = r.Offset + 1
			rec, err := record.Decode(r.Data)
			if err != nil {
				continue
			}
			if s, ok := rec.(record.Snapshot); ok && s.AsOf+1 >= oldest {
				base = &s
				all = trim(all, s.AsOf)
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
	if err := f.install(state); err != nil {
		return err
	}
	f.apply(all)
	return nil
}

// skipAhead installs a peer's state at the start of a daemon before a long
// stream, and reports whether it did. At the target a day of publications is
// 14 MB in the log, and the state is 46 KB. The fold is deterministic, so the
// peer's state is what the records would give.
func (f *Follower) skipAhead(ctx context.Context) bool {
	for range skipTries {
		if state, err := f.peers.State(ctx); err == nil {
			if err := f.install(state); err != nil {
				event.RecordSkipped.Log("offset", 0, "err", err)
				return false
			}
			applied, _, _ := f.Status()
			return applied > 0
		}
		// The first exchanges with peers may not have come yet.
		if !pause.For(ctx, f.set.RetryDelay) {
			return false
		}
	}
	return false
}

// trim drops the records up to and including offset.
func trim(all []logsvc.Record, offset uint64) []logsvc.Record {
	for i, r := range all {
		if r.Offset > offset {
			return append([]logsvc.Record(nil), all[i:]...)
		}
	}
	return nil
}

// install replaces the fold by a newer one; an older one is ignored, so that
// no configuration reverts.
func (f *Follower) install(state []byte) error {
	l, err := ctrl.Restore(state)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Applied() <= f.led.Applied() {
		return nil
	}
	f.led = l
	f.lastSnap = l.Applied()
	f.recent, f.base = nil, l.Clone()
	f.outcomes = map[uint64]ctrl.Outcome{}
	event.SnapshotInstalled.Log("applied", l.Applied(), "version", l.Version())
	f.notify()
	return nil
}

// fromPeers asks peers for newer records while the log can't be read.
func (f *Follower) fromPeers(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, f.set.PeerPollInterval)
	defer cancel()
	from, _ := f.next()
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
	// has dropped what is missing here.
	if state, err := f.peers.State(c); err == nil {
		if err := f.install(state); err != nil {
			event.RecordSkipped.Log("offset", from, "err", err)
		}
	}
}
