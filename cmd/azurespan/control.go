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
	// controlLog is the part of the log service's client that publish uses.
	// Offsets start at 1. A failed call returns a *logsvc.Error.
	controlLog interface {
		Append(ctx context.Context, stream string, data ...[]byte) (first uint64, timeMS int64, err error)
		Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logsvc.Page, error)
	}

	// controlReader applies the control stream to a state machine as the
	// daemons do, and records the outcome of each publication.
	controlReader struct {
		log   controlLog
		state *ctrl.State
		// next is the offset of the next record to read.
		next uint64
		// droppedThrough is the offset of the last record that the log dropped
		// before it was read, until a snapshot that covers it has been found;
		// then 0. pending holds the records after it meanwhile.
		droppedThrough uint64
		pending        []logsvc.Record
		// gaps counts how often records were dropped before they were read.
		gaps int
		// publications holds the outcomes by the publication's identifier.
		publications map[string]publication
	}

	// publication is the outcome of one publish record.
	publication struct {
		offset uint64
		// known is false for a record whose outcome only a snapshot covers.
		known    bool
		accepted bool
		reason   ctrl.Reason
		detail   string
		// version and operator are those in force after the record.
		version  uint64
		operator string
	}

	// gapError is a control stream whose oldest records were dropped and are
	// not covered by a snapshot.
	gapError struct{ oldest uint64 }
)

const (
	controlStream = "control"
	// maxPageRecords bounds one read. Publish records at the target are about
	// 15 KB each, so a page has up to about 1 MB.
	maxPageRecords = 64
	// callTimeout bounds one call, so that a call without a response leaves
	// time to find out its outcome.
	callTimeout = 5 * time.Second
)

func (e *gapError) Error() string {
	return fmt.Sprintf("the control stream starts at offset %d and no snapshot covers the records before it", e.oldest)
}

func newControlReader(l controlLog) *controlReader {
	return &controlReader{log: l, state: ctrl.New(), next: 1, publications: map[string]publication{}}
}

// catchUp reads and applies all records up to the end of the stream.
func (c *controlReader) catchUp(ctx context.Context) error {
	for {
		page, err := c.readPage(ctx)
		if err != nil {
			return err
		}
		if page.Oldest > c.next {
			// Records were dropped before they were read.
			c.droppedThrough, c.pending = page.Oldest-1, nil
			c.gaps++
			c.next = page.Oldest
		}
		before := c.next
		for _, r := range page.Records {
			if r.Offset < c.next {
				continue
			}
			c.next = r.Offset + 1
			c.apply(r)
		}
		if c.next >= page.End {
			if c.droppedThrough > 0 {
				return &gapError{oldest: c.droppedThrough + 1}
			}
			return nil
		}
		if c.next == before {
			return &protocolError{service: "the log service", detail: fmt.Sprintf("no record at offset %d before the end %d", c.next, page.End)}
		}
	}
}

func (c *controlReader) readPage(ctx context.Context) (logsvc.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.log.Read(ctx, controlStream, c.next, maxPageRecords, 0)
}

// apply applies one record, or keeps it until a snapshot is found.
func (c *controlReader) apply(r logsvc.Record) {
	decoded, err := record.Decode(r.Data)
	if c.droppedThrough > 0 {
		c.pending = append(c.pending, r)
		if s, ok := decoded.(record.Snapshot); ok && err == nil {
			c.restore(s)
		}
		return
	}
	if err != nil {
		c.state.Skip(r.Offset)
		return
	}
	outcome := c.state.Apply(r.Offset, decoded)
	p, ok := decoded.(record.Publish)
	if !ok || c.publications[p.Publication].accepted {
		return
	}
	c.publications[p.Publication] = publication{
		offset: r.Offset, known: true, accepted: outcome.Reason == ctrl.Accepted, reason: outcome.Reason, detail: outcome.Detail,
		version: c.state.Version(), operator: c.state.Operator(),
	}
}

// restore restores the state from a snapshot, if it covers all dropped records,
// and applies the pending records after it.
func (c *controlReader) restore(s record.Snapshot) {
	if s.AsOf < c.droppedThrough {
		return
	}
	state, err := ctrl.Restore(s.State)
	if err != nil || state.Applied() != s.AsOf {
		return
	}
	c.state, c.droppedThrough = state, 0
	pending := c.pending
	c.pending = nil
	for _, r := range pending {
		if r.Offset > s.AsOf {
			c.apply(r)
			continue
		}
		if p, ok := decodePublish(r.Data); ok {
			// The state before the snapshot can't be rebuilt, but the version
			// in force at the snapshot is known to have been accepted.
			c.publications[p.Publication] = publication{
				offset: r.Offset, known: state.Version() == r.Offset, accepted: state.Version() == r.Offset,
				version: state.Version(), operator: state.Operator(),
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
