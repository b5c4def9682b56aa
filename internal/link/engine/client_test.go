package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/standin/engine/engsv"
)

const upstream = "u1"

// fixture is an engine with model m@1 loaded, and a client of it.
type fixture struct {
	*testing.T
	server *engsv.Server
	client *Client
	ctx    context.Context
}

func newFixture(t *testing.T, cfg engsv.Config) *fixture {
	t.Helper()
	cfg.MemoryBytes = 100
	s, err := engsv.Start("", cfg)
	must.NoError(t, err)
	t.Cleanup(s.Kill)
	f := &fixture{t, s, New(nil), context.Background()}
	must.NoError(t, f.order(Order{ID: "1", Fencing: 5, Kind: Load, Model: "m", Version: "1", MemoryBytes: 60, AdapterBytes: 20}))
	return f
}

func (f *fixture) order(o Order) error { return f.client.Order(f.ctx, f.server.Address(), o) }

func (f *fixture) report() Report {
	r, err := f.client.Report(f.ctx, f.server.Address())
	must.NoError(f, err)
	return r
}

// waitFor waits until the engine's report satisfies cond.
func (f *fixture) waitFor(cond func(Report) bool) {
	f.Helper()
	must.Wait(f, wait.InitialSuccess(wait.BoolFunc(func() bool { return cond(f.report()) }), wait.Timeout(30*time.Second), wait.Gap(time.Millisecond)))
}

func request(id string) calls.Request {
	return calls.Request{
		ID: id, Model: "m", Version: "1", Class: declare.Urgent, PromptPrefixHash: 7,
		Body: json.RawMessage(`{"model":"x","Version":"9","messages":[{"role":"user","content":"Which rack for ` + id + `?"}]}`),
	}
}

// endless returns a request that runs until it is cancelled.
func endless(id string, class declare.Class) calls.Request {
	r := request(id)
	r.Class = class
	r.Body = json.RawMessage(`{"max_tokens":100000,"ignore_eos":true,"messages":[{"role":"user","content":"` + id + `"}]}`)
	return r
}

func (f *fixture) open(r calls.Request) calls.Stream {
	f.Helper()
	st, err := f.client.Open(f.ctx, upstream, f.server.Address(), r)
	must.NoError(f, err)
	f.Cleanup(func() { st.Close() })
	return st
}

// readAll reads a stream to its end and returns its text, the index of the next
// token, and the error, nil after a complete answer.
func (f *fixture) readAll(st calls.Stream, from int64) (string, int64, error) {
	var text strings.Builder
	finish := ""
	for {
		tok, err := st.Next(f.ctx)
		if errors.Is(err, io.EOF) {
			must.NotEq(f, "", finish)
			return text.String(), from, nil
		}
		if err != nil {
			return text.String(), from, err
		}
		must.Eq(f, from, tok.Index)
		text.WriteString(tok.Text)
		from, finish = from+1, tok.Finish
	}
}

func expect(t testing.TB, r calls.Request) *engsv.Completion {
	x, err := engsv.ExpectedCompletion(r.Model, r.Version, r.Adapter, r.Body)
	must.NoError(t, err)
	return x
}

func kindOf(t testing.TB, err error) Kind {
	t.Helper()
	var e *Error
	must.True(t, errors.As(err, &e), must.Sprintf("%v", err))
	return e.Kind
}

// TestOrders guards against an order that is executed although its fencing
// number or sequence is stale or the memory is insufficient.
func TestOrders(t *testing.T) {
	f := newFixture(t, engsv.Config{})
	load := Order{Kind: Load, Model: "n", Version: "1", MemoryBytes: 40}
	adapter := Order{Kind: LoadAdapter, Model: "m", Version: "1", Adapter: "a", MemoryBytes: 20}
	for i, s := range []struct {
		o       Order
		fencing uint64
		seq     uint64
		memory  int64
		want    Kind
	}{
		{load, 4, 9, 40, StaleFencing},
		{load, 5, 1, 41, NoMemory},
		{load, 5, 2, 40, ""},
		{load, 5, 1, 40, StaleSequence},
		{load, 6, 1, 40, ""},
		{load, 5, 3, 40, StaleFencing},
		{adapter, 6, 2, 20, ""},
		{Order{Kind: LoadAdapter, Model: "m", Version: "1", Adapter: "b"}, 6, 3, 1, NoMemory},
		{Order{Kind: LoadAdapter, Model: "x", Version: "1", Adapter: "b"}, 6, 3, 1, NotLoaded},
		{Order{Kind: UnloadAdapter, Model: "m", Version: "1", Adapter: "a"}, 6, 4, 0, ""},
		{Order{Kind: Unload, Model: "n", Version: "1"}, 6, 5, 0, ""},
		{Order{Kind: SetRole, Role: "prefill"}, 6, 6, 0, ""},
		{Order{Kind: "dance"}, 6, 7, 0, BadRequest},
	} {
		s.o.ID, s.o.Fencing, s.o.Sequence, s.o.MemoryBytes = string(rune('a'+i)), s.fencing, s.seq, s.memory
		err := f.order(s.o)
		if s.want == "" {
			must.NoError(t, err, must.Sprintf("step %d", i))
			continue
		}
		must.Eq(t, s.want, kindOf(t, err), must.Sprintf("step %d", i))
		var e *Error
		must.True(t, errors.As(err, &e) && e.Reached && !e.MayHaveRun())
	}
	r := f.report()
	must.Eq(t, "prefill", r.Role)
	must.Eq(t, uint64(6), r.Fencing)
	must.Eq(t, []Replica{{Model: "m", Version: "1", State: Ready, MemoryBytes: 60, Adapters: []string{}}}, r.Replicas)
	must.Eq(t, Remote, r.Tier("q", "1"))
	must.Eq(t, InMemory, r.Tier("n", "1"))
	must.Eq(t, int64(100), f.server.Records().PeakBytes)
}

// TestLeaving guards against new work on an engine that is leaving, and against
// the interruption of streams that run there.
func TestLeaving(t *testing.T) {
	f := newFixture(t, engsv.Config{})
	r := request("before")
	st := f.open(r)
	f.server.SetFaults(engsv.Faults{Leaving: true})
	_, err := f.client.Open(f.ctx, upstream, f.server.Address(), request("after"))
	must.Eq(t, Leaving, kindOf(t, err))
	must.Eq(t, Leaving, kindOf(t, f.order(Order{ID: "2", Fencing: 5, Kind: Load, Model: "n", Version: "1"})))
	must.True(t, f.report().Leaving)
	text, _, err := f.readAll(st, 0)
	must.NoError(t, err)
	x := expect(t, r)
	must.Eq(t, x.Text(0, x.Tokens), text)
}

// TestDrain guards against an unload that interrupts running streams or admits
// new ones.
func TestDrain(t *testing.T) {
	f := newFixture(t, engsv.Config{})
	f.open(endless("long", declare.Urgent))
	f.waitFor(func(r Report) bool { return r.Running == 1 })
	unload := Order{ID: "2", Fencing: 5, Kind: Unload, Model: "m", Version: "1"}
	must.Eq(t, Busy, kindOf(t, f.order(unload)))
	unload.ID, unload.Drain = "3", true
	done := make(chan error, 1)
	go func() { done <- f.order(unload) }()
	f.waitFor(func(r Report) bool { return r.Replica("m", "1").State == Draining })
	_, err := f.client.Open(f.ctx, upstream, f.server.Address(), request("late"))
	must.Eq(t, NotLoaded, kindOf(t, err))
	must.NoError(t, f.client.Cancel(f.ctx, f.server.Address(), "long"))
	must.NoError(t, <-done)
	must.SliceEmpty(t, f.report().Replicas)
	must.NoError(t, f.client.Cancel(f.ctx, f.server.Address(), "never-seen"))
}

// TestLag guards against a stand-in without lag in its reports and cache events,
// with which callers would not be tested against old data, and against gaps in
// the cache events that go unnoticed.
func TestLag(t *testing.T) {
	f := newFixture(t, engsv.Config{ReportLag: time.Hour, CacheEventLag: time.Hour})
	must.SliceEmpty(t, f.report().Replicas)
	ev, err := f.client.CacheEvents(f.ctx, f.server.Address(), 0)
	must.NoError(t, err)
	must.SliceEmpty(t, ev.Events)
	f = newFixture(t, engsv.Config{CacheEventDropInterval: 2})
	_, _, err = f.readAll(f.open(request("r")), 0)
	must.NoError(t, err)
	// The events: stored in memory, stored on disk (lost), prefix stored.
	ev, err = f.client.CacheEvents(f.ctx, f.server.Address(), 0)
	must.NoError(t, err)
	must.Eq(t, uint64(4), ev.End)
	must.Eq(t, uint64(1), ev.Missed)
	must.Eq(t, "7", ev.Events[1].Prefix)
	must.Eq(t, InMemory, ev.Events[0].Tier)
}

// TestReached guards against reporting a request as not sent although the engine
// may have run it, and the reverse.
func TestReached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l.Close()
	_, err = New(nil).Open(context.Background(), upstream, l.Addr().String(), request("r"))
	var e *Error
	must.True(t, errors.As(err, &e))
	must.False(t, e.Reached || e.MayHaveRun())
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		kind    Kind
		ran     bool
	}{
		"drop":         {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Unreachable, true},
		"500":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, Refused, true},
		"503":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, Refused, true},
		"429":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) }, Refused, false},
		"not a stream": {func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("hello\n\n")) }, Truncated, true},
		"silent": {func(w http.ResponseWriter, r *http.Request) {
			// The server detects a disconnect only after it has read the body.
			io.Copy(io.Discard, r.Body)
			w.WriteHeader(200)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, Stalled, true},
		"a byte now and then":  {trickle("id: 0\ndata: {"), Stalled, true},
		"a line now and then":  {trickle("\n"), Stalled, true},
		"a field now and then": {trickle("retry: 1\n\n"), Stalled, true},
		"no answer": {func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, Unreachable, true},
	} {
		hs := httptest.NewServer(tc.handler)
		t.Cleanup(hs.Close)
		c := New(nil)
		switch name {
		case "no answer":
			c.Timeout = 50 * time.Millisecond
		case "silent", "a byte now and then", "a line now and then", "a field now and then":
			c.IdleTimeout = 50 * time.Millisecond
		}
		st, err := c.Open(context.Background(), upstream, hs.Listener.Addr().String(), request("r"))
		if err == nil {
			_, err = st.Next(context.Background())
			must.NoError(t, st.Close())
		}
		must.Eq(t, tc.kind, kindOf(t, err), must.Sprint(name))
		must.True(t, errors.As(err, &e))
		must.Eq(t, tc.ran, e.MayHaveRun(), must.Sprint(name))
	}
}

// trickle returns a handler that begins a stream and then sends part of an event, over and
// over, one byte each 5 ms.
func trickle(part string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnect only then
		w.WriteHeader(http.StatusOK)
		for i := 0; r.Context().Err() == nil; i++ {
			_, _ = w.Write([]byte{part[i%len(part)]}) // the caller may have left
			w.(http.Flusher).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// TestSlowSoundStream guards against a stream that is ended although its events, or the
// comments between them, come in time: each within the idle timeout, byte by byte.
func TestSlowSoundStream(t *testing.T) {
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // as above
		w.WriteHeader(http.StatusOK)
		answer := ": waits\n\n: still waits\n\n" +
			`id: 0` + "\n" + `data: {"id":"r","choices":[{"delta":{"content":"a"},"finish_reason":null}]}` + "\n\n" +
			`id: 1` + "\n" + `data: {"id":"r","choices":[{"delta":{"content":"b"},"finish_reason":"stop"}]}` + "\n\n"
		for _, b := range []byte(answer) {
			_, _ = w.Write([]byte{b}) // as above
			w.(http.Flusher).Flush()
			time.Sleep(3 * time.Millisecond)
		}
	}))
	defer hs.Close()
	c := New(nil)
	c.IdleTimeout = 600 * time.Millisecond
	st, err := c.Open(t.Context(), upstream, hs.Listener.Addr().String(), request("r"))
	must.NoError(t, err)
	for _, want := range []string{"a", "b"} {
		token, err := st.Next(t.Context())
		must.NoError(t, err)
		must.Eq(t, want, token.Text)
	}
	must.NoError(t, st.Close())
}

// TestSilentRefusal guards against a request that hangs past its deadline because the
// engine refuses it and falls silent within the body of the refusal.
func TestSilentRefusal(t *testing.T) {
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(http.StatusServiceUnavailable)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer hs.Close()
	defer hs.CloseClientConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := New(nil).Open(ctx, upstream, hs.Listener.Addr().String(), request("r"))
		failed <- err
	}()
	select {
	case err := <-failed:
		must.Eq(t, Refused, kindOf(t, err))
	case <-time.After(10 * time.Second):
		t.Fatal("the request hangs")
	}
}
