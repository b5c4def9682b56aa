package dedup

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/claims"
)

const (
	// pageSize is the largest number of log records in one read.
	pageSize = 1000
	// pruneInterval is the time of the log between two removals of granted claims,
	// since each goes over all of them.
	pruneInterval = time.Minute
)

// run reads the stream and appends to it until ctx ends or the partition is
// neither assigned nor owned.
func (p *partition) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		p.appendLoop(ctx)
	}()
	p.readLoop(ctx)
	cancel()
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.refuseAll(notOwnerFault(p.stream))
	p.notifyOwnerChanged()
}

// readLoop reads the stream until ctx ends or the partition is neither assigned
// nor owned.
func (p *partition) readLoop(ctx context.Context) {
	pause, wait := p.server.settings.MinBackoff, p.server.settings.PollWait
	for ctx.Err() == nil {
		if _, err := p.poll(ctx, wait); err != nil {
			if ctx.Err() != nil {
				return
			}
			// The stream counts as unreadable until a read succeeds, so the
			// next read does not wait for new records.
			wait = 0
			p.markUnreadable(err)
			p.server.sleepWithJitter(ctx, pause)
			pause = min(2*pause, p.server.settings.MaxBackoff)
			continue
		}
		pause, wait = p.server.settings.MinBackoff, p.server.settings.PollWait
		p.mu.Lock()
		stop := !p.assigned && !p.isOwner()
		p.mu.Unlock()
		if stop {
			return
		}
	}
}

// catchUp reads to the end that the stream has at the time of the call.
func (p *partition) catchUp(ctx context.Context) error {
	for {
		end, err := p.poll(ctx, 0)
		if err != nil {
			return err
		}
		if end {
			return nil
		}
	}
}

// poll reads one page, waiting up to wait for new records, and applies them. It
// reports whether the page reached the end of the stream.
func (p *partition) poll(ctx context.Context, wait time.Duration) (end bool, err error) {
	p.mu.Lock()
	from := uint64(1)
	if p.state != nil {
		from = p.state.Applied() + 1
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+p.server.settings.AppendTimeout)
	defer cancel()
	page, err := p.server.log.Read(ctx, p.stream, from, pageSize, wait)
	if err != nil {
		return false, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.readable {
		p.readable = true
		p.wakeAppender()
	}
	if p.state == nil || page.Oldest > p.state.Applied()+1 {
		p.resetState(page)
	}
	for _, e := range page.Records {
		if e.Offset > p.state.Applied() {
			p.applyEntry(e)
		}
	}
	if at := p.state.LogTimeMS(); at-p.prunedMS >= pruneInterval.Milliseconds() {
		p.prunedMS = at
		p.pruneGranted()
	}
	p.confirm(p.state.Applied())
	return p.state.Applied()+1 >= page.End, nil
}

// confirm settles the done and withdraw operations up to offset; p.mu is held.
func (p *partition) confirm(offset uint64) {
	rest := p.unconfirmed[:0]
	for _, op := range p.unconfirmed {
		if op.offset > offset {
			rest = append(rest, op)
			continue
		}
		p.settle(op, Decision{}, nil)
	}
	clear(p.unconfirmed[len(rest):])
	p.unconfirmed = rest
}

// resetState replaces the state by an initial one at the oldest retained record;
// p.mu is held. After a gap, the partition is not owned until a later ownership
// record is read, and pending claims are refused, because records that decide
// them may have been dropped.
func (p *partition) resetState(page Page) {
	if p.state != nil {
		event.ClaimsGap.Log("stream", p.stream, "applied", p.state.Applied(), "oldest", page.Oldest)
		p.refuseAll(notOwnerFault(p.stream))
	}
	p.state = claims.New(p.server.settings.Limits, page.Oldest, page.End)
	p.notifyOwnerChanged()
	p.wakeAppender()
}

// applyEntry applies one log record; p.mu is held.
func (p *partition) applyEntry(e Entry) {
	records, err := claims.Decode(p.decoded[:0], e.Data)
	if err != nil {
		event.ClaimsRecordSkipped.Log("stream", p.stream, "offset", e.Offset, "err", err)
		p.state.Skip(e.Offset, e.TimeMS)
		return
	}
	p.decoded = records
	wasOwner := p.isOwner()
	p.outcomes = p.state.Apply(p.outcomes[:0], e.Offset, e.TimeMS, records...)
	for _, o := range p.outcomes {
		switch r := o.Record.(type) {
		case claims.TakeOwnership:
			p.applyOwnership(wasOwner, r)
			wasOwner = p.isOwner()
		case claims.Claim:
			if op := p.pendingClaims[r.ID]; op != nil && op.stage != settled {
				p.applyClaim(op, o.Reason)
			}
		case claims.Done:
			delete(p.granted, r.ID)
			delete(p.reported, r.ID)
		case claims.Withdraw:
			delete(p.granted, r.ID)
			delete(p.refused, r.ID)
		}
	}
}

// applyOwnership handles an ownership record that was applied to the state;
// wasOwner states whether this daemon was the owner before. p.mu is held.
func (p *partition) applyOwnership(wasOwner bool, r claims.TakeOwnership) {
	p.notifyOwnerChanged()
	if r.Daemon == p.server.settings.Daemon {
		event.PartitionAcquired.Log("stream", p.stream, "epoch", p.state.Owner().Epoch, "previous", r.Previous)
		return
	}
	if wasOwner {
		p.retakeDelay = min(max(2*p.retakeDelay, p.server.settings.MinRetakeDelay), p.server.settings.MaxRetakeDelay)
		event.PartitionLost.Log("stream", p.stream, "epoch", p.state.Owner().Epoch, "owner", r.Daemon)
	}
	// A claim record under the old epoch that follows in the stream is invalid,
	// so no withdrawal is needed.
	p.refuseAll(notOwnerFault(p.stream))
	p.wakeAppender()
}

// pruneGranted removes the granted claims whose claimant died. Their deadline
// passed more than a window ago, so their keys are expired.
func (p *partition) pruneGranted() {
	oldest := time.UnixMilli(p.state.LogTimeMS()).Add(-p.server.settings.Limits.Window)
	for id, deadline := range p.granted {
		if deadline.Before(oldest) {
			delete(p.granted, id)
		}
	}
}

// notifyOwnerChanged wakes the callers that wait for a change of the ownership;
// p.mu is held.
func (p *partition) notifyOwnerChanged() {
	close(p.ownerChanged)
	p.ownerChanged = make(chan struct{})
}

// applyClaim settles a pending claim whose record was read; p.mu is held.
func (p *partition) applyClaim(op *operation, reason claims.Reason) {
	r := op.record.(claims.Claim)
	switch reason {
	case claims.StaleEpoch:
		// This daemon's renewed ownership precedes the claim's record in
		// the stream. The claim is appended again under the new epoch.
		if op.stage == appended && p.isOwner() {
			p.enqueue(op)
		}
		return
	case claims.KeyAhead:
		p.settle(op, Decision{}, fault.New(fault.BadRequest, "the key's time is ahead of the log's clock"))
		return
	}
	if g, ok := p.state.Query(r.Key, r.Digest, r.ID).(claims.Granted); ok {
		p.settle(op, Decision{State: Granted, ID: g.ID}, nil)
		return
	}
	d, f := p.lookup(time.Time{}, r.Key, r.Digest, r.ID)
	if f == nil && d.State == 0 {
		// The claim that held the key was withdrawn by a later record of the
		// same batch.
		f = logUnavailableFault("the key was taken by a claim that is withdrawn")
	}
	p.settle(op, d, f)
}

// refuseAll refuses all unsettled claims and queued operations with f, and
// settles the unconfirmed operations as successful; p.mu is held.
func (p *partition) refuseAll(f *fault.Fault) {
	for _, op := range p.pendingClaims {
		p.settle(op, Decision{}, f)
	}
	for _, op := range p.queue {
		p.settle(op, Decision{}, f)
	}
	p.queue = nil
	p.confirm(math.MaxUint64)
	clear(p.granted)
	clear(p.reported)
	clear(p.refused)
}

// markUnreadable records a failed read. It refuses the claims for which nothing
// was appended; the others wait for their deadline.
func (p *partition) markUnreadable(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readable {
		event.ClaimsUnreadable.Log("stream", p.stream, "err", err)
	}
	p.readable = false
	for _, op := range p.pendingClaims {
		if op.stage == queued && !op.ambiguous {
			p.settle(op, Decision{}, logUnavailableFault("%s can't be read", p.stream))
		}
	}
}

// sleepWithJitter waits for a random time between half of d and d, or until ctx
// ends.
func (s *Server) sleepWithJitter(ctx context.Context, d time.Duration) {
	var b [8]byte
	if _, err := s.random.Read(b[:]); err == nil {
		d = d/2 + time.Duration(binary.BigEndian.Uint64(b[:])%uint64(d/2+1))
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func isNotAppended(err error) bool {
	var n *NotAppendedError
	return errors.As(err, &n)
}
