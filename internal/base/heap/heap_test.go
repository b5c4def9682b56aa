package heap

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestHeapAgainstSorted guards against a wrong order after removals from
// arbitrary positions, and against a node that is removed twice.
func TestHeapAgainstSorted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(func(a, b int) bool { return a < b })
		var nodes []*Node[int]
		var sorted []int
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			if len(nodes) == 0 || rapid.IntRange(0, 2).Draw(t, "op") > 0 {
				v := rapid.IntRange(0, 20).Draw(t, "value")
				nodes = append(nodes, h.Push(v))
				sorted = append(sorted, v)
				slices.Sort(sorted)
				continue
			}
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "index")
			must.True(t, h.Remove(nodes[i]))
			must.False(t, h.Remove(nodes[i]))
			at, _ := slices.BinarySearch(sorted, nodes[i].Value)
			sorted = slices.Delete(sorted, at, at+1)
			nodes = slices.Delete(nodes, i, i+1)
		}
		must.Eq(t, len(sorted), h.Len())
		for _, want := range sorted {
			n := h.Peek()
			must.Eq(t, want, n.Value)
			h.Remove(n)
		}
		must.Nil(t, h.Peek())
	})
}
