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
func (p *part) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var w sync.WaitGroup
	w.Add(1)
	go func() {
		defer w.Done()
		p.write(ctx)
	}()
	p.follow(ctx)
	cancel()
	w.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.refuseAll(notOwner(p.stream))
	p.ownershipChanged()
}

func (p *part) follow(ctx context.Context) {
	pause, wait := p.k.set.MinBackoff, p.k.set.PollWait
	for ctx.Err() == nil {
		if _, err := p.poll(ctx, wait); err != nil {
			if ctx.Err() != nil {
				return
			}
			// The stream counts as unreadable until a read is answered, so the
			// next one does not wait for new records.
			wait = 0
			p.unreadable(err)
			p.k.sleep(ctx, pause)
			pause = min(2*pause, p.k.set.MaxBackoff)
			continue
		}
		pause, wait = p.k.set.MinBackoff, p.k.set.PollWait
		p.mu.Lock()
		stop := !p.assigned && !p.mine()
		p.mu.Unlock()
		if stop {
			return
		}
	}
}

// catchUp reads to the end that the stream has when it is called.
func (p *part) catchUp(ctx context.Context) error {
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
func (p *part) poll(ctx context.Context, wait time.Duration) (end bool, err error) {
	p.mu.Lock()
	from := uint64(1)
	if p.fold != nil {
		from = p.fold.Applied() + 1
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+p.k.set.AppendTimeout)
	defer cancel()
	page, err := p.k.log.Read(ctx, p.stream, from, pageSize, wait)
	if err != nil {
		return false, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.readable {
		p.readable = true
		p.signal()
	}
	if p.fold == nil || page.Oldest > p.fold.Applied()+1 {
		p.restart(page)
	}
	for _, e := range page.Records {
		if e.Offset > p.fold.Applied() {
			p.apply(e)
		}
	}
	p.acknowledge(p.fold.Applied())
	return p.fold.Applied()+1 >= page.End, nil
}

// acknowledge ends the done and withdraw calls up to offset; p.mu is held.
func (p *part) acknowledge(offset uint64) {
	rest := p.unread[:0]
	for _, c := range p.unread {
		if c.offset > offset {
			rest = append(rest, c)
			continue
		}
		p.settle(c, Decision{}, nil)
	}
	clear(p.unread[len(rest):])
	p.unread = rest
}

// restart begins the fold at the oldest retained record; p.mu is held. After
// a gap the partition is not owned until a later ownership record is read, and
// waiting claims are refused, because records that decide them may be lost.
func (p *part) restart(page Page) {
	if p.fold != nil {
		event.ClaimsGap.Log("stream", p.stream, "applied", p.fold.Applied(), "oldest", page.Oldest)
		p.refuseAll(notOwner(p.stream))
	}
	p.fold = claims.New(p.k.set.Limits, page.Oldest, page.End)
	p.ownershipChanged()
	p.signal()
}

func (p *part) apply(e Entry) {
	rs, err := claims.Decode(p.batch[:0], e.Data)
	if err != nil {
		event.ClaimsRecordSkipped.Log("stream", p.stream, "offset", e.Offset, "err", err)
		p.fold.Skip(e.Offset, e.TimeMS)
		return
	}
	p.batch = rs
	wasMine := p.mine()
	p.out = p.fold.Apply(p.out[:0], e.Offset, e.TimeMS, rs...)
	for _, o := range p.out {
		switch r := o.Record.(type) {
		case claims.TakeOwnership:
			p.ownership(wasMine, r)
			wasMine = p.mine()
		case claims.Claim:
			if c := p.claims[r.ID]; c != nil && c.stage != settled {
				p.read(c, o.Reason)
			}
		case claims.Done:
			delete(p.running, r.ID)
			delete(p.reported, r.ID)
		case claims.Withdraw:
			delete(p.running, r.ID)
			delete(p.refused, r.ID)
		}
	}
}

// ownership handles an ownership record that was applied.
func (p *part) ownership(wasMine bool, r claims.TakeOwnership) {
	p.ownershipChanged()
	if r.Daemon == p.k.set.Daemon {
		event.PartitionTaken.Log("stream", p.stream, "epoch", p.fold.Owner().Epoch, "previous", r.Previous)
		p.prune()
		return
	}
	if wasMine {
		p.retake = min(max(2*p.retake, p.k.set.MinRetakeDelay), p.k.set.MaxRetakeDelay)
		event.PartitionLost.Log("stream", p.stream, "epoch", p.fold.Owner().Epoch, "owner", r.Daemon)
	}
	// Any claim under the old epoch that is not read yet is void, so no
	// withdrawal is needed.
	p.refuseAll(notOwner(p.stream))
	p.signal()
}

// prune forgets granted claims whose claimant died: their deadline passed more
// than a window ago, so that their keys are expired.
func (p *part) prune() {
	oldest := time.UnixMilli(p.fold.LogTimeMS()).Add(-p.k.set.Limits.Window)
	for id, until := range p.running {
		if until.Before(oldest) {
			delete(p.running, id)
		}
	}
}

func (p *part) ownershipChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// read settles a waiting claim whose record was read; p.mu is held.
func (p *part) read(c *call, why claims.Reason) {
	r := c.record.(claims.Claim)
	switch why {
	case claims.StaleEpoch:
		// This daemon renewed its ownership between the append and the
		// record; the claim is appended again under the new epoch.
		if c.stage == appended && p.mine() {
			p.enqueue(c)
		}
		return
	case claims.KeyAhead:
		p.settle(c, Decision{}, fault.New(fault.BadRequest, "the key's time is ahead of the log's clock"))
		return
	}
	if g, ok := p.fold.Query(r.Key, r.Digest, r.ID).(claims.Granted); ok {
		p.settle(c, Decision{State: Granted, ID: g.ID}, nil)
		return
	}
	d, f := p.answer(time.Time{}, r.Key, r.Digest, r.ID)
	if f == nil && d.State == 0 {
		// The claim that held the key was withdrawn in the same batch.
		f = unavailable("the key was taken by a claim that is withdrawn")
	}
	p.settle(c, d, f)
}

// refuseAll ends all waiting calls; p.mu is held.
func (p *part) refuseAll(f *fault.Fault) {
	for _, c := range p.claims {
		p.settle(c, Decision{}, f)
	}
	for _, c := range p.queue {
		p.settle(c, Decision{}, f)
	}
	p.queue = nil
	p.acknowledge(math.MaxUint64)
	clear(p.running)
	clear(p.reported)
	clear(p.refused)
}

// unreadable refuses the claims for which nothing was appended; the others
// wait for their deadline.
func (p *part) unreadable(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readable {
		event.ClaimsUnreadable.Log("stream", p.stream, "err", err)
	}
	p.readable = false
	for _, c := range p.claims {
		if c.stage == queued && !c.ambiguous {
			p.settle(c, Decision{}, unavailable("%s can't be read", p.stream))
		}
	}
}

// sleep waits between half of d and d, or until ctx ends.
func (k *Server) sleep(ctx context.Context, d time.Duration) {
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

func notAppended(err error) bool {
	var n *NotAppendedError
	return errors.As(err, &n)
}
