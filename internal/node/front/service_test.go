package front

import (
	"context"
	"io"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// TestService guards against a call whose class, path or key reaches the Backend
// changed, and against a response that reaches the client changed.
func TestService(t *testing.T) {
	b := &fakeBackend{invoke: func(context.Context, calls.ServiceCall) (calls.ServiceResponse, error) {
		return calls.ServiceResponse{Status: 201, ContentType: "application/json", Body: []byte(`{"rack":4}`), Replayed: true}, nil
	}}
	_, base := serve(t, Settings{}, b)
	res := send(t, "POST", base+"/services/booking-desk/bookings/%74ray?day=1", `{"n":2}`,
		"Content-Type", "application/json", HeaderIdempotencyKey, "01jx0000000000000000000000")
	must.Eq(t, 201, res.StatusCode)
	must.Eq(t, "true", res.Header.Get("Idempotency-Replayed"))
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, `{"rack":4}`, string(body))
	c := b.calls[0]
	must.Eq(t, "booking-desk POST /bookings/tray day=1 application/json", c.Service+" "+c.Method+" "+c.Path+" "+c.RawQuery+" "+c.ContentType)
	must.Eq(t, `{"n":2}`, string(c.Body))
	must.Eq(t, "01JX0000000000000000000000", c.Key)
	must.Eq(t, declare.Urgent, c.Class)
	send(t, "GET", base+"/services/booking-desk", "", HeaderIdempotencyKey, "0190163D-8694-739B-AEA5-966C26F8AD91")
	must.Eq(t, "/", b.calls[1].Path)
	must.Eq(t, declare.Background, b.calls[1].Class)
	must.Eq(t, "0190163d-8694-739b-aea5-966c26f8ad91", b.calls[1].Key)
}

// TestServiceRefusals guards against paths that an upstream may resolve to a
// different call, invalid headers, and responses with an invalid status.
func TestServiceRefusals(t *testing.T) {
	b := &fakeBackend{invoke: func(_ context.Context, c calls.ServiceCall) (calls.ServiceResponse, error) {
		if c.Path == "/odd" {
			return calls.ServiceResponse{Status: 7}, nil
		}
		return calls.ServiceResponse{}, fault.New(fault.OutcomeUnknown, "started earlier").WithRun(fault.RunUnknown)
	}}
	_, base := serve(t, Settings{}, b)
	for _, path := range []string{"a/../bookings", "a/%2e%2e/bookings", "a%2fbookings", "a//b", `a\b`, "."} {
		must.Eq(t, "path", problem(t, send(t, "POST", base+"/services/booking-desk/"+path, "")).Field.Value, must.Sprint(path))
	}
	for _, h := range [][]string{
		{HeaderIdempotencyKey, ""}, {HeaderIdempotencyKey, "81JX0000000000000000000000"}, {HeaderIdempotencyKey, "x", HeaderIdempotencyKey, "x"},
		{HeaderClass, ""}, {HeaderClass, "soon"}, {HeaderDeadline, ""},
	} {
		must.Eq(t, h[0], problem(t, send(t, "POST", base+"/services/booking-desk/a", "", h...)).Field.Value)
	}
	must.Eq(t, "service", problem(t, send(t, "GET", base+"/services/", "")).Field.Value)
	must.SliceEmpty(t, b.calls)
	p := problem(t, send(t, "POST", base+"/services/booking-desk/a", ""))
	must.Eq(t, 409, p.Status)
	must.Eq(t, oas.ProblemRunUnknown, p.Run)
	must.Eq(t, 502, problem(t, send(t, "POST", base+"/services/booking-desk/odd", "")).Status)
}
