package declare

import "fmt"

type (
	// ProblemKind is a class of problems. The values are stable, so that
	// scripts can match them.
	ProblemKind string

	// Problem is one error or contradiction in a Deployment.
	Problem struct {
		Kind ProblemKind `json:"kind"`
		// Path identifies the part, such as models[3].replicas.
		Path string `json:"path"`
		// Detail states the value found and what is allowed.
		Detail string `json:"detail"`
	}
)

// Kinds of problem.
const (
	// BadSyntax is text that is not a configuration in JSON.
	BadSyntax ProblemKind = "bad-syntax"
	// BadName is a name that is empty, too long or not in kebab case.
	BadName ProblemKind = "bad-name"
	// DuplicateName is a name used twice where it must be unique.
	DuplicateName ProblemKind = "duplicate-name"
	// DuplicateAddress is an address that two upstreams share.
	DuplicateAddress ProblemKind = "duplicate-address"
	// DuplicateCall is a method and path prefix that a service lists twice.
	DuplicateCall ProblemKind = "duplicate-call"
	// UnknownReference is a name that is not declared.
	UnknownReference ProblemKind = "unknown-reference"
	// UnknownValue is a word outside a fixed set, such as a class.
	UnknownValue ProblemKind = "unknown-value"
	// Missing is a list or field that must not be empty.
	Missing ProblemKind = "missing"
	// OutOfRange is a number below or above its bounds.
	OutOfRange ProblemKind = "out-of-range"
	// BadAddress is an address that is not an IP address with a port.
	BadAddress ProblemKind = "bad-address"
	// BadPath is a path prefix without a leading slash or with a query,
	// fragment or dot segment.
	BadPath ProblemKind = "bad-path"
	// BadTime is a wake-at entry that is not a time of day such as 07:30.
	BadTime ProblemKind = "bad-time"
	// WrongKind is a field or reference that the kind of the service does not
	// allow.
	WrongKind ProblemKind = "wrong-kind"
	// NoUpstreams is a service without upstreams.
	NoUpstreams ProblemKind = "no-upstreams"
	// TooLarge is a model version that does not fit on any upstream of its
	// services.
	TooLarge ProblemKind = "too-large"
	// NoRoom is a number of min-replicas for which the upstreams lack memory.
	NoRoom ProblemKind = "no-room"
	// NoAdapterSlots is an adapter of a model without adapter slots.
	NoAdapterSlots ProblemKind = "no-adapter-slots"
	// BadKeyHash is text that is not the hash of a key.
	BadKeyHash ProblemKind = "bad-key-hash"
	// DuplicateKeyHash is a key that two accounts, or one account twice, have.
	DuplicateKeyHash ProblemKind = "duplicate-key-hash"
)

var _ error = (*Problem)(nil)

func (p *Problem) Error() string {
	if p.Path == "" {
		return fmt.Sprintf("%s: %s", p.Kind, p.Detail)
	}
	return fmt.Sprintf("%s: %s: %s", p.Path, p.Kind, p.Detail)
}

// Problems returns the problems in an error of Decode or Validate, in the
// order in which they were found. It returns nil for any other error.
func Problems(err error) []*Problem {
	switch e := err.(type) {
	case *Problem:
		return []*Problem{e}
	case interface{ Unwrap() []error }:
		var out []*Problem
		for _, one := range e.Unwrap() {
			out = append(out, Problems(one)...)
		}
		return out
	default:
		return nil
	}
}
