package ring

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRing guards against lost or reordered elements when the buffer wraps
// around.
func TestRing(t *testing.T) {
	for n := range 8 {
		r := New[int](3)
		for i := range n {
			r.Add(i)
		}
		var got, want []int
		r.Each(func(v int) { got = append(got, v) })
		for i := max(0, n-3); i < n; i++ {
			want = append(want, i)
		}
		must.Eq(t, want, got)
	}
}
