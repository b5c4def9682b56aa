package pause

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestFor guards against a sleep that outlives its context.
func TestFor(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	must.True(t, For(ctx, time.Microsecond))
	cancel()
	must.False(t, For(ctx, time.Hour))
}
