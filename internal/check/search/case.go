package search

import "fmt"

type (
	// Case is a search of one specification within fixed bounds.
	Case struct {
		// Name describes the specification and the bounds.
		Name string
		// Fault is the deliberate deviation from the protocol, for which the
		// search must find a violation. It is empty for the protocol itself,
		// which must have none.
		Fault string
		// Short is set for the cases that the tests run.
		Short bool
		// Run searches until it has visited limit states.
		Run func(limit int) Result
	}
)

// Failure returns why r is not the result that c requires, or "" if it is.
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
