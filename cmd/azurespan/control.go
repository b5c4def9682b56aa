package main

import (
	"context"
	"fmt"
	"time"

	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/logsvc"
)

type (
	// controlLog is what this command needs of the log service. Offsets start
	// at 1. A failed call returns a *stream.Error.
	controlLog interface {
		Append(ctx context.Context, stream string, data ...[]byte) (first uint64, timeMS int64, err error)
		Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logsvc.Page, error)
	}

	// folder folds the control stream as the daemons do, and keeps what
	// became of each publication.
	folder struct {
		log    controlLog
		ledger *ctrl.State
		next   uint64
		// pending holds records since the oldest retained one while no
		// snapshot was found that covers the dropped records before it.
		pending []logsvc.Record
		dropped uint64
		// gaps counts how often records were dropped before they were read.
		gaps  int
		found map[string]publication
	}

	// publication is what became of one publish record.
	publication struct {
		offset uint64
		// known is false for a record that only a snapshot covers.
		known    bool
		accepted bool
		reason   ctrl.Reason
		detail   string
		// version and operator are in force after the record.
		version  uint64
		operator string
	}

	// gapError is a stream whose oldest records were dropped without a
	// snapshot that covers them.
	gapError struct{ oldest uint64 }
)

const (
	controlStream = "control"
	// pageRecords bounds a read. Publish records at the target are about 15
	// KB each, so a page has up to about 1 MB.
	pageRecords = 64
	// callTimeout bounds one call, so that a call without an answer leaves
	// time to find out what became of it.
	callTimeout = 5 * time.Second
)

func (e *gapError) Error() string {
	return fmt.Sprintf("the control stream starts at offset %d and no snapshot covers the records before it", e.oldest)
}

func newFolder(l controlLog) *folder {
	return &folder{log: l, ledger: ctrl.New(), next: 1, found: map[string]publication{}}
}

// catchUp reads and folds all records up to the end of the stream.
func (f *folder) catchUp(ctx context.Context) error {
	for {
		page, err := f.read(ctx)
		if err != nil {
			return err
		}
		if page.Oldest > f.next {
			// Records were dropped before they were read.
			f.dropped, f.pending = page.Oldest-1, nil
			f.gaps++
			f.next = page.Oldest
		}
		before := f.next
		for _, r := range page.Records {
			if r.Offset < f.next {
				continue
			}
			f.next = r.Offset + 1
			f.apply(r)
		}
		if f.next >= page.End {
			if f.dropped > 0 {
				return &gapError{oldest: f.dropped + 1}
			}
			return nil
		}
		if f.next == before {
			return &answerError{service: "the log service", detail: fmt.Sprintf("no record at offset %d before the end %d", f.next, page.End)}
		}
	}
}

func (f *folder) read(ctx context.Context) (logsvc.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.log.Read(ctx, controlStream, f.next, pageRecords, 0)
}

// apply folds one record, or keeps it until a snapshot is found.
func (f *folder) apply(r logsvc.Record) {
	decoded, err := record.Decode(r.Data)
	if f.dropped > 0 {
		f.pending = append(f.pending, r)
		if s, ok := decoded.(record.Snapshot); ok && err == nil {
			f.restore(s)
		}
		return
	}
	if err != nil {
		f.ledger.Skip(r.Offset)
		return
	}
	out := f.ledger.Apply(r.Offset, decoded)
	p, ok := decoded.(record.Publish)
	if !ok || f.found[p.Publication].accepted {
		return
	}
	f.found[p.Publication] = publication{
		offset: r.Offset, known: true, accepted: out.Reason == ctrl.Accepted, reason: out.Reason, detail: out.Detail,
		version: f.ledger.Version(), operator: f.ledger.Operator(),
	}
}

// restore starts from a snapshot, if it covers all dropped records, and folds
// the pending records after it.
func (f *folder) restore(s record.Snapshot) {
	if s.AsOf < f.dropped {
		return
	}
	l, err := ctrl.Restore(s.State)
	if err != nil || l.Applied() != s.AsOf {
		return
	}
	f.ledger, f.dropped = l, 0
	pending := f.pending
	f.pending = nil
	for _, r := range pending {
		if r.Offset > s.AsOf {
			f.apply(r)
			continue
		}
		if p, ok := decodePublish(r.Data); ok {
			// The fold before the snapshot can't be repeated, but the version
			// in force at the snapshot is known to be accepted.
			f.found[p.Publication] = publication{
				offset: r.Offset, known: l.Version() == r.Offset, accepted: l.Version() == r.Offset,
				version: l.Version(), operator: l.Operator(),
			}
		}
	}
}

func decodePublish(b []byte) (record.Publish, bool) {
	r, err := record.Decode(b)
	if err != nil {
		return record.Publish{}, false
	}
	p, ok := r.(record.Publish)
	return p, ok
}
