package front

import (
	"context"
	"sync"
)

// gate counts exchanges in progress and, once closed, lets none begin. Its
// zero value is open.
type gate struct {
	mu     sync.Mutex
	closed bool
	n      int
	empty  chan struct{}
}

// enter reports whether an exchange may begin; if so, leave must follow.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.n++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	g.signal()
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.signal()
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// wait returns when the gate is closed and no exchange is in progress.
func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	if g.empty == nil {
		g.empty = make(chan struct{})
	}
	g.signal()
	c := g.empty
	g.mu.Unlock()
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signal wakes waiters if the gate is closed and empty; g.mu is held.
func (g *gate) signal() {
	if !g.closed || g.n != 0 || g.empty == nil {
		return
	}
	select {
	case <-g.empty:
	default:
		close(g.empty)
	}
}
