package search

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// counters is a model of two counters from 0 to 3. It violates the property "sum"
// when they add up to bad.
type counters struct{ bad int }

func (counters) Start() [2]int { return [2]int{} }

func (counters) Next(s [2]int, emit func(Label, [2]int)) {
	for i := range s {
		if n := s; s[i] < 3 {
			n[i]++
			emit(Label{uint8(i)}, n)
		}
	}
}

func (c counters) Check(s [2]int) string {
	if s[0]+s[1] == c.bad {
		return "sum"
	}
	return ""
}

func (counters) Describe(s [2]int, l Label) string { return fmt.Sprint(s, l[0]) }

// TestRun guards against a search that misses states, and against a counterexample
// that is not the shortest or does not lead to the violation.
func TestRun(t *testing.T) {
	must.Eq(t, Result{States: 16, Steps: 24, Depth: 6, Complete: true}, Run(counters{bad: -1}, 100))
	r := Run(counters{bad: 2}, 100)
	must.Eq(t, []string{"[0 0] 0", "[1 0] 0"}, r.Violation.Steps)
	must.False(t, Run(counters{bad: -1}, 5).Complete)
	must.Eq(t, "sum", RandomWalk(counters{bad: 4}, 10, func(int) int { return 0 }).Property)
}
