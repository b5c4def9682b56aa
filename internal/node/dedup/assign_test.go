package dedup

import (
	"testing"
)

// TestAssignWhileStopping guards against a TakeOwnership that waits forever for a
// stopped partition, when the assignment changes while the partition stops.
func TestAssignWhileStopping(t *testing.T) {
	l := newMemLog()
	k := start(t, l.link(), "h/1")
	for range 300 {
		for _, n := range []int{0, 1, 2, 3} {
			k.assign(n, true)
			k.assign(n, false)
		}
		// An ownership record of another daemon makes an owned partition stop.
		if owned := k.OwnedPartitions(); len(owned) > 0 {
			l.add(StreamName(owned[0]), [][]byte{[]byte(`[{"type":"take-ownership","body":{"daemon":"h/2"}}]`)})
		}
	}
	for _, n := range []int{0, 1, 2, 3} {
		if err := k.TakeOwnership(timeoutContext(t, eventTimeout), n); err != nil {
			t.Fatal(err)
		}
	}
}
