package logsvc

import (
	"fmt"
	"time"
)

type (
	// Kind classifies failures of the log service.
	Kind string

	// Error is a failed call of the log service.
	Error struct {
		Kind   Kind
		Op     string
		Stream string
		// Status is the HTTP status code, 0 without an answer.
		Status int
		// Ambiguous is set if an append may have taken effect.
		Ambiguous bool
		// RetryAfter is the delay that the service asked for.
		RetryAfter time.Duration
		Err        error
	}
)

// Kinds of failure.
const (
	// Unreachable means that there was no complete answer.
	Unreachable Kind = "unreachable"
	// Outage is a 503 of the service.
	Outage Kind = "outage"
	// RateLimited is a 429 of the service.
	RateLimited Kind = "rate-limited"
	// Refused is any other status.
	Refused Kind = "refused"
	// BadAnswer is an answer that breaks the protocol.
	BadAnswer Kind = "bad-answer"
	// BadCall is a call that was not sent because it breaks a limit.
	BadCall Kind = "bad-call"
)

var _ error = (*Error)(nil)

// Error returns the operation, the stream, the kind and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("log %s of %s: %s", e.Op, e.Stream, e.Kind)
	if e.Status != 0 {
		s += fmt.Sprintf(" (status %d)", e.Status)
	}
	if e.Ambiguous {
		s += ", may have taken effect"
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
