package search

import "fmt"

type (
	// Case is one search of one specification within fixed bounds.
	Case struct {
		// Name states the specification and the bounds.
		Name string
		// Fault is the deliberate deviation that the search must catch,
		// empty for the protocol itself, which must have no violation.
		Fault string
		// Short cases are run by the tests.
		Short bool
		// Run searches at most limit states.
		Run func(limit int) Result
	}
)

// Failure returns why r is not what c requires, or "".
func (c Case) Failure(r Result) string {
	switch {
	case c.Fault == "" && r.Violation != nil:
		return "violates: " + r.Violation.Property
	case c.Fault == "" && !r.Complete:
		return fmt.Sprintf("stopped after %d states", r.States)
	case c.Fault != "" && r.Violation == nil:
		return "the fault is not caught"
	}
	return ""
}
