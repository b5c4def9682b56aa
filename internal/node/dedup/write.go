package dedup

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/core/claims"
)

// write takes ownership when it is due and appends what is queued.
func (p *part) write(ctx context.Context) {
	pause := p.k.set.MinBackoff
	for ctx.Err() == nil {
		again, err := p.step(ctx)
		switch {
		case err != nil:
			p.k.sleep(ctx, pause)
			pause = min(2*pause, p.k.set.MaxBackoff)
		case again:
			pause = p.k.set.MinBackoff
		default:
			pause = p.k.set.MinBackoff
			select {
			case <-p.wake:
			case <-ctx.Done():
			}
		}
	}
}

// step does one append, if there is anything to append. It reports whether
// there may be more.
func (p *part) step(ctx context.Context) (again bool, err error) {
	p.mu.Lock()
	take, pause := p.takeDue(), p.retake
	p.mu.Unlock()
	if take {
		// Two daemons that disagree about membership would otherwise take
		// the partition from each other as fast as the log allows.
		if pause > 0 && !p.pauseTake(ctx, pause) {
			return true, nil
		}
		return true, p.take(ctx)
	}
	calls, rs := p.next()
	if len(calls) == 0 {
		return false, nil
	}
	data, err := claims.Encode(rs...)
	if err != nil {
		return true, p.resolve(calls, 0, &NotAppendedError{Cause: err})
	}
	first, err := p.append(ctx, data)
	if err == nil || notAppended(err) {
		return true, p.resolve(calls, first, err)
	}
	// The stream tells whether the records took effect. The calls stay as
	// they are until it can be read.
	p.resolve(calls, first, err)
	for {
		readErr := p.catchUp(ctx)
		if readErr == nil {
			break
		}
		if ctx.Err() != nil {
			return false, nil
		}
		p.unreadable(readErr)
		p.k.sleep(ctx, p.k.set.MinBackoff)
	}
	p.again(calls)
	return true, err
}

// pauseTake waits and reports whether ownership still is due.
func (p *part) pauseTake(ctx context.Context, d time.Duration) bool {
	p.k.sleep(ctx, d)
	p.mu.Lock()
	defer p.mu.Unlock()
	return ctx.Err() == nil && p.takeDue()
}

func (p *part) append(ctx context.Context, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, p.k.set.AppendTimeout)
	defer cancel()
	first, _, err := p.k.log.Append(ctx, p.stream, data)
	return first, err
}

// takeDue reports whether an ownership record should be appended: the
// partition is assigned to this daemon and another one owns it, or the own
// record is half a window old. Renewal keeps a record in the retained part of
// the stream, so that a reader that starts late knows the epoch.
func (p *part) takeDue() bool {
	if !p.assigned || p.fold == nil {
		return p.assigned && p.fold == nil
	}
	o := p.fold.Owner()
	return !p.mine() || p.fold.LogTimeMS()-o.TimeMS > p.k.set.Limits.Window.Milliseconds()/2
}

// take appends an ownership record if it still is due at the stream's end.
func (p *part) take(ctx context.Context) error {
	if err := p.catchUp(ctx); err != nil {
		p.unreadable(err)
		return err
	}
	p.mu.Lock()
	due := p.takeDue()
	r := claims.TakeOwnership{Daemon: p.k.set.Daemon, Previous: p.fold.Owner().Epoch}
	p.mu.Unlock()
	if !due {
		return nil
	}
	data, err := claims.Encode(r)
	if err != nil {
		return err
	}
	_, err = p.append(ctx, data)
	if err != nil && notAppended(err) {
		return err
	}
	if readErr := p.catchUp(ctx); readErr != nil {
		p.unreadable(readErr)
		return readErr
	}
	return err
}

// next moves calls from the queue into one batch and returns their records,
// with claims under the current epoch.
func (p *part) next() ([]*call, []claims.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls []*call
	var rs []claims.Record
	rest := p.queue[:0:0]
	for _, c := range p.queue {
		switch {
		case c.stage == settled:
			continue
		case !p.mine() || len(calls) >= p.k.set.MaxBatch:
			rest = append(rest, c)
			continue
		}
		if r, ok := c.record.(claims.Claim); ok {
			r.Epoch = p.fold.Owner().Epoch
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
func (p *part) resolve(calls []*call, first uint64, err error) error {
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
			if err == nil || !notAppended(err) || c.ambiguous {
				p.withdrawLater(c)
			} else {
				delete(p.refused, c.record.(claims.Claim).ID)
			}
		case err == nil && claim:
			c.stage = appended
		case err == nil:
			c.stage, c.offset = appended, first
			p.unread = append(p.unread, c)
		case !notAppended(err):
			c.stage, c.ambiguous = appended, true
		case claim && !c.ambiguous:
			f := unavailable("the log does not accept records")
			f.Cause = err
			p.settle(c, Decision{}, f)
		default:
			p.enqueue(c)
			retry = err
		}
	}
	if p.fold != nil {
		p.acknowledge(p.fold.Applied())
	}
	return retry
}

// again queues the calls that were not found in the stream.
func (p *part) again(calls []*call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range calls {
		if c.stage == appended {
			p.enqueue(c)
		}
	}
}
