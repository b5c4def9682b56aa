// Package pause sleeps for a time unless a context ends earlier.
package pause

import (
	"context"
	"time"
)

// For sleeps until d has elapsed or ctx ends. It reports whether d has elapsed.
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
