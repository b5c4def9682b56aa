package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

type (
	// Kind is the stable name of a refusal, used as the last element of the
	// problem type URI (RFC 9457).
	Kind string

	// Run states whether a refused request was executed by an upstream.
	Run string

	// Fault is a typed error with everything that a caller needs to decide
	// what to do next.
	Fault struct {
		// Kind names the reason.
		Kind Kind
		// Run states whether the request was executed; empty means RunNo.
		Run Run
		// Detail describes this occurrence in one sentence.
		Detail string
		// RetryAfter is the delay after which a retry is worthwhile; zero
		// means that a retry without a change will not help.
		RetryAfter time.Duration
		// Cause is the underlying error, nil if there is none.
		Cause error
	}
)

// Values of Run.
const (
	RunNo      Run = "no"
	RunYes     Run = "yes"
	RunUnknown Run = "unknown"
)

// Kinds of refusal. docs/refusals.md lists them for callers.
const (
	BadRequest          Kind = "bad-request"
	BodyTooLarge        Kind = "body-too-large"
	UnknownModel        Kind = "unknown-model"
	UnknownAdapter      Kind = "unknown-adapter"
	UnknownService      Kind = "unknown-service"
	UnknownStream       Kind = "unknown-stream"
	Unauthorized        Kind = "unauthorized"
	DeadlinePassed      Kind = "deadline-passed"
	DeadlineUnreachable Kind = "deadline-unreachable"
	QueueFull           Kind = "queue-full"
	ReplicaElsewhere    Kind = "replica-elsewhere"
	NoCapacity          Kind = "no-capacity"
	LogUnavailable      Kind = "log-unavailable"
	UpstreamUnavailable Kind = "upstream-unavailable"
	UpstreamInvalid     Kind = "upstream-invalid"
	RequestQuarantined  Kind = "request-quarantined"
	KeyRequired         Kind = "key-required"
	KeyExpired          Kind = "key-expired"
	KeyMismatch         Kind = "key-mismatch"
	KeyInProgress       Kind = "key-in-progress"
	OutcomeUnknown      Kind = "outcome-unknown"
	AnswerNotKept       Kind = "answer-not-kept"
	NotOwner            Kind = "not-owner"
	Draining            Kind = "draining"
	NotReady            Kind = "not-ready"
	VersionConflict     Kind = "version-conflict"
	Internal            Kind = "internal"
)

var _ error = (*Fault)(nil)

// New returns a Fault of the given kind for a request that was not run.
func New(k Kind, format string, args ...any) *Fault {
	return &Fault{Kind: k, Run: RunNo, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a Fault of the given kind whose cause is err with a stack.
// A cause that already is a Fault is returned unchanged, so that the first
// classification is kept.
func Wrap(err error, k Kind, format string, args ...any) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	f = New(k, format, args...)
	f.Cause = merry.WrapSkipping(err, 1)
	return f
}

// Error returns the kind, the detail and the cause.
func (f *Fault) Error() string {
	s := string(f.Kind) + ": " + f.Detail
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }

// WithRun returns a copy of f that states r.
func (f *Fault) WithRun(r Run) *Fault {
	c := *f
	c.Run = r
	return &c
}

// WithRetry returns a copy of f with the given retry delay.
func (f *Fault) WithRetry(d time.Duration) *Fault {
	c := *f
	c.RetryAfter = d
	return &c
}

// Portable returns a copy of f that can be sent to another daemon: the cause
// becomes part of the detail.
func (f *Fault) Portable() *Fault {
	c := *f
	if c.Cause != nil {
		c.Detail += ": " + c.Cause.Error()
		c.Cause = nil
	}
	return &c
}

// Status returns the HTTP status code for f.
func (f *Fault) Status() int {
	switch f.Kind {
	case BadRequest, KeyRequired:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case UnknownModel, UnknownAdapter, UnknownService, UnknownStream:
		return http.StatusNotFound
	case Unauthorized:
		return http.StatusUnauthorized
	case DeadlinePassed:
		return http.StatusRequestTimeout
	case KeyExpired, KeyMismatch, RequestQuarantined:
		return http.StatusUnprocessableEntity
	case KeyInProgress, OutcomeUnknown, AnswerNotKept, VersionConflict:
		return http.StatusConflict
	case QueueFull:
		return http.StatusTooManyRequests
	case UpstreamInvalid:
		return http.StatusBadGateway
	case Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// Of returns the Fault in err's chain, or an Internal fault around err.
// It returns nil for a nil err.
func Of(err error) *Fault {
	if err == nil {
		return nil
	}
	return Wrap(err, Internal, "unexpected error")
}
