package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

type (
	// Kind is the stable name of a kind of refusal, the last element of the
	// problem type URI (RFC 9457).
	Kind string

	// Run states whether an upstream executed a refused request.
	Run string

	// Fault is a typed error with the information that a caller needs to
	// decide whether and when to retry.
	Fault struct {
		Kind Kind
		// Run states whether the request was executed; empty means RunNo.
		Run Run
		// Detail describes this occurrence in one sentence.
		Detail string
		// RetryAfter is the delay after which a retry may succeed; zero means
		// that a retry of the unchanged request will not.
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
	ConfigurationAge    Kind = "configuration-age"
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

// Wrap returns a Fault of the given kind whose cause is err with a stack trace.
// If err's chain contains a Fault, Wrap returns that Fault unchanged, so that the
// first classification is kept.
func Wrap(err error, k Kind, format string, args ...any) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	f = New(k, format, args...)
	f.Cause = merry.WrapSkipping(err, 1)
	return f
}

func (f *Fault) Error() string {
	s := string(f.Kind) + ": " + f.Detail
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

func (f *Fault) Unwrap() error { return f.Cause }

// WithRun returns a copy of f with the given Run.
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
