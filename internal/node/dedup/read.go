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

// pageSize is the largest number of log records in one read.
const pageSize = 1000

// run follows the stream and appends until ctx ends or the partition is
// neither assigned nor owned.
func (p *partition) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var w sync.WaitGroup
	w.Add(1)
	go func() {
		defer w.Done()
		p.appendLoop(ctx)
	}()
	p.readLoop(ctx)
	cancel()
	w.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.refuseAll(notOwnerFault(p.stream))
	p.notifyOwnerChanged()
}

func (p *partition) readLoop(ctx context.Context) {
	pause, wait := p.server.settings.MinBackoff, p.server.settings.PollWait
	for ctx.Err() == nil {
		if _, err := p.poll(ctx, wait); err != nil {
			if ctx.Err() != nil {
				return
			}
			// The stream counts as unreadable until a read is answered, so the
			// next one does not wait for new records.
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

// catchUp reads to the end that the stream has when it is called.
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

// poll reads one page, waiting up to wait for it, and applies what is new. It
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
	p.confirm(p.state.Applied())
	return p.state.Applied()+1 >= page.End, nil
}

// acknowledge ends the done and withdraw calls up to offset; p.mu is held.
func (p *partition) confirm(offset uint64) {
	rest := p.unconfirmed[:0]
	for _, c := range p.unconfirmed {
		if c.offset > offset {
			rest = append(rest, c)
			continue
		}
		p.settle(c, Decision{}, nil)
	}
	clear(p.unconfirmed[len(rest):])
	p.unconfirmed = rest
}

// restart begins the fold at the oldest retained record; p.mu is held. After
// a gap the partition is not owned until a later ownership record is read, and
// waiting claims are refused, because records that decide them may be lost.
func (p *partition) resetState(page Page) {
	if p.state != nil {
		event.ClaimsGap.Log("stream", p.stream, "applied", p.state.Applied(), "oldest", page.Oldest)
		p.refuseAll(notOwnerFault(p.stream))
	}
	p.state = claims.New(p.server.settings.Limits, page.Oldest, page.End)
	p.notifyOwnerChanged()
	p.wakeAppender()
}

func (p *partition) applyEntry(e Entry) {
	rs, err := claims.Decode(p.decoded[:0], e.Data)
	if err != nil {
		event.ClaimsRecordSkipped.Log("stream", p.stream, "offset", e.Offset, "err", err)
		p.state.Skip(e.Offset, e.TimeMS)
		return
	}
	p.decoded = rs
	wasMine := p.isOwner()
	p.outcomes = p.state.Apply(p.outcomes[:0], e.Offset, e.TimeMS, rs...)
	for _, o := range p.outcomes {
		switch r := o.Record.(type) {
		case claims.TakeOwnership:
			p.applyOwnership(wasMine, r)
			wasMine = p.isOwner()
		case claims.Claim:
			if c := p.pendingClaims[r.ID]; c != nil && c.stage != settled {
				p.applyClaim(c, o.Reason)
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

// ownership handles an ownership record that was applied.
func (p *partition) applyOwnership(wasMine bool, r claims.TakeOwnership) {
	p.notifyOwnerChanged()
	if r.Daemon == p.server.settings.Daemon {
		event.PartitionTaken.Log("stream", p.stream, "epoch", p.state.Owner().Epoch, "previous", r.Previous)
		p.pruneGranted()
		return
	}
	if wasMine {
		p.retakeDelay = min(max(2*p.retakeDelay, p.server.settings.MinRetakeDelay), p.server.settings.MaxRetakeDelay)
		event.PartitionLost.Log("stream", p.stream, "epoch", p.state.Owner().Epoch, "owner", r.Daemon)
	}
	// Any claim under the old epoch that is not read yet is void, so no
	// withdrawal is needed.
	p.refuseAll(notOwnerFault(p.stream))
	p.wakeAppender()
}

// prune forgets granted claims whose claimant died: their deadline passed more
// than a window ago, so that their keys are expired.
func (p *partition) pruneGranted() {
	oldest := time.UnixMilli(p.state.LogTimeMS()).Add(-p.server.settings.Limits.Window)
	for id, until := range p.granted {
		if until.Before(oldest) {
			delete(p.granted, id)
		}
	}
}

func (p *partition) notifyOwnerChanged() {
	close(p.ownerChanged)
	p.ownerChanged = make(chan struct{})
}

// read settles a waiting claim whose record was read; p.mu is held.
func (p *partition) applyClaim(c *operation, why claims.Reason) {
	r := c.record.(claims.Claim)
	switch why {
	case claims.StaleEpoch:
		// This daemon renewed its ownership between the append and the
		// record; the claim is appended again under the new epoch.
		if c.stage == appended && p.isOwner() {
			p.enqueue(c)
		}
		return
	case claims.KeyAhead:
		p.settle(c, Decision{}, fault.New(fault.BadRequest, "the key's time is ahead of the log's clock"))
		return
	}
	if g, ok := p.state.Query(r.Key, r.Digest, r.ID).(claims.Granted); ok {
		p.settle(c, Decision{State: Granted, ID: g.ID}, nil)
		return
	}
	d, f := p.lookup(time.Time{}, r.Key, r.Digest, r.ID)
	if f == nil && d.State == 0 {
		// The claim that held the key was withdrawn in the same batch.
		f = logUnavailableFault("the key was taken by a claim that is withdrawn")
	}
	p.settle(c, d, f)
}

// refuseAll ends all waiting calls; p.mu is held.
func (p *partition) refuseAll(f *fault.Fault) {
	for _, c := range p.pendingClaims {
		p.settle(c, Decision{}, f)
	}
	for _, c := range p.queue {
		p.settle(c, Decision{}, f)
	}
	p.queue = nil
	p.confirm(math.MaxUint64)
	clear(p.granted)
	clear(p.reported)
	clear(p.refused)
}

// unreadable refuses the claims for which nothing was appended; the others
// wait for their deadline.
func (p *partition) markUnreadable(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readable {
		event.ClaimsUnreadable.Log("stream", p.stream, "err", err)
	}
	p.readable = false
	for _, c := range p.pendingClaims {
		if c.stage == queued && !c.ambiguous {
			p.settle(c, Decision{}, logUnavailableFault("%s can't be read", p.stream))
		}
	}
}

// sleep waits between half of d and d, or until ctx ends.
func (k *Server) sleepWithJitter(ctx context.Context, d time.Duration) {
	var b [8]byte
	if _, err := k.random.Read(b[:]); err == nil {
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
