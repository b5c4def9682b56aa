package front

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/node/calls"
)

// FuzzDeadline guards against a deadline outside the accepted range.
func FuzzDeadline(f *testing.F) {
	for _, s := range []string{"", "0", "1", "-1", "+5", "90000", "18446744073709551616", "2026-01-02T03:04:05Z", "2026-01-02T03:04:05+09:00", "9999-12-31T23:59:59.999999999Z"} {
		f.Add(s)
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, s string) {
		got, err := parseDeadline(s, now, DefaultMaxDeadline)
		if err == nil {
			must.True(t, got.After(now))
			must.False(t, got.After(now.Add(DefaultMaxDeadline)))
		}
	})
}

// FuzzKey guards against two canonical forms of one idempotency key.
func FuzzKey(f *testing.F) {
	for _, s := range []string{"", "01JX0000000000000000000000", "01jx0000000000000000000000", "81JX0000000000000000000000", "0190163d-8694-739b-aea5-966c26f8ad91", "0190163d-8694-439b-aea5-966c26f8ad91"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		key, err := parseKey(s)
		if err != nil {
			return
		}
		again, err := parseKey(key)
		must.NoError(t, err)
		must.Eq(t, key, again)
		must.Eq(t, len(s), len(key))
	})
}

// FuzzEventID guards against a forged position and against a position that changes
// between encoding and parsing.
func FuzzEventID(f *testing.F) {
	s := newSigner([]byte("test secret"))
	good := string(s.append(nil, streamPosition{"01JX0000000000000000000000", "engine.1", 41}))
	for _, text := range []string{"", "....", good, good[:len(good)-1], good + "A", "01JX0000000000000000000000.e.1.AAAAAAAAAAAAAAAAAAAAAA"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		p, err := s.parse(text)
		if err != nil {
			return
		}
		must.Eq(t, text, string(s.append(nil, p)))
		must.Eq(t, good, text)
	})
}

// FuzzBody guards against a body that causes a panic in a parser, is accepted
// without a model, or reaches the Backend changed.
func FuzzBody(f *testing.F) {
	for _, s := range []string{
		chatBody, "", "{}", "null", `{"model":"fig-7b","messages":[{"role":"assistant"}]}`,
		`{"model":"fig-7b","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"n":null}`,
		`{"model":"fig-7b","messages":[{"role":"user","content":"\ud800"}],"max_tokens":1e9}`,
	} {
		f.Add([]byte(s))
	}
	b := &fakeBackend{complete: func(_ context.Context, r calls.Request) (calls.Stream, error) {
		return nil, errRecorded{r}
	}}
	s, err := New(Settings{Secret: []byte("test secret")}, b)
	must.NoError(f, err)
	f.Fuzz(func(t *testing.T, body []byte) {
		b.requests = nil
		r := httptest.NewRequest("POST", "/v1/chat/completions", bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		_, err := io.Copy(io.Discard, w.Body)
		must.NoError(t, err)
		if len(b.requests) == 0 {
			must.Between(t, 400, w.Code, 413)
			return
		}
		must.Eq(t, string(body), string(b.requests[0].Body))
		must.NotEq(t, "", b.requests[0].Model)
	})
}

// errRecorded is returned by the Backend for each request that it has recorded.
type errRecorded struct{ r calls.Request }

func (e errRecorded) Error() string { return "recorded " + e.r.ID }
