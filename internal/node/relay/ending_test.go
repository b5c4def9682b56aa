package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestEndingsAreBounded guards against ends of answers that are remembered for longer
// than the connections to a crashed upstream take to end.
func TestEndingsAreBounded(t *testing.T) {
	e, now := newEndings(), time.Unix(0, 0)
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		must.False(t, e.end(fmt.Sprint("u", i%100), unframedEnd{at: now}))
		e.crash(now, fmt.Sprint("crashed", i))
		n := 0
		for _, ends := range e.unframed {
			n += len(ends)
		}
		must.LessEq(t, int(endingWindow/time.Millisecond)+1, n)
		must.LessEq(t, int(endingWindow/time.Millisecond)+1, len(e.crashes))
	}
}
