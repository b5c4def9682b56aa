package search

import (
	"fmt"
	"hash/maphash"
	"io"
)

type (
	// Label identifies a step. The first byte is its kind, and the others are
	// parameters.
	Label [4]uint8

	// Model is a specification with states of type S.
	Model[S comparable] interface {
		// Start returns the initial state.
		Start() S
		// Next calls emit for each step that is possible in s.
		Next(s S, emit func(Label, S))
		// Check returns a property that s violates, or "" if there is none.
		Check(s S) string
		// Describe returns a description of the step l from s.
		Describe(s S, l Label) string
	}

	// Violation is a run that ends in a state that violates a property. Steps
	// has a description of each step.
	Violation struct {
		Property string
		Steps    []string
	}

	// Result is the result of a search.
	Result struct {
		// States is the number of distinct states that were visited, Steps the
		// number of transitions between them, and Depth the largest number of
		// steps on a shortest run to a state.
		States, Steps, Depth int
		// Complete is false if the search stopped at its limit of states.
		Complete bool
		// Violation is nil if all properties hold in all visited states.
		Violation *Violation
	}

	// edge is the step by which a state was first reached. parent is the index
	// of the state before it, -1 for the initial state.
	edge struct {
		parent int32
		label  Label
	}
)

// kinds is the number of possible kinds of a step, the first byte of a Label.
const kinds = 1 << 8

// Run visits all reachable states of m, but stops at the first violation. It also
// stops once it has visited limit states.
func Run[S comparable](m Model[S], limit int) Result {
	seeds := [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}
	hash := func(s S) [2]uint64 {
		return [2]uint64{maphash.Comparable(seeds[0], s), maphash.Comparable(seeds[1], s)}
	}
	start := m.Start()
	r := Result{States: 1, Complete: true}
	edges := []edge{{parent: -1}}
	if p := m.Check(start); p != "" {
		r.Violation = &Violation{Property: p}
		return r
	}
	seen := map[[2]uint64]struct{}{hash(start): {}}
	// frontier holds the states at one depth; first is the index of its first
	// state in edges.
	frontier, first := []S{start}, int32(0)
	for len(frontier) > 0 {
		var next []S
		nextFirst := int32(len(edges))
		for i, s := range frontier {
			m.Next(s, func(l Label, n S) {
				if r.Violation != nil {
					return
				}
				r.Steps++
				h := hash(n)
				if _, ok := seen[h]; ok {
					return
				}
				seen[h] = struct{}{}
				edges = append(edges, edge{parent: first + int32(i), label: l})
				next = append(next, n)
				if p := m.Check(n); p != "" {
					r.Violation = &Violation{Property: p, Steps: counterexample(m, edges)}
				}
			})
			if r.Violation != nil || len(edges) >= limit {
				break
			}
		}
		r.States = len(edges)
		if len(next) > 0 {
			r.Depth++
		}
		if r.Violation != nil || r.States >= limit {
			r.Complete = r.Violation != nil
			return r
		}
		frontier, first = next, nextFirst
	}
	return r
}

// counterexample returns descriptions of the steps from the initial state to the
// state of the last edge.
func counterexample[S comparable](m Model[S], edges []edge) []string {
	var path []Label
	for i := int32(len(edges) - 1); edges[i].parent >= 0; i = edges[i].parent {
		path = append(path, edges[i].label)
	}
	var out []string
	s := m.Start()
	for i := len(path) - 1; i >= 0; i-- {
		out = append(out, m.Describe(s, path[i]))
		m.Next(s, func(l Label, n S) {
			if l == path[i] {
				s = n
			}
		})
	}
	return out
}

// RandomWalk takes up to steps steps from the initial state and returns the first
// violation, or nil if there is none. It chooses each step with pick, which
// returns a number in [0, n). The kind of the step is chosen first, because a
// choice among all steps would favour kinds with many parameters.
func RandomWalk[S comparable](m Model[S], steps int, pick func(n int) int) *Violation {
	type step struct {
		label Label
		next  S
	}
	v := &Violation{}
	s := m.Start()
	for range steps {
		var byKind [kinds][]step
		var possible []uint8
		m.Next(s, func(l Label, n S) {
			if len(byKind[l[0]]) == 0 {
				possible = append(possible, l[0])
			}
			byKind[l[0]] = append(byKind[l[0]], step{l, n})
		})
		if len(possible) == 0 {
			return nil
		}
		candidates := byKind[possible[pick(len(possible))]]
		chosen := candidates[pick(len(candidates))]
		v.Steps = append(v.Steps, m.Describe(s, chosen.label))
		s = chosen.next
		if v.Property = m.Check(s); v.Property != "" {
			return v
		}
	}
	return nil
}

// Print writes the steps as numbered lines, followed by the violated property.
func (v *Violation) Print(w io.Writer) {
	for i, s := range v.Steps {
		fmt.Fprintf(w, "    %2d. %s\n", i+1, s)
	}
	fmt.Fprintf(w, "    violates: %s\n", v.Property)
}
