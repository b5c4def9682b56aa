package dedup

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/core/claims"
)

// appendLoop takes ownership when that is due and appends the queued records.
func (p *partition) appendLoop(ctx context.Context) {
	pause := p.server.settings.MinBackoff
	for ctx.Err() == nil {
		more, err := p.appendNext(ctx)
		switch {
		case err != nil:
			p.server.sleepWithJitter(ctx, pause)
			pause = min(2*pause, p.server.settings.MaxBackoff)
		case more:
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

// appendNext takes ownership or appends one batch, if there is one. It reports
// whether there may be more to append.
func (p *partition) appendNext(ctx context.Context) (more bool, err error) {
	p.mu.Lock()
	due, delay := p.ownershipDue(), p.retakeDelay
	p.mu.Unlock()
	if due {
		// Two daemons that disagree about membership would otherwise take
		// the partition from each other as fast as the log allows.
		if delay > 0 && !p.delayTakeover(ctx, delay) {
			return true, nil
		}
		return true, p.takeOwnership(ctx)
	}
	ops, records := p.nextBatch()
	if len(ops) == 0 {
		return false, nil
	}
	data, err := claims.Encode(records...)
	if err != nil {
		return true, p.handleAppendResult(ops, 0, &NotAppendedError{Cause: err})
	}
	first, err := p.appendRecord(ctx, data)
	if err == nil || isNotAppended(err) {
		return true, p.handleAppendResult(ops, first, err)
	}
	// Reading the stream shows whether the records took effect. Until it can be
	// read, the operations stay as they are.
	p.handleAppendResult(ops, first, err)
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
	p.requeueMissing(ops)
	return true, err
}

// delayTakeover waits and reports whether an ownership record is still due.
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

// ownershipDue reports whether an ownership record should be appended; p.mu is
// held. The partition must be assigned to this daemon. The record is due if this
// daemon does not own the partition, or if its own record is older than half a
// window: renewal keeps an ownership record in the retained part of the stream,
// so that a reader that starts late knows the epoch.
func (p *partition) ownershipDue() bool {
	if !p.assigned || p.state == nil {
		return p.assigned && p.state == nil
	}
	o := p.state.Owner()
	return !p.isOwner() || p.state.LogTimeMS()-o.TimeMS > p.server.settings.Limits.Window.Milliseconds()/2
}

// takeOwnership appends an ownership record if that is still due at the end of
// the stream, and reads it back.
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

// nextBatch removes at most MaxBatch operations from the queue and returns them
// and their records, with the current epoch in claims.
func (p *partition) nextBatch() ([]*operation, []claims.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ops []*operation
	var records []claims.Record
	rest := p.queue[:0:0]
	for _, op := range p.queue {
		switch {
		case op.stage == settled:
			continue
		case !p.isOwner() || len(ops) >= p.server.settings.MaxBatch:
			rest = append(rest, op)
			continue
		}
		if r, ok := op.record.(claims.Claim); ok {
			r.Epoch = p.state.Owner().Epoch
			op.record = r
		}
		op.stage = appending
		ops, records = append(ops, op), append(records, op.record)
	}
	p.queue = rest
	return ops, records
}

// handleAppendResult applies the result of an append to its operations; first is
// the offset of the log record. It returns err if operations should be appended
// again after a backoff.
func (p *partition) handleAppendResult(ops []*operation, first uint64, err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var retry error
	for _, op := range ops {
		_, isClaim := op.record.(claims.Claim)
		switch {
		case op.stage == settled:
			if !op.abandoned {
				continue
			}
			if err == nil || !isNotAppended(err) || op.ambiguous {
				p.queueWithdrawal(op)
			} else {
				delete(p.refused, op.record.(claims.Claim).ID)
			}
		case err == nil && isClaim:
			op.stage = appended
		case err == nil:
			op.stage, op.offset = appended, first
			p.unconfirmed = append(p.unconfirmed, op)
		case !isNotAppended(err):
			op.stage, op.ambiguous = appended, true
		case isClaim && !op.ambiguous:
			f := logUnavailableFault("the log does not accept records")
			f.Cause = err
			p.settle(op, Decision{}, f)
		default:
			p.enqueue(op)
			retry = err
		}
	}
	if p.state != nil {
		p.confirm(p.state.Applied())
	}
	return retry
}

// requeueMissing queues the operations that were not found in the stream.
func (p *partition) requeueMissing(ops []*operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, op := range ops {
		if op.stage == appended {
			p.enqueue(op)
		}
	}
}
