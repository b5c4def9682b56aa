package dedup

import (
	"testing"
)

// TestAssignAgain guards against a Take that waits for a partition that has
// stopped, when the assignment changes while the partition stops.
func TestAssignAgain(t *testing.T) {
	l := newMemLog()
	k := start(t, l.link(), "h/1")
	for range 300 {
		for _, n := range []int{0, 1, 2, 3} {
			k.assign(n, true)
			k.assign(n, false)
		}
		// Another daemon's ownership makes the owned partitions stop.
		if owned := k.OwnedPartitions(); len(owned) > 0 {
			l.add(StreamName(owned[0]), [][]byte{[]byte(`[{"type":"take-ownership","body":{"daemon":"h/2"}}]`)})
		}
	}
	for _, n := range []int{0, 1, 2, 3} {
		if err := k.TakeOwnership(within(t, patience), n); err != nil {
			t.Fatal(err)
		}
	}
}
