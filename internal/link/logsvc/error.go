package logsvc

import (
	"fmt"
	"time"
)

type (
	// Kind classifies failed calls of the log service.
	Kind string

	// Error is a failed call of the log service.
	Error struct {
		Kind   Kind
		Op     string
		Stream string
		// Status is the HTTP status code, 0 without a response.
		Status int
		// Ambiguous is set if an append may have taken effect.
		Ambiguous bool
		// RetryAfter is the delay that the service requested.
		RetryAfter time.Duration
		Err        error
	}
)

// Kinds of failure.
const (
	// Unreachable means that no complete response arrived.
	Unreachable Kind = "unreachable"
	// Outage means status 503.
	Outage Kind = "outage"
	// RateLimited means status 429.
	RateLimited Kind = "rate-limited"
	// Refused means any other HTTP status.
	Refused Kind = "refused"
	// BadAnswer means that the response violates the protocol.
	BadAnswer Kind = "bad-answer"
	// BadCall means that the call was not sent because it exceeds a limit.
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
