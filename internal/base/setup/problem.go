package setup

import (
	"fmt"
	"strings"
)

type (
	// ProblemKind is a class of problems. The values are stable, so that
	// scripts can match them.
	ProblemKind string

	// Problem is one fault in a settings file.
	Problem struct {
		Kind ProblemKind `json:"kind"`
		// File is the name given to Load or Parse.
		File string `json:"file"`
		// Line counts from 1; 0 stands for the whole file.
		Line int `json:"line,omitempty"`
		// Section and Key identify the setting, as far as they are known.
		Section string `json:"section,omitempty"`
		Key     string `json:"key,omitempty"`
		// Detail describes what was found.
		Detail string `json:"detail"`
		// Allowed describes what would be accepted.
		Allowed string `json:"allowed,omitempty"`
	}
)

// Kinds of problem.
const (
	// Unreadable is a file that can't be read.
	Unreadable ProblemKind = "unreadable"
	// BadSyntax is a line that is not a section, a key or a comment.
	BadSyntax ProblemKind = "bad-syntax"
	// UnknownSection and UnknownKey are names that no section or key has.
	UnknownSection ProblemKind = "unknown-section"
	UnknownKey     ProblemKind = "unknown-key"
	// DuplicateKey is a key that occurs twice in the file.
	DuplicateKey ProblemKind = "duplicate-key"
	// MissingKey is a required key that is absent or empty.
	MissingKey ProblemKind = "missing-key"
	// WrongUnit is a size or duration with a missing or unsuitable unit.
	WrongUnit ProblemKind = "wrong-unit"
	// BadValue is a value with an invalid form.
	BadValue ProblemKind = "bad-value"
	// OutOfRange is a value outside its bounds.
	OutOfRange ProblemKind = "out-of-range"
	// BadAddress is an address that is not an IP address with a port.
	BadAddress ProblemKind = "bad-address"
	// Conflict is a pair of settings that exclude each other, or of which one
	// requires the other.
	Conflict ProblemKind = "clash"
)

var _ error = (*Problem)(nil)

// Error returns the problem as one line of text.
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	fmt.Fprintf(&b, "%s: %s", p.Kind, p.Detail)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// Problems returns the problems in an error of Parse or Load, in the order of
// the file. It returns nil for any other error.
func Problems(err error) []*Problem {
	switch e := err.(type) {
	case *Problem:
		return []*Problem{e}
	case interface{ Unwrap() []error }:
		var problems []*Problem
		for _, joined := range e.Unwrap() {
			problems = append(problems, Problems(joined)...)
		}
		return problems
	default:
		return nil
	}
}
