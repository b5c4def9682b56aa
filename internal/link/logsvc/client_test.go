package logsvc

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/standin/platform/platsv"
)

func platform(t *testing.T, cfg platsv.Config) (*platsv.Server, *Client) {
	t.Helper()
	s, err := platsv.Start("", cfg)
	must.NoError(t, err)
	t.Cleanup(s.Kill)
	return s, New("http://"+s.Address(), nil)
}

func asError(t *testing.T, err error) *Error {
	t.Helper()
	var e *Error
	must.True(t, errors.As(err, &e), must.Sprintf("%v", err))
	return e
}

// TestAppendRead guards against lost or reordered records, and against a long
// poll that does not return on an append.
func TestAppendRead(t *testing.T) {
	_, c := platform(t, platsv.Config{})
	ctx := context.Background()
	polled := make(chan Page, 1)
	go func() {
		p, _ := c.Read(ctx, "control", 1, 10, time.Minute)
		polled <- p
	}()
	first, ms, err := c.Append(ctx, "control", []byte("a"), []byte("b"))
	must.NoError(t, err)
	must.Eq(t, uint64(1), first)
	must.Positive(t, ms)
	want := Page{Oldest: 1, End: 3, Records: []Record{{1, ms, []byte("a")}, {2, ms, []byte("b")}}}
	must.Eq(t, want, <-polled)
	first, _, err = c.Append(ctx, "control", []byte("c"))
	must.NoError(t, err)
	must.Eq(t, uint64(3), first)
	p, err := c.Read(ctx, "control", 2, 1, 0)
	must.NoError(t, err)
	must.Eq(t, want.Records[1:], p.Records)
	p, err = c.Read(ctx, "control", 4, 10, time.Millisecond)
	must.NoError(t, err)
	must.SliceEmpty(t, p.Records)
	p, err = c.Read(ctx, "claims-00", 1, 10, 0)
	must.NoError(t, err)
	must.Eq(t, Page{Oldest: 1, End: 1, Records: []Record{}}, p)
}

// TestLostAnswer guards against treating a lost response as a failed append.
func TestLostAnswer(t *testing.T) {
	s, c := platform(t, platsv.Config{})
	ctx := context.Background()
	s.SetFaults(platsv.Faults{LoseAppendResponses: 1})
	_, _, err := c.Append(ctx, "control", []byte("a"))
	e := asError(t, err)
	must.Eq(t, Unreachable, e.Kind)
	must.True(t, e.Ambiguous)
	p, err := c.Read(ctx, "control", 1, 10, 0)
	must.NoError(t, err)
	must.Eq(t, "a", string(p.Records[0].Data))
	first, _, err := c.Append(ctx, "control", []byte("b"))
	must.NoError(t, err)
	must.Eq(t, uint64(2), first)
	must.Eq(t, []bool{true, false}, []bool{s.Entries()[0].ResponseLost, s.Entries()[1].ResponseLost})
}

// TestRefusals guards against treating an explicit refusal as an ambiguous
// append, which would make the writer read the stream needlessly.
func TestRefusals(t *testing.T) {
	s, c := platform(t, platsv.Config{AppendsPerSecond: 0.001})
	ctx := context.Background()
	_, _, err := c.Append(ctx, "control", []byte("a"))
	must.NoError(t, err)
	_, _, err = c.Append(ctx, "control", []byte("b"))
	e := asError(t, err)
	must.Eq(t, RateLimited, e.Kind)
	must.False(t, e.Ambiguous)
	must.Eq(t, time.Second, e.RetryAfter)
	s.SetFaults(platsv.Faults{LogOutage: true})
	_, _, err = c.Append(ctx, "control", []byte("b"))
	e = asError(t, err)
	must.Eq(t, Outage, e.Kind)
	must.False(t, e.Ambiguous)
	_, err = c.Read(ctx, "control", 1, 10, 0)
	must.Eq(t, Outage, asError(t, err).Kind)
	_, _, err = c.Append(ctx, "control")
	must.Eq(t, BadCall, asError(t, err).Kind)
	_, _, err = c.Append(ctx, "control", make([]byte, maxAppendBytes+1))
	must.Eq(t, BadCall, asError(t, err).Kind)
	must.Eq(t, 1, appendCount(s))
	s.Kill()
	_, _, err = c.Append(ctx, "control", []byte("b"))
	e = asError(t, err)
	must.Eq(t, Unreachable, e.Kind)
}

// appendCount returns the number of appends that the server has recorded.
func appendCount(s *platsv.Server) (n int) {
	for _, e := range s.Entries() {
		if e.Kind == "append" {
			n++
		}
	}
	return n
}

// TestNotSent guards against reporting an append as ambiguous when no
// connection was established.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l.Close()
	_, _, err = New("http://"+l.Addr().String(), nil).Append(context.Background(), "control", []byte("a"))
	e := asError(t, err)
	must.Eq(t, Unreachable, e.Kind)
	must.False(t, e.Ambiguous)
}

// TestRetention guards against a page that does not show which records were
// dropped.
func TestRetention(t *testing.T) {
	var clock atomic.Int64
	clock.Store(1_000_000)
	s, c := platform(t, platsv.Config{RetentionCount: 3, Retention: time.Minute, Now: func() time.Time { return time.UnixMilli(clock.Load()) }})
	ctx := context.Background()
	for range 5 {
		_, _, err := c.Append(ctx, "control", []byte("x"))
		must.NoError(t, err)
	}
	read := func() (oldest, end uint64, n int) {
		p, err := c.Read(ctx, "control", 1, 10, 0)
		must.NoError(t, err)
		return p.Oldest, p.End, len(p.Records)
	}
	oldest, end, n := read()
	must.Eq(t, []uint64{3, 6, 3}, []uint64{oldest, end, uint64(n)})
	s.SetFaults(platsv.Faults{Truncate: map[string]uint64{"control": 5}})
	oldest, end, n = read()
	must.Eq(t, []uint64{5, 6, 1}, []uint64{oldest, end, uint64(n)})
	clock.Add(time.Hour.Milliseconds())
	oldest, end, n = read()
	must.Eq(t, []uint64{6, 6, 0}, []uint64{oldest, end, uint64(n)})
	must.Eq(t, 5, appendCount(s))
}

// TestBadResponses guards against accepting a response that violates the
// protocol, and against reporting an append with such a response as
// unambiguous.
func TestBadResponses(t *testing.T) {
	text := func(status int, s string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			w.WriteHeader(status)
			w.Write([]byte(s))
		}
	}
	for name, tc := range map[string]struct {
		answer    func(http.ResponseWriter)
		kind      Kind
		ambiguous bool
	}{
		"garbage":     {text(200, "<html>"), BadAnswer, true},
		"no offset":   {text(200, `{"time-ms":1}`), BadAnswer, true},
		"too large":   {text(200, string(bytes.Repeat([]byte("x"), 1001))), BadAnswer, true},
		"500":         {text(500, ""), Refused, true},
		"502":         {text(502, ""), Refused, true},
		"400":         {text(400, ""), Refused, false},
		"redirect":    {text(307, ""), Refused, true},
		"broken body": {func(w http.ResponseWriter) { w.Header().Set("Content-Length", "9"); w.Write([]byte("{")) }, Unreachable, true},
	} {
		hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tc.answer(w) }))
		t.Cleanup(hs.Close)
		c := New(hs.URL, nil)
		c.MaxBytes = 1000
		_, _, err := c.Append(context.Background(), "control", []byte("a"))
		e := asError(t, err)
		must.Eq(t, tc.kind, e.Kind, must.Sprint(name))
		must.Eq(t, tc.ambiguous, e.Ambiguous, must.Sprint(name))
		_, err = c.Read(context.Background(), "control", 1, 10, 0)
		e = asError(t, err)
		must.Eq(t, tc.kind, e.Kind, must.Sprint(name))
		must.False(t, e.Ambiguous, must.Sprint(name))
	}
}

// FuzzPage guards against accepting a page whose records are not consecutive.
func FuzzPage(f *testing.F) {
	f.Add([]byte(`{"oldest":1,"end":3,"records":[{"offset":1,"time-ms":5,"data":"YQ=="},{"offset":2,"time-ms":6,"data":""}]}`), uint64(1), 10)
	f.Add([]byte(`{"oldest":4,"end":6,"records":[{"offset":4,"time-ms":5,"data":"YQ=="}]}`), uint64(1), 1)
	f.Add([]byte(`{"oldest":1,"end":3,"records":[{"offset":2,"time-ms":5,"data":"YQ=="}]}`), uint64(1), 10)
	f.Add([]byte(`{"oldest":7,"end":7,"records":[]}`), uint64(9), 10)
	f.Fuzz(func(t *testing.T, b []byte, from uint64, limit int) {
		p, err := decodePage(b, from, limit)
		if err != nil {
			return
		}
		must.True(t, p.Oldest >= 1 && p.Oldest <= p.End && len(p.Records) <= max(limit, 0))
		for i, r := range p.Records {
			must.Eq(t, max(from, p.Oldest)+uint64(i), r.Offset)
			must.Less(t, p.End, r.Offset)
		}
	})
}
