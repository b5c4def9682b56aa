package keys

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/azurespan/azurespan/internal/check/search"
)

// TestCases guards against a second run of a key or an untrue refusal, and
// against a specification that no longer notices when a rule is left out.
func TestCases(t *testing.T) {
	for _, c := range Cases() {
		if c.Short {
			t.Run(c.Name+"/"+c.Fault, func(t *testing.T) {
				must.Eq(t, "", c.Failure(c.Run(3_000_000)))
			})
		}
	}
}

// TestWalk guards against violations that need more events than the searches
// allow.
func TestWalk(t *testing.T) {
	b := Bounds{Attempts: 3, Takes: 6, Claims: 9, Copies: 5, Withdraws: 5, Delayed: 5, Crashes: 3, Ticks: 3}
	rapid.Check(t, func(t *rapid.T) {
		// Steps are drawn evenly; rapid's own integers favour small ones.
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		v := search.RandomWalk(New(b, NoFault), 150, r.IntN)
		if v != nil {
			var s strings.Builder
			v.Print(&s)
			t.Fatal(s.String())
		}
	})
}
