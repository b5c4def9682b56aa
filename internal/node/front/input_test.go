package front

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/api/oas"
)

// problem reads the problem document of a refusal.
func problem(t *testing.T, res *http.Response) oas.Problem {
	t.Helper()
	must.Eq(t, "application/problem+json", res.Header.Get("Content-Type"))
	b, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	var p oas.Problem
	must.NoError(t, p.UnmarshalJSON(b))
	must.Eq(t, res.StatusCode, p.Status)
	return p
}

// TestBadInput guards against a bad request that reaches the Backend, and
// against a refusal that does not name the invalid field.
func TestBadInput(t *testing.T) {
	b := &fakeBackend{}
	_, base := serve(t, Settings{MaxBodyBytes: 2000}, b)
	// body returns a valid request with more fields.
	body := func(more string) string {
		return `{"model":"fig-7b","messages":[{"role":"user","content":"x"}]` + more + `}`
	}
	tests := []struct {
		name, body, field, header, value string
	}{
		{name: "not JSON", body: "figs", field: "body"},
		{name: "truncated JSON", body: `{"model":"fig-7b"`, field: "body"},
		{name: "data after the object", body: body("") + "{}", field: "body"},
		{name: "not an object", body: `["fig-7b"]`, field: "body"},
		{name: "empty", body: "", field: "body"},
		{name: "no model", body: `{"messages":[{"role":"user","content":"x"}]}`, field: "model"},
		{name: "empty model", body: `{"model":"","messages":[{"role":"user","content":"x"}]}`, field: "model"},
		{name: "number as model", body: `{"model":7,"messages":[{"role":"user","content":"x"}]}`, field: "model"},
		{name: "no messages", body: `{"model":"fig-7b"}`, field: "messages"},
		{name: "empty messages", body: `{"model":"fig-7b","messages":[]}`, field: "messages"},
		{name: "object as messages", body: `{"model":"fig-7b","messages":{}}`, field: "messages"},
		{name: "unknown role", body: `{"model":"fig-7b","messages":[{"role":"grower","content":"x"}]}`, field: "messages[0].role"},
		{name: "no content", body: `{"model":"fig-7b","messages":[{"role":"user"}]}`, field: "messages[0].content"},
		{name: "number as content", body: `{"model":"fig-7b","messages":[{"role":"user","content":1}]}`, field: "messages[0].content"},
		{name: "part without type", body: `{"model":"fig-7b","messages":[{"role":"user","content":[{"text":"x"}]}]}`, field: "messages[0].content[0].type"},
		{name: "string as stream", body: body(`,"stream":"yes"`), field: "stream"},
		{name: "two choices", body: body(`,"n":2`), field: "n"},
		{name: "temperature too high", body: body(`,"temperature":3`), field: "temperature"},
		{name: "max_tokens of zero", body: body(`,"max_tokens":0`), field: "max_tokens"},
		{name: "unknown class", body: body(""), field: HeaderClass, header: HeaderClass, value: "soon"},
		{name: "deadline now", body: body(""), field: HeaderDeadline, header: HeaderDeadline, value: "0"},
		{name: "deadline in the past", body: body(""), field: HeaderDeadline, header: HeaderDeadline, value: "2001-02-03T04:05:06Z"},
		{name: "negative deadline", body: body(""), field: HeaderDeadline, header: HeaderDeadline, value: "-5"},
		{name: "huge deadline", body: body(""), field: HeaderDeadline, header: HeaderDeadline, value: "9223372036854775807"},
		{name: "deadline in words", body: body(""), field: HeaderDeadline, header: HeaderDeadline, value: "tomorrow"},
		{name: "random key", body: body(""), field: HeaderIdempotencyKey, header: HeaderIdempotencyKey, value: "order-17"},
		{name: "UUIDv4 key", body: body(""), field: HeaderIdempotencyKey, header: HeaderIdempotencyKey, value: "7f2c1f4e-9d2b-4c3a-8e5f-0123456789ab"},
		{name: "text/plain body", body: body(""), field: "Content-Type", header: "Content-Type", value: "text/plain"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := []string{"Content-Type", "application/json"}
			if tc.header == "Content-Type" {
				h = nil
			}
			if tc.header != "" {
				h = append(h, tc.header, tc.value)
			}
			p := problem(t, send(t, "POST", base+"/v1/chat/completions", tc.body, h...))
			must.Eq(t, 400, p.Status)
			must.Eq(t, "urn:azurespan:refusal:bad-request", p.Type)
			must.Eq(t, oas.ProblemRunNo, p.Run)
			must.Eq(t, tc.field, p.Field.Value)
			must.StrContains(t, p.Detail, tc.field)
		})
	}
	t.Run("oversized body", func(t *testing.T) {
		must.Eq(t, 413, problem(t, post(t, base, body(`,"user":"`+strings.Repeat("x", 3000)+`"`))).Status)
	})
	t.Run("oversized body without a length", func(t *testing.T) {
		c := dial(t, base, "POST /v1/chat/completions HTTP/1.1\r\nHost: front\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", 200_000, strings.Repeat("x", 200_000))
		must.NoError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		must.Eq(t, 413, problem(t, res).Status)
	})
	t.Run("two classes", func(t *testing.T) {
		p := problem(t, post(t, base, body(""), HeaderClass, "urgent", HeaderClass, "background"))
		must.Eq(t, HeaderClass, p.Field.Value)
	})
	t.Run("unknown path or method", func(t *testing.T) {
		must.Eq(t, 404, problem(t, send(t, "GET", base+"/v2/models", "")).Status)
		must.Eq(t, 405, problem(t, send(t, "PUT", base+"/v1/models", "")).Status)
	})
	must.SliceEmpty(t, b.requests)
	t.Run("unknown model", func(t *testing.T) {
		must.Eq(t, 404, problem(t, post(t, base, strings.Replace(body(""), "fig-7b", "plum", 1))).Status)
	})
}

// TestRequestConversion guards against a request that reaches the Backend with
// a different class, deadline or body than the client sent.
func TestRequestConversion(t *testing.T) {
	b := &fakeBackend{}
	_, base := serve(t, Settings{}, b)
	must.Eq(t, 200, post(t, base, chatBody).StatusCode)
	first := b.lastRequest()
	must.Eq(t, chatBody, string(first.Body))
	must.Eq(t, declare.Background, first.Class)
	must.Eq(t, "v2", first.Version)
	must.Eq(t, 200, post(t, base, chatBody, HeaderClass, "urgent", HeaderDeadline, "90000").StatusCode)
	second := b.lastRequest()
	must.Eq(t, declare.Urgent, second.Class)
	must.NotEq(t, first.ID, second.ID)
	must.Eq(t, first.Fingerprint, second.Fingerprint)
	must.Eq(t, 200, post(t, base, strings.Replace(chatBody, `"seed":7`, `"seed":8`, 1)).StatusCode)
	must.NotEq(t, first.Fingerprint, b.lastRequest().Fingerprint)
	must.Eq(t, first.PromptPrefixHash, b.lastRequest().PromptPrefixHash)
}

// TestReadiness guards against a daemon that reports to be ready too early, and
// against a response that doesn't state what is missing.
func TestReadiness(t *testing.T) {
	b := &fakeBackend{missing: []string{"configuration"}}
	s, base := serve(t, Settings{}, b)
	check := func(status int, missing ...string) {
		t.Helper()
		res := send(t, "GET", base+"/readyz", "")
		must.Eq(t, status, res.StatusCode)
		var r readiness
		must.NoError(t, json.NewDecoder(res.Body).Decode(&r))
		must.Eq(t, missing, r.Missing)
	}
	check(503, "configuration")
	b.missing = nil
	check(200, []string{}...)
	s.Drain()
	check(503, "draining")
	must.Eq(t, 200, send(t, "GET", base+"/livez", "").StatusCode)
}
