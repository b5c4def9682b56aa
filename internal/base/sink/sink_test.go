package sink

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// gate is an output that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	sb   strings.Builder
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sb.Write(b)
}

// TestBlockedOutput guards against requests that wait for the log: while the
// output is blocked, lines are dropped and counted, and Write returns.
func TestBlockedOutput(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	s := New(g, 3)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = s.Run(ctx)
		close(done)
	}()
	for range 100 {
		n, err := s.Write([]byte("line\n"))
		must.NoError(t, err)
		must.Eq(t, 5, n)
	}
	must.Positive(t, s.dropped.Load())
	close(g.open)
	cancel()
	<-done
	lines := strings.Count(g.sb.String(), "line\n")
	must.Between(t, 1, lines, 10)
}

// TestOrder guards against lines that are reordered, or modified after Write has
// returned.
func TestOrder(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	s := New(g, 10)
	b := []byte("a\n")
	for range 3 {
		_, _ = s.Write(b)
		b[0]++
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Run(ctx)
	must.Eq(t, "a\nb\nc\n", g.sb.String())
}
