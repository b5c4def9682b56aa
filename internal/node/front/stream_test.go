package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ogen-go/ogen/sse"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// events reads a stream to its end or until its connection fails.
func events(t *testing.T, res *http.Response) ([]sse.Event, error) {
	t.Helper()
	must.Eq(t, 200, res.StatusCode)
	must.Eq(t, "text/event-stream", res.Header.Get("Content-Type"))
	var out []sse.Event
	d := sse.NewDecoder(res.Body, 0, 0, "", nil)
	for {
		e, err := d.Decode()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, e)
	}
}

// TestStream guards against chunks, event IDs or a final event in a wrong format.
func TestStream(t *testing.T) {
	_, base := serve(t, Settings{}, &fakeBackend{})
	res := post(t, base, chatBody)
	id := res.Header.Get("X-Request-Id")
	es, err := events(t, res)
	must.NoError(t, err)
	must.Len(t, 4, es)
	must.StrHasPrefix(t, id+".engine-1.0.", es[0].ID)
	must.StrHasPrefix(t, id+".engine-1.2.", es[2].ID)
	must.StrContains(t, string(es[0].Data), `"delta":{"role":"assistant","content":"Fig "},"finish_reason":null`)
	must.StrContains(t, string(es[2].Data), `"delta":{"content":"ready."},"finish_reason":"stop"`)
	must.Eq(t, "[DONE]", string(es[3].Data))
}

// TestResume guards against a resumed response that repeats or loses a token, and
// against a forged event ID.
func TestResume(t *testing.T) {
	all := tokens("Fig ", "trays ", "are ", "ready.")
	b := &fakeBackend{}
	b.complete = func(context.Context, calls.Request) (calls.Stream, error) { return newFakeStream(all...), nil }
	b.resume = func(_ context.Context, _, upstream string, from int64) (calls.Stream, error) {
		must.Eq(t, "engine-1", upstream)
		// The engine repeats a token, as after a failover.
		return newFakeStream(all[max(from-1, 0):]...), nil
	}
	_, base := serve(t, Settings{}, b)
	_, other := serve(t, Settings{Secret: []byte("another secret")}, b)
	res := post(t, base, chatBody)
	id := res.Header.Get("X-Request-Id")
	es, err := events(t, res)
	must.NoError(t, err)
	for i, e := range es[:4] {
		rest, err := events(t, send(t, "GET", base+"/v1/streams/"+id, "", "Last-Event-ID", e.ID))
		must.NoError(t, err)
		must.Len(t, 4-i, rest)
		for j := range rest {
			must.Eq(t, es[i+1+j].ID, rest[j].ID)
		}
	}
	_, err = events(t, send(t, "GET", base+"/v1/streams/"+id+"?after="+es[1].ID, ""))
	must.NoError(t, err)

	b.resume = func(context.Context, string, string, int64) (calls.Stream, error) {
		return nil, fault.New(fault.UnknownStream, "engine-1 has no such stream")
	}
	unknown := problem(t, send(t, "GET", base+"/v1/streams/"+id, "", "Last-Event-ID", es[1].ID))
	must.Eq(t, 404, unknown.Status)
	must.Eq(t, oas.ProblemRunYes, unknown.Run)

	forged := strings.Replace(es[1].ID, ".1.", ".2.", 1)
	for _, bad := range []string{forged, es[1].ID + "x", "", id + ".engine-1.1", strings.Repeat(".", 600)} {
		must.Eq(t, "Last-Event-ID", problem(t, send(t, "GET", base+"/v1/streams/"+id, "", "Last-Event-ID", bad)).Field.Value)
	}
	must.Eq(t, 400, problem(t, send(t, "GET", other+"/v1/streams/"+id, "", "Last-Event-ID", es[1].ID)).Status)
	must.Eq(t, "request-id", problem(t, send(t, "GET", base+"/v1/streams/"+b.lastRequest().ID[:25]+"!", "", "Last-Event-ID", es[1].ID)).Field.Value)
}

// TestAbortedResponse guards against an incomplete response that looks complete,
// and against a problem that states run as no although the request ran.
func TestAbortedResponse(t *testing.T) {
	unavailable := fault.New(fault.UpstreamUnavailable, "engine-1 is gone")
	tests := []struct {
		name   string
		tokens []calls.Token
		err    error
		kind   fault.Kind
	}{
		{"failure", tokens("Fig ", "trays")[:1], unavailable, fault.UpstreamUnavailable},
		{"untyped failure", tokens("Fig ", "trays")[:1], io.ErrUnexpectedEOF, fault.Internal},
		{"end without finish", tokens("Fig ", "trays")[:1], io.EOF, fault.UpstreamInvalid},
		{"gap", []calls.Token{{Text: "Fig "}, {Index: 2, Text: "ready", Finish: "stop"}}, io.EOF, fault.UpstreamInvalid},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) {
				s := newFakeStream(tc.tokens...)
				s.err = tc.err
				return s, nil
			}}
			_, base := serve(t, Settings{}, b)
			es, err := events(t, post(t, base, chatBody))
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			must.Len(t, 2, es)
			must.Eq(t, "error", es[1].Type)
			var p oas.Problem
			must.NoError(t, p.UnmarshalJSON([]byte(es[1].Data)))
			must.Eq(t, problemTypePrefix+string(tc.kind), p.Type)
			must.Eq(t, oas.ProblemRunYes, p.Run)

			complete := problem(t, post(t, base, strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1)))
			must.Eq(t, p.Type, complete.Type)
			must.Eq(t, oas.ProblemRunYes, complete.Run)
		})
	}
}

// TestRefusalBeforeFirstToken guards against a refusal that is sent as an event of a
// stream with status 200, and against a Retry-After header that is missing or
// rounded down.
func TestRefusalBeforeFirstToken(t *testing.T) {
	b := &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) {
		s := newFakeStream()
		s.err = fault.New(fault.NoCapacity, "all engines are full").WithRetry(1200 * time.Millisecond)
		return s, nil
	}}
	_, base := serve(t, Settings{}, b)
	res := post(t, base, chatBody)
	must.Eq(t, "2", res.Header.Get("Retry-After"))
	p := problem(t, res)
	must.Eq(t, 503, p.Status)
	must.Eq(t, oas.ProblemRunNo, p.Run)
}

// TestOutcomes guards against requests that are counted with a wrong outcome or
// class, and against a gauge of streams that does not decrease.
func TestOutcomes(t *testing.T) {
	reg := prometheus.NewRegistry()
	b := &fakeBackend{}
	_, base := serve(t, Settings{Metrics: metric.New(reg)}, b)
	_, err := events(t, post(t, base, chatBody, HeaderClass, "urgent"))
	must.NoError(t, err)
	problem(t, post(t, base, strings.Replace(chatBody, "fig-7b", "plum", 1)))
	b.complete = func(context.Context, calls.Request) (calls.Stream, error) {
		return newFakeStream(tokens("Fig ", "trays")[:1]...), nil
	}
	_, err = events(t, post(t, base, chatBody))
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	families, err := reg.Gather()
	must.NoError(t, err)
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			name := f.GetName()
			for _, l := range m.GetLabel() {
				name += " " + l.GetValue()
			}
			got[name] = float64(m.GetHistogram().GetSampleCount()) + m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	for name, want := range map[string]float64{
		"azurespan_request_duration_seconds urgent ok":         1,
		"azurespan_request_duration_seconds urgent refused":    1,
		"azurespan_request_duration_seconds background broken": 1,
		"azurespan_first_token_seconds urgent":                 1,
		"azurespan_token_interval_seconds":                     2,
		"azurespan_refusals_total unknown-model":               1,
		"azurespan_refusals_total upstream-invalid":            1,
		"azurespan_streams_in_progress":                        0,
	} {
		must.Eq(t, want, got[name], must.Sprint(name))
	}
}
