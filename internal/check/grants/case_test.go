package grants

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/azurespan/azurespan/internal/check/search"
)

// TestCases guards against a protocol that overcommits replicas or memory, and
// against a specification that no longer notices when a rule is left out.
func TestCases(t *testing.T) {
	for _, c := range Cases() {
		if c.Short {
			t.Run(c.Name+"/"+c.Fault, func(t *testing.T) {
				r := c.Run(3_000_000)
				must.Eq(t, "", c.Failure(r))
				if r.Violation != nil {
					var b strings.Builder
					r.Violation.Print(&b)
					t.Log(b.String())
				}
			})
		}
	}
}

// TestWalk guards against violations that need more events than the searches
// allow.
func TestWalk(t *testing.T) {
	b := Bounds{Daemons: 3, Takes: 4, Grants: 8, Releases: 8, Acks: 2, Orders: 40, GivenUp: 2, Delayed: 2, Crashes: 1, Restarts: 1}
	rapid.Check(t, func(t *rapid.T) {
		ignores := [2]bool{rapid.Bool().Draw(t, "u0 ignores"), rapid.Bool().Draw(t, "u1 ignores")}
		// Steps are drawn evenly; rapid's own integers favour small ones.
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		v := search.RandomWalk(New(b, ignores, NoFault), 200, r.IntN)
		if v != nil {
			var s strings.Builder
			v.Print(&s)
			t.Fatal(s.String())
		}
	})
}
