package blame

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPartsOfOneRequestAreLimited guards against histories of repeated crashes that are
// pushed out by the thousands of parts that one prompt can name, and against a part
// that is sent on although the first parts of its prompts are judged.
func TestPartsOfOneRequestAreLimited(t *testing.T) {
	f := newFixture(t)
	var many []string
	for i := range 3000 {
		many = append(many, fmt.Sprint("named", i))
	}
	for range dominantLimit {
		f.crash([]string{"first", "bad"})
	}
	must.True(t, f.quarantined("bad"))
	f.now = f.now.Add(2 * dominanceMargin)
	for range 2 * dominantLimit {
		f.crash(many)
		must.MapLen(t, maxPartsPerRequest, f.Known(many))
	}
	must.LessEq(t, maxPartsPerRequest+2, len(f.crashes.Recent(f.now)))
	must.True(t, f.quarantined("bad"))
	part, _ := f.Judge(f.now, many)
	must.Eq(t, "named0", part)
	must.True(t, f.Answered(f.now, many, f.Known(many)))
}
