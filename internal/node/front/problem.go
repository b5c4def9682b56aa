package front

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/metric"
)

// fieldError is a fault that is due to one header, parameter or body field.
type fieldError struct {
	field string
	fault *fault.Fault
}

const (
	problemTypePrefix = "urn:azurespan:refusal:"
	headerContentType = "Content-Type"
)

var (
	_ error = (*fieldError)(nil)

	// errFinished is the cancellation cause of the context of a finished
	// exchange.
	errFinished = errors.New("the exchange is finished")

	// decodeFieldPattern and decoderPrefixPattern match parts of the error
	// texts of the generated JSON decoder.
	decodeFieldPattern   = regexp.MustCompile(`decode field "([^"]+)"(?:: )?`)
	decoderPrefixPattern = regexp.MustCompile(`^(callback|decode [A-Za-z]+): `)
)

func (e *fieldError) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *fieldError) Unwrap() error { return e.fault }

// fieldErrorf returns a bad-request fault whose detail begins with the field.
func fieldErrorf(field, format string, args ...any) error {
	return &fieldError{field, fault.New(fault.BadRequest, "%s %s", field, fmt.Sprintf(format, args...))}
}

// invalidFieldOf returns the field that err is due to, empty if there is none.
func invalidFieldOf(err error) string {
	var f *fieldError
	if errors.As(toFieldError(err), &f) {
		return f.field
	}
	return ""
}

// toFault converts err to a fault. If ctx was cancelled with a fault as its cause,
// that fault takes precedence. ctx may be nil.
func toFault(ctx context.Context, err error) *fault.Fault {
	var f *fault.Fault
	if ctx != nil && ctx.Err() != nil && errors.As(context.Cause(ctx), &f) {
		return f
	}
	if errors.As(toFieldError(err), &f) {
		return f
	}
	// An error of another type does not tell whether the request ran.
	return fault.Wrap(err, fault.Internal, "unexpected error").WithRun(fault.RunUnknown)
}

// toFieldError converts an error of the generated decoder to a fieldError. It
// returns other errors unchanged.
func toFieldError(err error) error {
	var param *ogenerrors.DecodeParamError
	if errors.As(err, &param) {
		return fieldErrorf(param.Name, "is invalid: %v", param.Err)
	}
	var request *ogenerrors.DecodeRequestError
	if !errors.As(err, &request) {
		return err
	}
	var media *validate.InvalidContentTypeError
	var invalid *validate.Error
	var body *ogenerrors.DecodeBodyError
	switch {
	case errors.As(err, &media):
		return fieldErrorf(headerContentType, "must be application/json, not %q", truncate(media.ContentType))
	case errors.Is(err, validate.ErrBodyRequired):
		return fieldErrorf("body", "is empty")
	case errors.As(err, &body):
		return bodyFieldError(body.Err)
	case errors.As(err, &invalid):
		name, reason := invalidField(invalid)
		return fieldErrorf(name, "is invalid: %v", reason)
	case strings.HasPrefix(request.Err.Error(), "parse media type"):
		return fieldErrorf(headerContentType, "must be application/json")
	}
	return fieldErrorf("body", "is invalid: %v", request.Err)
}

// invalidField returns the path of the first invalid field, such as
// messages[0].role, and the reason why it is invalid.
func invalidField(e *validate.Error) (name string, reason error) {
	for {
		f := e.Fields[0]
		if name != "" && !strings.HasPrefix(f.Name, "[") {
			name += "."
		}
		name += f.Name
		var inner *validate.Error
		if !errors.As(f.Error, &inner) || len(inner.Fields) == 0 {
			return name, f.Error
		}
		e = inner
	}
}

// bodyFieldError returns a fieldError for a body that is not JSON of the right
// types. The JSON decoder states the path of the field only in its error text.
func bodyFieldError(err error) error {
	var invalid *validate.Error
	text := err.Error()
	var path []string
	for _, m := range decodeFieldPattern.FindAllStringSubmatch(text, -1) {
		path = append(path, m[1])
	}
	if errors.As(err, &invalid) && len(invalid.Fields) > 0 {
		name, _ := invalidField(invalid)
		return fieldErrorf(strings.Join(append(path, name), "."), "is missing")
	}
	for decoderPrefixPattern.MatchString(text) {
		text = decoderPrefixPattern.ReplaceAllString(text, "")
	}
	text = decodeFieldPattern.ReplaceAllString(text, "")
	if len(path) == 0 {
		return fieldErrorf("body", "is not valid JSON: %s", text)
	}
	return fieldErrorf(strings.Join(path, "."), "has the wrong type or is not valid JSON: %s", text)
}

// newProblem returns the problem document of f. id is the request identifier.
func newProblem(f *fault.Fault, field, id string) oas.Problem {
	run := oas.ProblemRun(f.Run)
	if run == "" {
		run = oas.ProblemRunNo
	}
	p := oas.Problem{
		Type:     problemTypePrefix + string(f.Kind),
		Title:    refusalTitle(f.Kind),
		Status:   f.Status(),
		Detail:   f.Detail,
		Instance: oas.NewOptString("urn:azurespan:request:" + id),
		Run:      run,
		Error:    oas.NewOptProblemError(oas.ProblemError{Message: f.Detail, Type: "azurespan_refusal", Code: string(f.Kind)}),
	}
	if field != "" {
		p.Field = oas.NewOptString(field)
	}
	return p
}

// writeProblem sends p with its status, and retryAfter if it is positive.
func writeProblem(w http.ResponseWriter, p oas.Problem, retryAfter time.Duration) {
	h := w.Header()
	h.Set(headerContentType, "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(retryAfter.Seconds())), 10))
	}
	b, err := p.MarshalJSON()
	if err != nil {
		panic(err) // every Problem can be encoded
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(p.Status)
	// A failed write means that the client has disconnected.
	_, _ = w.Write(b)
}

// handleError responds to an error of the generated server or a handler. It
// aborts a response that has been started, which would otherwise look complete.
func handleError(ctx context.Context, _ http.ResponseWriter, _ *http.Request, err error) {
	x := exchangeFromContext(ctx)
	if x.w.headerSent {
		if x.outcome == metric.OutcomeOK {
			x.outcome = x.abortedOutcome(err)
		}
		if x.outcome == metric.OutcomeSlowReader {
			event.CallerSlowReader.Log("request", x.id, "err", err)
		}
		panic(http.ErrAbortHandler)
	}
	x.refuse(err)
}

// handleNotFound responds to a request with an unknown path.
func handleNotFound(w http.ResponseWriter, r *http.Request) {
	writePlainProblem(w, r, http.StatusNotFound, "there is no such path")
}

// handleMethodNotAllowed responds to a request with an unsupported method.
func handleMethodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	writePlainProblem(w, r, http.StatusMethodNotAllowed, "allowed methods: "+allowed)
}

// writePlainProblem sends a problem document of the type about:blank.
func writePlainProblem(w http.ResponseWriter, r *http.Request, status int, detail string) {
	exchangeFromContext(r.Context()).outcome = metric.OutcomeRefused
	writeProblem(w, oas.Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: detail, Run: oas.ProblemRunNo,
	}, 0)
}
