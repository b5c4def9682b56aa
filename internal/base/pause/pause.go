// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d or the end of ctx, and reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
