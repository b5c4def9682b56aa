package super

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRestart guards against a panic that ends the process or stops the other
// components.
func TestRestart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	tree := New("test")
	runs, alive := 0, make(chan struct{})
	tree.Add("panicking", func(ctx context.Context) error {
		if runs++; runs < 3 {
			panic("failure under test")
		}
		close(alive)
		<-ctx.Done()
		return nil
	})
	stopped := make(chan struct{})
	tree.Add("steady", func(ctx context.Context) error {
		<-ctx.Done()
		close(stopped)
		return nil
	})
	done := make(chan error, 1)
	go func() { done <- tree.Serve(ctx) }()
	<-alive
	cancel()
	<-stopped
	must.ErrorIs(t, <-done, context.Canceled)
	must.Eq(t, 3, runs)
}
