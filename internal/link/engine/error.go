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
	// Kind classifies failures of an engine.
	Kind string

	// Error is a failed call or stream of an engine.
	Error struct {
		Kind Kind
		Op   string
		// Address is the engine's IP number and port.
		Address string
		// Status is the HTTP status code, 0 without an answer.
		Status int
		// Reached is false only if the engine can't have seen the request.
		Reached bool
		// Token is the index of the next token that a stream lacks.
		NextToken int64
		// RetryAfter is the delay that the engine asked for.
		RetryAfter time.Duration
		Detail     string
		Err        error
	}
)

// Kinds of failed calls.
const (
	// Unreachable means that there was no complete answer.
	Unreachable Kind = "unreachable"
	// Leaving means that the engine takes no new work.
	Leaving Kind = "leaving"
	// StaleFencing means that the engine has seen a newer fencing number.
	StaleFencing Kind = "stale-fencing"
	// StaleSequence means that the engine has seen a later order of the same
	// owner for the same model version or adapter.
	StaleSequence Kind = "stale-sequence"
	// NoMemory means that memory does not suffice for a load.
	NoMemory Kind = "no-memory"
	// Busy means that streams still use what an order would unload.
	Busy Kind = "busy"
	// NotLoaded means that the model version or adapter is not loaded.
	NotLoaded Kind = "not-loaded"
	// UnknownStream means that the engine does not keep the stream.
	UnknownStream Kind = "unknown-stream"
	// NotKept means that the engine keeps only a later part of the stream.
	NotKept Kind = "not-kept"
	// InUse means that another request has the same identifier.
	InUse Kind = "in-use"
	// BadRequest is a request that the engine refuses as invalid.
	BadRequest Kind = "bad-request"
	// LoadFailed means that the engine could not fetch the data of a load.
	LoadFailed Kind = "load-failed"
	// Refused is any other status.
	Refused Kind = "refused"
	// BadAnswer is an answer that breaks the protocol.
	BadAnswer Kind = "bad-answer"
)

// Kinds of failed streams, beside Unreachable for a broken connection.
const (
	// Garbage is an event that can't be read.
	Malformed Kind = "garbage"
	// Foreign is an event with another request's identifier.
	WrongRequest Kind = "foreign"
	// Gap is an event whose token index is too high.
	Gap Kind = "gap"
	// Truncated is an end without a finish reason.
	Truncated Kind = "truncated"
	// Stalled is a stream that sent nothing for the idle time.
	Stalled Kind = "stalled"
	// Cancelled means that the caller's context ended.
	Cancelled Kind = "cancelled"
)

const (
	// leavingHeader marks a refusal by an upstream that is leaving.
	leavingHeader = "X-Upstream-Leaving"
	// maxDetail bounds the engine's text in an Error, in bytes.
	maxDetail = 256
	// maxRetryAfter bounds the delay taken from an answer, in seconds.
	maxRetryAfter = 3600
)

var _ error = (*Error)(nil)

// codes maps the error codes in an engine's answers.
var codes = map[string]Kind{
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

// MayHaveRun returns whether the engine may have started to run the request.
// It is false if the engine can't have seen the request, and if it stated a
// refusal.
func (e *Error) MayHaveRun() bool {
	switch e.Kind {
	case Leaving, StaleFencing, StaleSequence, NoMemory, Busy, NotLoaded, UnknownStream, NotKept, InUse, BadRequest:
		return false
	case Refused:
		// A status below 500 is the engine's own decision.
		return e.Status >= 500 || e.Status < 400
	}
	return e.Reached
}

// callError returns the Error for a call without a complete answer.
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

// statusError returns the Error for an answer with a status that is no
// success. The code in the body decides the kind, and the status if there is
// no known code.
func statusError(op, address string, status int, h http.Header, body []byte) *Error {
	e := &Error{Kind: Refused, Op: op, Address: address, Status: status, Reached: true}
	var in struct {
		Error  string `json:"error"`
		Detail string `json:"detail"`
	}
	// A body without a code is expected from other servers on the address.
	if json.Unmarshal(body, &in) == nil {
		e.Detail = in.Detail[:min(len(in.Detail), maxDetail)]
	}
	switch k, ok := codes[in.Error]; {
	case h.Get(leavingHeader) != "" && status == http.StatusServiceUnavailable:
		e.Kind = Leaving
	case ok && status >= 400:
		e.Kind = k
	case status == http.StatusInsufficientStorage:
		e.Kind = NoMemory
	case status == http.StatusConflict && op == "order":
		e.Kind = StaleFencing
	}
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil && s > 0 {
		e.RetryAfter = time.Duration(min(s, maxRetryAfter)) * time.Second
	}
	return e
}
