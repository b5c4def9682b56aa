package hrw

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestFirst guards against an uneven spread and against keys that move
// although their daemon stayed.
func TestFirst(t *testing.T) {
	names := []string{"a/1", "b/1", "c/1", "d/1"}
	count := map[string]int{}
	for i := range 4000 {
		key := fmt.Sprintf("key-%d", i)
		first := First(key, names)
		count[first]++
		if first != "d/1" {
			must.Eq(t, first, First(key, names[:3]))
		}
	}
	for _, n := range names {
		must.Between(t, 800, count[n], 1200)
	}
	must.Eq(t, "", First("k", nil))
}
