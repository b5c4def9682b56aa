package front

import (
	"context"
	"sync"
)

// exchangeTracker counts the exchanges in progress and, once closed, admits no new
// ones. Its zero value is open.
type exchangeTracker struct {
	mu     sync.Mutex
	closed bool
	active int
	// drained is closed when no exchange is in progress any more; nil until
	// wait is called.
	drained chan struct{}
}

// begin reports whether an exchange may begin. If so, end must be called after it.
func (t *exchangeTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.active++
	return true
}

// end records the end of an exchange.
func (t *exchangeTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.signalIfDrained()
}

// close makes begin return false from now on.
func (t *exchangeTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.signalIfDrained()
}

func (t *exchangeTracker) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// wait returns nil when t is closed and no exchange is in progress, or the error of
// ctx if it ends before.
func (t *exchangeTracker) wait(ctx context.Context) error {
	t.mu.Lock()
	if t.drained == nil {
		t.drained = make(chan struct{})
	}
	t.signalIfDrained()
	drained := t.drained
	t.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIfDrained wakes up waiters if t is closed and no exchange is in progress.
// t.mu must be held.
func (t *exchangeTracker) signalIfDrained() {
	if !t.closed || t.active != 0 || t.drained == nil {
		return
	}
	select {
	case <-t.drained:
	default:
		close(t.drained)
	}
}
