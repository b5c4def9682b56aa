package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/blame"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/rule/retry"
)

// testCodec is a Codec with the headers Id, Key, Model, Parts, After, Resumes and Not-Run.
type testCodec struct{}

func (testCodec) DecodeRequest(r *http.Request, _ int) (*fleet.Request, error) {
	b, err := io.ReadAll(r.Body)
	q := &fleet.Request{ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Host: r.Host, Path: r.URL.Path, Body: b, LastEventID: r.Header.Get("After"), Resumes: r.Header.Get("Resumes")}
	q.Model, q.Adapter, _ = strings.Cut(r.Header.Get("Model"), "/")
	if key := r.Header.Get("Key"); key != "" {
		k := fleet.HashKey(key)
		q.Key = &k
	}
	for _, id := range strings.Fields(r.Header.Get("Parts")) {
		q.Parts = append(q.Parts, fleet.Part{ID: id, Tokens: 1})
	}
	return q, err
}

func (testCodec) EncodeRequest(q *fleet.Request, s fleet.Attempt) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\nId: %s\r\nAfter: %s\r\nLeft: %d\r\nContent-Length: %d\r\n\r\n%s",
		q.Method, q.Target, q.ID, s.LastEventID, s.TimeLeft.Milliseconds(), len(q.Body), q.Body)
}

func (testCodec) Classify(q *fleet.Request, res *http.Response) fleet.Verdict {
	switch {
	case res.StatusCode == http.StatusMisdirectedRequest:
		return fleet.Misplaced
	case res.Header.Get("Not-Run") != "":
		return fleet.NotRun
	case res.Header.Get("Id") != "" && res.Header.Get("Id") != q.ID:
		return fleet.Foreign
	}
	return fleet.Answered
}

func (testCodec) Notice(res *http.Response) (n fleet.Notice) {
	perSecond, err := strconv.ParseFloat(res.Header.Get("Limit"), 64)
	if err == nil {
		n.Limited, n.PerSecond = true, perSecond
	}
	if pause, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		n.Pause = time.Duration(pause * float64(time.Second))
	}
	n.Leaving = res.Header.Get("Leaving") != ""
	return n
}

func (testCodec) EncodeReportRequest(up fleet.Upstream) []byte {
	return []byte("GET /report HTTP/1.1\r\nHost: " + up.Address + "\r\n\r\n")
}

func (testCodec) DecodeBorn(_ *http.Response, body []byte) (int64, error) {
	return strconv.ParseInt(string(body), 10, 64)
}

func (testCodec) CopyHeader(dst, src http.Header) { dst.Set("Content-Type", src.Get("Content-Type")) }

func (testCodec) Refuse(w http.ResponseWriter, _ string, status int, reason string, retryAfter time.Duration) {
	w.Header().Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	http.Error(w, reason, status)
}

// testOrigins is an Origins whose reads of the log add what found returns.
type testOrigins struct {
	table *origin.Table
	found func() []origin.Stream
}

// newTestOrigins returns an Origins of a daemon whose holder doesn't announce versions.
func newTestOrigins() *testOrigins {
	o := &testOrigins{table: origin.New(time.Second)}
	o.table.Hold(time.Now(), time.Now(), origin.Revision{Fence: 1}, &origin.State{})
	return o
}

func (o *testOrigins) Table() *origin.Table { return o.table }

func (o *testOrigins) Lookup(_ context.Context, _ uint64, known func() bool) error {
	for range 3 {
		if o.found != nil {
			o.table.Read(time.Now(), o.found(), nil)
		}
		if known() {
			break
		}
	}
	return nil
}

// fixture is a Relay with upstreams.
type fixture struct {
	t       *testing.T
	relay   *Relay
	front   *httptest.Server
	ups     []fleet.Upstream
	origins *testOrigins
	// requests counts the requests that each upstream received.
	requests []*atomic.Int32
}

// route returns a route of the given kind to the service "s".
func route(kind fleet.Kind, attempts int, resumable bool) fleet.Route {
	return fleet.Route{
		Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: kind, Timeout: 5 * time.Second, LatencyTarget: 50 * time.Millisecond,
		MaxEventGap: 50 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable, Targets: []fleet.Target{{Service: "s", Weight: 1}},
	}
}

// newFixture returns a Relay with one route, and an upstream for each handler.
func newFixture(t *testing.T, r fleet.Route, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{t: t, origins: newTestOrigins()}
	set := Settings{FailureDomain: "d", RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100}
	pool := http1.New(http1.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerUpstream: 4}, time.Now)
	crashes := poison.New(poison.Settings{}, 1)
	f.relay = New(set, testCodec{}, pool, crashes, blame.New(crashes), f.origins, metric.New(prometheus.NewRegistry()), rand.New(rand.NewPCG(1, 2)), time.Now)
	cfg := &fleet.Config{Version: 1, Routes: []fleet.Route{r}, Services: map[string]fleet.Service{"s": {Name: "s"}}}
	if r.Kind == fleet.Stream {
		cfg.Services["s"] = fleet.Service{Name: "s", Engine: &fleet.Engine{Slots: 4, Models: map[string]fleet.Model{"m": {Name: "m", Adapters: []string{"a1"}}}}}
	}
	f.relay.Configure(cfg.Index())
	// The retry budget of a daemon that has run for a while.
	f.relay.budgets["s"] = retry.NewBudget(set.RetryRatio, 1, set.RetrySlack/2)
	for i, h := range handlers {
		n := new(atomic.Int32)
		f.requests = append(f.requests, n)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n.Add(1)
			h(w, r)
		}))
		t.Cleanup(s.Close)
		u := fleet.Upstream{ID: fmt.Sprintf("u%d", i), Born: 1, Service: "s", FailureDomain: "d", Slots: 4, Address: s.Listener.Addr().String()}
		// The first upstream is preferred, being in the relay's failure domain.
		if i > 0 {
			u.FailureDomain = "other"
		}
		u.Holding.Models = []fleet.LoadedModel{{Model: "m", Adapters: []string{"a1"}}}
		f.ups = append(f.ups, u)
	}
	f.relay.SetUpstreams(time.Now(), f.ups)
	// Load differences far above the random margin make the choice
	// deterministic.
	f.relay.table.SetRemoteRunning(map[string]int{"u1": 2, "u2": 3}, 0)
	f.front = httptest.NewServer(f.relay)
	t.Cleanup(f.front.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.relay.Run(ctx) }()
	return f
}

// send sends a request and returns the status and body. The status is 0 if the
// response failed or was truncated.
func (f *fixture) send(method, id, model string) (int, string) {
	f.t.Helper()
	return f.sendParts(method, id, model, "")
}

// sendParts is send with the IDs of the parts of the prompt.
func (f *fixture) sendParts(method, id, model, parts string) (int, string) {
	f.t.Helper()
	req, err := http.NewRequest(method, f.front.URL+"/x?y=1", bytes.NewReader([]byte("body of "+id)))
	must.NoError(f.t, err)
	req.Header.Set("Id", id)
	req.Header.Set("Model", model)
	req.Header.Set("Parts", parts)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, string(body)
	}
	return res.StatusCode, string(body)
}

func (f *fixture) requestCount(i int) int { return int(f.requests[i].Load()) }

func respondOK(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "fine")
}

func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// neverRespond blocks until the caller disconnects. A server notices that only
// once it has read the body.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// resetConnection resets the connection without a response.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// streamEvents writes the events from the one after the header After up to last.
// It aborts the connection after event abortAfter and a part of the next one; 0
// means never.
func streamEvents(last, abortAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("After"), &after)
		for i := after + 1; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			if i == abortAfter {
				_, _ = fmt.Fprintf(w, "id: %d\nda", i+1)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// wantEvents returns the events from 1 to last.
func wantEvents(last int) string {
	var sb strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&sb, "id: %d\ndata: e%d\n\n", i, i)
	}
	return sb.String()
}

// TestUnsafeRunsOnce guards against running a non-idempotent request twice. When
// the connection is reset it may have run, so it must not be retried and the
// status must not be 503.
func TestUnsafeRunsOnce(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 3, false), resetConnection, respondOK)
	code, _ := f.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusBadGateway, code)
	must.Eq(t, 1, f.requestCount(0))
	must.Eq(t, 0, f.requestCount(1))
}

// TestUnsafeRetriedIfNotRun guards against refusing a non-idempotent request that
// another upstream can run, when the first one states that it did not.
func TestUnsafeRetriedIfNotRun(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 1, false), respondNotRun, respondOK)
	code, body := f.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, "fine", body)
}

// TestUnavailableMeansNotRun guards against status 503 for a request that may
// have run.
func TestUnavailableMeansNotRun(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 3, false), respondNotRun, respondNotRun)
	code, _ := f.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusServiceUnavailable, code)
	f = newFixture(t, route(fleet.Unsafe, 3, false), respondNotRun, resetConnection)
	code, _ = f.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusBadGateway, code)
}

// TestSafeIsRetried guards against failing a safe request that another upstream
// would have served, and against hiding the upstream's error response if the
// retry fails as well.
func TestSafeIsRetried(t *testing.T) {
	fail := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	}
	f := newFixture(t, route(fleet.Safe, 2, false), resetConnection, respondOK)
	code, _ := f.send(http.MethodGet, "1", "")
	must.Eq(t, http.StatusOK, code)
	f = newFixture(t, route(fleet.Safe, 2, false), fail, respondOK)
	code, _ = f.send(http.MethodGet, "1", "")
	must.Eq(t, http.StatusOK, code)
	f = newFixture(t, route(fleet.Safe, 2, false), fail, fail)
	code, body := f.send(http.MethodGet, "1", "")
	must.Eq(t, http.StatusInternalServerError, code)
	must.Eq(t, "broken", body)
}

// TestForeignResponse guards against forwarding a response that belongs to
// another request.
func TestForeignResponse(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 1, false), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "other")
		_, _ = io.WriteString(w, "not yours")
	})
	code, body := f.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusBadGateway, code)
	must.StrNotContains(t, body, "not yours")
}

// TestTruncatedResponse guards against forwarding a truncated response as if it
// were complete.
func TestTruncatedResponse(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 1, false), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	})
	code, _ := f.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusBadGateway, code)
}

// TestStreamResumes guards against a missing or duplicate event when a resumable
// stream is interrupted within an event.
func TestStreamResumes(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 2, true), streamEvents(5, 2), streamEvents(5, 0))
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(5), body)
}

// TestStreamNotResumable guards against an interrupted stream that looks
// complete, or is resumed, on a route that does not allow resumption.
func TestStreamNotResumable(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 2, false), streamEvents(5, 2), streamEvents(5, 0))
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, 0, code)
	must.Eq(t, wantEvents(2), body)
	must.Eq(t, 0, f.requestCount(1))
}

// TestSilentUpstream guards against waiting for an upstream that stops responding
// without a reset of the connection: a resumable stream must fail over.
func TestSilentUpstream(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 2, true), neverRespond, streamEvents(3, 0))
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
}

// TestTimeout guards against a request that is held past its route's timeout.
func TestTimeout(t *testing.T) {
	r := route(fleet.Unsafe, 1, false)
	r.Timeout = 200 * time.Millisecond
	f := newFixture(t, r, neverRespond)
	code, _ := f.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusGatewayTimeout, code)
}

// TestCallerDisconnects guards against an upstream that keeps running a request
// whose caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	f := newFixture(t, route(fleet.Unsafe, 1, false), func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		neverRespond(nil, r)
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.front.URL, nil)
	must.NoError(t, err)
	go func() {
		<-began
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	must.Error(t, err)
	<-ended
}

// TestReleasedConnection guards against resetting a request because the caller leaves
// whose response was read from the same connection before.
func TestReleasedConnection(t *testing.T) {
	const largeBytes = 15 << 20
	var connection atomic.Value
	reused, proceed := make(chan struct{}), make(chan struct{})
	f := newFixture(t, route(fleet.Safe, 1, false), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		switch r.Header.Get("Id") {
		case "large":
			connection.Store(r.RemoteAddr)
			w.Header().Set("Content-Length", strconv.Itoa(largeBytes))
			_, _ = w.Write(make([]byte, largeBytes))
			return
		case "last":
			must.Eq(t, connection.Load().(string), r.RemoteAddr)
			close(reused)
			<-proceed
		default:
			if connection.Load() != r.RemoteAddr {
				// Not kept, so that the next one doesn't use it.
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, "other")
				return
			}
		}
		_, _ = io.WriteString(w, "reused")
	})
	caller, err := net.Dial("tcp4", f.front.Listener.Addr().String())
	must.NoError(t, err)
	// The caller doesn't read its response.
	_, err = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: large\r\n\r\n")
	must.NoError(t, err)
	for body := ""; body != "reused"; {
		_, body = f.send(http.MethodGet, "probe", "")
	}
	go func() {
		<-reused
		must.NoError(t, caller.(*net.TCPConn).SetLinger(0))
		must.NoError(t, caller.Close())
		for f.relay.active("u0") > 1 {
			time.Sleep(time.Millisecond)
		}
		close(proceed)
	}()
	code, _ := f.send(http.MethodGet, "last", "")
	must.Eq(t, http.StatusOK, code)
}

// active returns the number of requests in progress on an upstream.
func (r *Relay) active(id string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := map[string]map[fleet.Key]int{}
	r.table.Running(running)
	for _, k := range running[id] {
		n += k
	}
	return n
}

// TestWaitsForModel guards against refusing the first request for a model that is
// not loaded: it must be queued and served once the holder reports the model as
// loaded.
func TestWaitsForModel(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 1, false), streamEvents(2, 0))
	f.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{Copies: []fleet.Inventory{{ID: "u0", Born: 1, Rev: 1}}})
	go func() {
		for !f.relay.HasWaiting() {
			time.Sleep(time.Millisecond)
		}
		d := f.relay.TakeDemand(time.Now())
		must.Eq(t, 1, d.Waiting[fleet.Key{Service: "s", Model: "m"}])
		f.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{Copies: []fleet.Inventory{{ID: "u0", Born: 1, Rev: 2, Held: []fleet.LoadedModel{{Model: "m"}}}}})
	}()
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(2), body)
}

// TestModelTooLate guards against queueing a request whose model will be loaded
// only after its deadline: it must be refused at once.
func TestModelTooLate(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 1, false), streamEvents(2, 0))
	f.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{
		Copies: []fleet.Inventory{{ID: "u0", Born: 1, Rev: 1}},
		Coming: []fleet.PendingLoad{{Key: fleet.Key{Service: "s", Model: "m"}, In: time.Hour}},
	})
	began := time.Now()
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.StrContains(t, body, "model-too-late")
	must.Less(t, 5*time.Second, time.Since(began))
	code, body = f.send(http.MethodPost, "1", "unknown")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.StrContains(t, body, "unknown-model")
}

// TestStopRefusesQueued guards against requests that get no response because they
// are queued on a daemon that is stopped (LOST on figtray-coop fresh-b2c1).
func TestStopRefusesQueued(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 1, false), streamEvents(2, 0))
	f.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{Copies: []fleet.Inventory{{ID: "u0", Born: 1, Rev: 1}}})
	go func() {
		for !f.relay.HasWaiting() {
			time.Sleep(time.Millisecond)
		}
		f.relay.Stop(time.Now())
	}()
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.StrContains(t, body, "stopping")
	code, _ = f.send(http.MethodPost, "2", "m")
	must.Eq(t, http.StatusServiceUnavailable, code)
}

// TestStopKeepsInterruptedStream guards against breaking a stream off that waits for
// another upstream to resume it, when the daemon is stopped.
func TestStopKeepsInterruptedStream(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 2, true), streamEvents(5, 2), streamEvents(5, 0))
	f.relay.mu.Lock()
	f.relay.table.SetRemoteRunning(map[string]int{"u1": 4}, 0)
	f.relay.mu.Unlock()
	go func() {
		for !f.relay.HasWaiting() {
			time.Sleep(time.Millisecond)
		}
		f.relay.Stop(time.Now())
		time.Sleep(100 * time.Millisecond)
		f.relay.mu.Lock()
		defer f.relay.mu.Unlock()
		f.relay.table.SetRemoteRunning(nil, 0)
	}()
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(5), body)
}

// TestErrorResponseIsKept guards against azurespan's own refusal instead of the error
// response of an upstream, when the retry brings no response.
func TestErrorResponseIsKept(t *testing.T) {
	fail := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	}
	for name, other := range map[string]http.HandlerFunc{"reset": resetConnection, "not run": respondNotRun} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route(fleet.Safe, 2, false), fail, other)
			code, body := f.send(http.MethodGet, "1", "")
			must.Eq(t, http.StatusInternalServerError, code)
			must.Eq(t, "broken", body)
		})
	}
}
