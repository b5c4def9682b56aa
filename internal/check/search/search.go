package search

import (
	"fmt"
	"hash/maphash"
	"io"
)

type (
	// Label names a step: what happens, and up to three small parameters.
	Label [4]uint8

	// Model is a specification with states of type S.
	Model[S comparable] interface {
		// Start returns the initial state.
		Start() S
		// Next calls emit for each step that is possible in s.
		Next(s S, emit func(Label, S))
		// Check returns the name of a property that s violates, or "".
		Check(s S) string
		// Describe returns a step from s in words.
		Describe(s S, l Label) string
	}

	// Violation is a shortest run to a state that violates a property.
	Violation struct {
		Property string
		Steps    []string
	}

	// Result of a search.
	Result struct {
		// States is the number of different states, Steps the number of
		// steps between them, and Depth the length of the longest
		// shortest run.
		States, Steps, Depth int
		// Complete is false if the search stopped at its limit.
		Complete bool
		// Violation is nil if all properties hold in all visited states.
		Violation *Violation
	}

	link struct {
		parent int32
		label  Label
	}
)

// Run visits all states of m, or stops at the first violation or after limit
// states.
func Run[S comparable](m Model[S], limit int) Result {
	seeds := [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}
	hash := func(s S) [2]uint64 {
		return [2]uint64{maphash.Comparable(seeds[0], s), maphash.Comparable(seeds[1], s)}
	}
	s := m.Start()
	r := Result{States: 1, Complete: true}
	links := []link{{parent: -1}}
	if p := m.Check(s); p != "" {
		r.Violation = &Violation{Property: p}
		return r
	}
	seen := map[[2]uint64]struct{}{hash(s): {}}
	level, first := []S{s}, int32(0)
	for len(level) > 0 {
		var next []S
		start := int32(len(links))
		for i, s := range level {
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
				links = append(links, link{parent: first + int32(i), label: l})
				next = append(next, n)
				if p := m.Check(n); p != "" {
					r.Violation = &Violation{Property: p, Steps: replay(m, links)}
				}
			})
			if r.Violation != nil || len(links) >= limit {
				break
			}
		}
		r.States = len(links)
		if len(next) > 0 {
			r.Depth++
		}
		if r.Violation != nil || r.States >= limit {
			r.Complete = r.Violation != nil
			return r
		}
		level, first = next, start
	}
	return r
}

// replay returns the steps to the last link in words.
func replay[S comparable](m Model[S], links []link) []string {
	var path []Label
	for i := int32(len(links) - 1); links[i].parent >= 0; i = links[i].parent {
		path = append(path, links[i].label)
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

// Walk takes up to steps steps from the start state, choosing each with pick,
// which returns a number below n. It chooses the kind of step first, because a
// choice among all steps would favour the kinds with many parameters. It
// returns the first violation, if any.
func Walk[S comparable](m Model[S], steps int, pick func(n int) int) *Violation {
	type step struct {
		l Label
		s S
	}
	v := &Violation{}
	s := m.Start()
	for range steps {
		var all [256][]step
		var kinds []uint8
		m.Next(s, func(l Label, n S) {
			if len(all[l[0]]) == 0 {
				kinds = append(kinds, l[0])
			}
			all[l[0]] = append(all[l[0]], step{l, n})
		})
		if len(kinds) == 0 {
			return nil
		}
		some := all[kinds[pick(len(kinds))]]
		c := some[pick(len(some))]
		v.Steps = append(v.Steps, m.Describe(s, c.l))
		s = c.s
		if v.Property = m.Check(s); v.Property != "" {
			return v
		}
	}
	return nil
}

// Print writes the run as numbered lines.
func (v *Violation) Print(w io.Writer) {
	for i, s := range v.Steps {
		fmt.Fprintf(w, "    %2d. %s\n", i+1, s)
	}
	fmt.Fprintf(w, "    violates: %s\n", v.Property)
}
