package dedup

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/core/claims"
)

// write takes ownership when it is due and appends what is queued.
func (p *partition) appendLoop(ctx context.Context) {
	pause := p.server.settings.MinBackoff
	for ctx.Err() == nil {
		again, err := p.appendNext(ctx)
		switch {
		case err != nil:
			p.server.sleepWithJitter(ctx, pause)
			pause = min(2*pause, p.server.settings.MaxBackoff)
		case again:
			pause = p.server.settings.MinBackoff
		default:
			pause = p.server.settings.MinBackoff
			select {
			case <-p.wakeup:
			case <-ctx.Done():
			}
		}
	}
}

// step does one append, if there is anything to append. It reports whether
// there may be more.
func (p *partition) appendNext(ctx context.Context) (again bool, err error) {
	p.mu.Lock()
	take, pause := p.ownershipDue(), p.retakeDelay
	p.mu.Unlock()
	if take {
		// Two daemons that disagree about membership would otherwise take
		// the partition from each other as fast as the log allows.
		if pause > 0 && !p.delayTakeover(ctx, pause) {
			return true, nil
		}
		return true, p.takeOwnership(ctx)
	}
	calls, rs := p.nextBatch()
	if len(calls) == 0 {
		return false, nil
	}
	data, err := claims.Encode(rs...)
	if err != nil {
		return true, p.handleAppendResult(calls, 0, &NotAppendedError{Cause: err})
	}
	first, err := p.appendRecord(ctx, data)
	if err == nil || isNotAppended(err) {
		return true, p.handleAppendResult(calls, first, err)
	}
	// The stream tells whether the records took effect. The calls stay as
	// they are until it can be read.
	p.handleAppendResult(calls, first, err)
	for {
		readErr := p.catchUp(ctx)
		if readErr == nil {
			break
		}
		if ctx.Err() != nil {
			return false, nil
		}
		p.markUnreadable(readErr)
		p.server.sleepWithJitter(ctx, p.server.settings.MinBackoff)
	}
	p.requeueMissing(calls)
	return true, err
}

// pauseTake waits and reports whether ownership still is due.
func (p *partition) delayTakeover(ctx context.Context, d time.Duration) bool {
	p.server.sleepWithJitter(ctx, d)
	p.mu.Lock()
	defer p.mu.Unlock()
	return ctx.Err() == nil && p.ownershipDue()
}

func (p *partition) appendRecord(ctx context.Context, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, p.server.settings.AppendTimeout)
	defer cancel()
	first, _, err := p.server.log.Append(ctx, p.stream, data)
	return first, err
}

// takeDue reports whether an ownership record should be appended: the
// partition is assigned to this daemon and another one owns it, or the own
// record is half a window old. Renewal keeps a record in the retained part of
// the stream, so that a reader that starts late knows the epoch.
func (p *partition) ownershipDue() bool {
	if !p.assigned || p.state == nil {
		return p.assigned && p.state == nil
	}
	o := p.state.Owner()
	return !p.isOwner() || p.state.LogTimeMS()-o.TimeMS > p.server.settings.Limits.Window.Milliseconds()/2
}

// take appends an ownership record if it still is due at the stream's end.
func (p *partition) takeOwnership(ctx context.Context) error {
	if err := p.catchUp(ctx); err != nil {
		p.markUnreadable(err)
		return err
	}
	p.mu.Lock()
	due := p.ownershipDue()
	r := claims.TakeOwnership{Daemon: p.server.settings.Daemon, Previous: p.state.Owner().Epoch}
	p.mu.Unlock()
	if !due {
		return nil
	}
	data, err := claims.Encode(r)
	if err != nil {
		return err
	}
	_, err = p.appendRecord(ctx, data)
	if err != nil && isNotAppended(err) {
		return err
	}
	if readErr := p.catchUp(ctx); readErr != nil {
		p.markUnreadable(readErr)
		return readErr
	}
	return err
}

// next moves calls from the queue into one batch and returns their records,
// with claims under the current epoch.
func (p *partition) nextBatch() ([]*operation, []claims.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls []*operation
	var rs []claims.Record
	rest := p.queue[:0:0]
	for _, c := range p.queue {
		switch {
		case c.stage == settled:
			continue
		case !p.isOwner() || len(calls) >= p.server.settings.MaxBatch:
			rest = append(rest, c)
			continue
		}
		if r, ok := c.record.(claims.Claim); ok {
			r.Epoch = p.state.Owner().Epoch
			c.record = r
		}
		c.stage = appending
		calls, rs = append(calls, c), append(rs, c.record)
	}
	p.queue = rest
	return calls, rs
}

// resolve records the result of an append at offset first, and returns its error if the calls
// should be tried again after a pause.
func (p *partition) handleAppendResult(calls []*operation, first uint64, err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var retry error
	for _, c := range calls {
		_, claim := c.record.(claims.Claim)
		switch {
		case c.stage == settled:
			if !c.abandoned {
				continue
			}
			if err == nil || !isNotAppended(err) || c.ambiguous {
				p.queueWithdrawal(c)
			} else {
				delete(p.refused, c.record.(claims.Claim).ID)
			}
		case err == nil && claim:
			c.stage = appended
		case err == nil:
			c.stage, c.offset = appended, first
			p.unconfirmed = append(p.unconfirmed, c)
		case !isNotAppended(err):
			c.stage, c.ambiguous = appended, true
		case claim && !c.ambiguous:
			f := logUnavailableFault("the log does not accept records")
			f.Cause = err
			p.settle(c, Decision{}, f)
		default:
			p.enqueue(c)
			retry = err
		}
	}
	if p.state != nil {
		p.confirm(p.state.Applied())
	}
	return retry
}

// again queues the calls that were not found in the stream.
func (p *partition) requeueMissing(calls []*operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range calls {
		if c.stage == appended {
			p.enqueue(c)
		}
	}
}
