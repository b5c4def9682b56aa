package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/azurespan/azurespan/internal/link/rest"
)

type (
	// Kind classifies failed calls and streams.
	Kind string

	// Error is a failed call or stream of an engine.
	Error struct {
		Kind Kind
		Op   string
		// Address is the engine's IP address and port.
		Address string
		// Status is the HTTP status code, 0 without a response.
		Status int
		// Reached is false only if the engine can't have seen the request.
		Reached bool
		// NextToken is the index of the first token that a failed stream did
		// not return.
		NextToken int64
		// RetryAfter is the delay that the engine requested.
		RetryAfter time.Duration
		Detail     string
		Err        error
	}
)

// Kinds of failed calls.
const (
	// Unreachable means that no complete response arrived.
	Unreachable Kind = "unreachable"
	// Leaving means that the engine accepts no new work.
	Leaving Kind = "leaving"
	// StaleFencing means that the engine has seen a newer fencing number.
	StaleFencing Kind = "stale-fencing"
	// StaleSequence means that the engine has seen a later order of the same
	// owner for the same model version or adapter.
	StaleSequence Kind = "stale-sequence"
	// NoMemory means that the engine has not enough memory for a load.
	NoMemory Kind = "no-memory"
	// Busy means that streams still use what an order would unload.
	Busy Kind = "busy"
	// NotLoaded means that the model version or adapter is not loaded.
	NotLoaded Kind = "not-loaded"
	// UnknownStream means that the engine does not retain the stream.
	UnknownStream Kind = "unknown-stream"
	// NotKept means that the engine retains only a later part of the stream.
	NotKept Kind = "not-kept"
	// InUse means that another request has the same request identifier.
	InUse Kind = "in-use"
	// BadRequest means that the request is invalid.
	BadRequest Kind = "bad-request"
	// LoadFailed means that the engine could not fetch the data of a load.
	LoadFailed Kind = "load-failed"
	// Refused means any other HTTP status.
	Refused Kind = "refused"
	// BadAnswer means that the response violates the protocol.
	BadAnswer Kind = "bad-answer"
)

// Kinds of failed streams, in addition to Unreachable for a broken connection.
const (
	// Malformed means that an event can't be decoded.
	Malformed Kind = "garbage"
	// WrongRequest means that an event has another request's identifier.
	WrongRequest Kind = "foreign"
	// Gap means that tokens are missing before an event.
	Gap Kind = "gap"
	// Truncated means that the stream ended without a finish reason.
	Truncated Kind = "truncated"
	// Stalled means that nothing arrived within the idle timeout.
	Stalled Kind = "stalled"
	// Cancelled means that the caller's context ended.
	Cancelled Kind = "cancelled"
)

const (
	// leavingHeader marks the refusal of an upstream that is leaving.
	leavingHeader = "X-Upstream-Leaving"
	// maxDetailBytes limits the engine's text in an Error.
	maxDetailBytes = 256
	// maxRetryAfterSeconds limits the delay taken from a response.
	maxRetryAfterSeconds = 3600
)

var _ error = (*Error)(nil)

// kindByCode maps the error codes of an engine's responses to kinds.
var kindByCode = map[string]Kind{
	"leaving": Leaving, "fencing": StaleFencing, "sequence": StaleSequence,
	"memory": NoMemory, "busy": Busy, "model-not-loaded": NotLoaded,
	"adapter-not-loaded": NotLoaded, "unknown-stream": UnknownStream,
	"not-kept": NotKept, "request-id-in-use": InUse,
	"bad-request": BadRequest, "store": LoadFailed,
}

// Error returns the operation, the engine, the kind and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("engine %s: %s: %s", e.Address, e.Op, e.Kind)
	if e.Status != 0 {
		s += fmt.Sprintf(" (status %d)", e.Status)
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun reports whether the engine may have started to run the request.
// It returns false if the engine can't have received the request or has
// explicitly refused it.
func (e *Error) MayHaveRun() bool {
	switch e.Kind {
	case Leaving, StaleFencing, StaleSequence, NoMemory, Busy, NotLoaded, UnknownStream, NotKept, InUse, BadRequest:
		return false
	case Refused:
		// A 4xx status is a decision of the engine itself.
		return e.Status >= http.StatusInternalServerError || e.Status < http.StatusBadRequest
	}
	return e.Reached
}

// callError returns the Error for a call without a complete response.
func callError(op, address string, err error) *Error {
	e := &Error{Kind: Unreachable, Op: op, Address: address, Err: err}
	var re *rest.Error
	if errors.As(err, &re) {
		e.Reached = re.Reached
		if re.TooLarge {
			e.Kind = BadAnswer
		}
	}
	return e
}

// statusError returns the Error for a response with an unsuccessful status. The
// error code in the body determines the kind, or the status if the code is
// missing or unknown.
func statusError(op, address string, status int, h http.Header, body []byte) *Error {
	e := &Error{Kind: Refused, Op: op, Address: address, Status: status, Reached: true}
	var in struct {
		Error  string `json:"error"`
		Detail string `json:"detail"`
	}
	// A decoding error is ignored: another server at the address may respond
	// without an error code.
	if json.Unmarshal(body, &in) == nil {
		e.Detail = in.Detail[:min(len(in.Detail), maxDetailBytes)]
	}
	switch k, ok := kindByCode[in.Error]; {
	case h.Get(leavingHeader) != "" && status == http.StatusServiceUnavailable:
		e.Kind = Leaving
	case ok && status >= http.StatusBadRequest:
		e.Kind = k
	case status == http.StatusInsufficientStorage:
		e.Kind = NoMemory
	case status == http.StatusConflict && op == "order":
		e.Kind = StaleFencing
	}
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil && s > 0 {
		e.RetryAfter = time.Duration(min(s, maxRetryAfterSeconds)) * time.Second
	}
	return e
}
