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

// fieldFault is a refusal because of one header, parameter or body field.
type fieldFault struct {
	field string
	fault *fault.Fault
}

const (
	typePrefix  = "urn:azurespan:refusal:"
	contentType = "Content-Type"
)

var (
	_ error = (*fieldFault)(nil)

	// errFinished is the cause of a context whose exchange is complete.
	errFinished = errors.New("the exchange is finished")

	decodeField = regexp.MustCompile(`decode field "([^"]+)"(?:: )?`)
	jsonFailure = regexp.MustCompile(`^(callback|decode [A-Za-z]+): `)
)

func (e *fieldFault) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *fieldFault) Unwrap() error { return e.fault }

// badField returns a bad-request fault whose detail begins with the field.
func badField(field, format string, args ...any) error {
	return &fieldFault{field, fault.New(fault.BadRequest, "%s %s", field, fmt.Sprintf(format, args...))}
}

// fieldOf returns the field that err blames, empty if there is none.
func fieldOf(err error) string {
	var f *fieldFault
	if errors.As(asField(err), &f) {
		return f.field
	}
	return ""
}

// faultOf classifies err. ctx, which may be nil, tells whether the exchange
// was cancelled with a fault of its own.
func faultOf(ctx context.Context, err error) *fault.Fault {
	var f *fault.Fault
	if ctx != nil && ctx.Err() != nil && errors.As(context.Cause(ctx), &f) {
		return f
	}
	if errors.As(asField(err), &f) {
		return f
	}
	// Nothing is known about an untyped failure, so nothing may be claimed
	// about whether the request ran.
	return fault.Wrap(err, fault.Internal, "unexpected error").WithRun(fault.RunUnknown)
}

// asField turns a failure of the generated decoder into a fieldFault. It
// returns other errors unchanged.
func asField(err error) error {
	var param *ogenerrors.DecodeParamError
	if errors.As(err, &param) {
		return badField(param.Name, "is invalid: %v", param.Err)
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
		return badField(contentType, "must be application/json, not %q", clip(media.ContentType))
	case errors.Is(err, validate.ErrBodyRequired):
		return badField("body", "is empty")
	case errors.As(err, &body):
		return bodyField(body.Err)
	case errors.As(err, &invalid):
		name, reason := invalidField(invalid)
		return badField(name, "is invalid: %v", reason)
	case strings.HasPrefix(request.Err.Error(), "parse media type"):
		return badField(contentType, "must be application/json")
	}
	return badField("body", "is invalid: %v", request.Err)
}

// invalidField returns the path of the first invalid field, such as
// messages[0].role, and what is wrong with it.
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

// bodyField returns a fieldFault for a body that is not JSON of the right
// types. The JSON decoder names fields only in its text.
func bodyField(err error) error {
	var invalid *validate.Error
	text := err.Error()
	var path []string
	for _, m := range decodeField.FindAllStringSubmatch(text, -1) {
		path = append(path, m[1])
	}
	if errors.As(err, &invalid) && len(invalid.Fields) > 0 {
		name, _ := invalidField(invalid)
		return badField(strings.Join(append(path, name), "."), "is missing")
	}
	for jsonFailure.MatchString(text) {
		text = jsonFailure.ReplaceAllString(text, "")
	}
	text = decodeField.ReplaceAllString(text, "")
	if len(path) == 0 {
		return badField("body", "is not valid JSON: %s", text)
	}
	return badField(strings.Join(path, "."), "has the wrong type or is not valid JSON: %s", text)
}

// problemOf returns the problem document of f.
func problemOf(f *fault.Fault, field, id string) oas.Problem {
	run := oas.ProblemRun(f.Run)
	if run == "" {
		run = oas.ProblemRunNo
	}
	p := oas.Problem{
		Type:     typePrefix + string(f.Kind),
		Title:    titleOf(f.Kind),
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

// writeProblem sends p with its status.
func writeProblem(w http.ResponseWriter, p oas.Problem, retry time.Duration) {
	h := w.Header()
	h.Set(contentType, "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if retry > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(retry.Seconds())), 10))
	}
	b, err := p.MarshalJSON()
	if err != nil {
		panic(err) // a Problem has no value that JSON can't express
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(p.Status)
	// A caller that doesn't take the refusal is gone; nothing is left to do.
	_, _ = w.Write(b)
}

// handleError answers a request that the generated server or a handler
// refuses, and aborts an answer that broke off: ending it cleanly would make
// it look complete.
func handleError(ctx context.Context, _ http.ResponseWriter, _ *http.Request, err error) {
	x := exchangeOf(ctx)
	if x.w.started {
		if x.outcome == metric.OutcomeOK {
			x.outcome = x.brokenOutcome(err)
		}
		if x.outcome == metric.OutcomeSlowReader {
			event.CallerSlowReader.Log("request", x.id, "err", err)
		}
		panic(http.ErrAbortHandler)
	}
	x.refuse(err)
}

func handleNotFound(w http.ResponseWriter, r *http.Request) {
	plainProblem(w, r, http.StatusNotFound, "there is no such path")
}

func handleMethod(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	plainProblem(w, r, http.StatusMethodNotAllowed, "allowed methods: "+allowed)
}

// plainProblem answers with a problem that says no more than its status does.
func plainProblem(w http.ResponseWriter, r *http.Request, status int, detail string) {
	exchangeOf(r.Context()).outcome = metric.OutcomeRefused
	writeProblem(w, oas.Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: detail, Run: oas.ProblemRunNo,
	}, 0)
}
