package grants

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/azurespan/azurespan/internal/check/search"
)

const (
	// maxStates is the limit of each search.
	maxStates = 3_000_000
	// walkSteps is the length of a random walk.
	walkSteps = 200
)

// TestCases guards against a protocol that overcommits replicas or memory, and
// against a specification in which a fault is not found.
func TestCases(t *testing.T) {
	for _, c := range Cases() {
		if c.Short {
			t.Run(c.Name+"/"+c.Fault, func(t *testing.T) {
				r := c.Run(maxStates)
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

// TestRandomWalk guards against violations that need more events than the bounds
// of the searches allow.
func TestRandomWalk(t *testing.T) {
	b := Bounds{Daemons: 3, Takes: 4, Grants: 8, Releases: 8, Acks: 2, Orders: 40, GivenUp: 2, Delayed: 2, Crashes: 1, Restarts: 1}
	rapid.Check(t, func(t *rapid.T) {
		ignores := [2]bool{rapid.Bool().Draw(t, "u0 ignores"), rapid.Bool().Draw(t, "u1 ignores")}
		// Steps are drawn uniformly. The integers of rapid favour small values.
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		v := search.RandomWalk(New(b, ignores, NoFault), walkSteps, r.IntN)
		if v != nil {
			var s strings.Builder
			v.Print(&s)
			t.Fatal(s.String())
		}
	})
}
