package hrw

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// TestBest guards against an uneven distribution of keys, and against keys that
// move although their name is still in the list.
func TestBest(t *testing.T) {
	names := []string{"a/1", "b/1", "c/1", "d/1"}
	count := map[string]int{}
	for i := range 4000 {
		key := fmt.Sprintf("key-%d", i)
		best := Best(key, names)
		count[best]++
		if best != "d/1" {
			must.Eq(t, best, Best(key, names[:3]))
		}
	}
	for _, n := range names {
		must.Between(t, 800, count[n], 1200)
	}
	must.Eq(t, "", Best("k", nil))
}

// TestAssignBounded guards against a name with more than its share of keys, and
// against an assignment that depends on the order of the names.
func TestAssignBounded(t *testing.T) {
	var keys []string
	for i := range 75 {
		keys = append(keys, fmt.Sprintf("engine-%02d", i))
	}
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	got := AssignBounded(keys, names)
	count := map[string]int{}
	for _, k := range keys {
		count[got[k]]++
	}
	for _, n := range names {
		must.LessEq(t, 10, count[n])
	}
	slices.Reverse(names)
	must.Eq(t, got, AssignBounded(keys, names))
	must.MapEmpty(t, AssignBounded(keys, nil))
	must.Eq(t, Best("k", names), Top(nil, "k", names, 3)[0])
	must.Len(t, 3, Top(nil, "k", names, 3))
}
