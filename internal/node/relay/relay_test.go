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
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// plain is a Wire with headers of its own: Id, Model, After and Not-Run.
type plain struct{}

func (plain) DecodeRequest(r *http.Request, _ int) (*fleet.Request, error) {
	b, err := io.ReadAll(r.Body)
	q := &fleet.Request{ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Host: r.Host, Path: r.URL.Path, Body: b, LastEventID: r.Header.Get("After")}
	q.Model, q.Adapter, _ = strings.Cut(r.Header.Get("Model"), "/")
	return q, err
}

func (plain) EncodeRequest(q *fleet.Request, s fleet.Attempt) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\nId: %s\r\nAfter: %s\r\nLeft: %d\r\nContent-Length: %d\r\n\r\n%s",
		q.Method, q.Target, q.ID, s.LastEventID, s.TimeLeft.Milliseconds(), len(q.Body), q.Body)
}

func (plain) Classify(q *fleet.Request, res *http.Response) fleet.Verdict {
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

func (plain) CopyHeader(dst, src http.Header) { dst.Set("Content-Type", src.Get("Content-Type")) }

func (plain) Refuse(w http.ResponseWriter, _ string, status int, reason string, retryAfter time.Duration) {
	w.Header().Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	http.Error(w, reason, status)
}

// bed is a Relay with upstreams behind it.
type bed struct {
	t     *testing.T
	relay *Relay
	front *httptest.Server
	ups   []fleet.Upstream
	// runs counts the requests that each upstream got.
	runs []*atomic.Int32
}

// route returns a route of the given kind to the service "s".
func route(kind fleet.Kind, attempts int, resumable bool) fleet.Route {
	return fleet.Route{
		Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: kind, Timeout: 5 * time.Second, LatencyTarget: 50 * time.Millisecond,
		MaxEventGap: 50 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable, Targets: []fleet.Target{{Service: "s", Weight: 1}},
	}
}

// newBed returns a Relay with one route, and an upstream for each handler.
func newBed(t *testing.T, r fleet.Route, handlers ...http.HandlerFunc) *bed {
	t.Helper()
	b := &bed{t: t}
	set := Settings{FailureDomain: "d", RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100}
	pool := http1.New(http1.Settings{Dial: time.Second, Idle: time.Minute, PerUpstream: 4}, time.Now)
	b.relay = New(set, plain{}, pool, metric.New(prometheus.NewRegistry()), rand.New(rand.NewPCG(1, 2)), time.Now)
	cfg := &fleet.Config{Version: 1, Routes: []fleet.Route{r}, Services: map[string]fleet.Service{"s": {Name: "s"}}}
	if r.Kind == fleet.Stream {
		cfg.Services["s"] = fleet.Service{Name: "s", Engine: &fleet.Engine{Slots: 4, Models: map[string]fleet.Model{"m": {Name: "m"}}}}
	}
	b.relay.Configure(cfg.Index())
	for i, h := range handlers {
		n := new(atomic.Int32)
		b.runs = append(b.runs, n)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n.Add(1)
			h(w, r)
		}))
		t.Cleanup(s.Close)
		u := fleet.Upstream{ID: fmt.Sprintf("u%d", i), Born: 1, Service: "s", FailureDomain: "d", Slots: 4, Address: s.Listener.Addr().String()}
		// The first one is preferred by its failure domain.
		if i > 0 {
			u.FailureDomain = "other"
		}
		u.Holding.Models = []fleet.LoadedModel{{Model: "m", Adapters: []string{"a1"}}}
		b.ups = append(b.ups, u)
	}
	b.relay.SetUpstreams(time.Now(), b.ups)
	// A cost far above the jitter keeps the order of the choices certain.
	b.relay.table.SetRemoteRunning(map[string]int{"u1": 2, "u2": 3})
	b.front = httptest.NewServer(b.relay)
	t.Cleanup(b.front.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = b.relay.Run(ctx) }()
	return b
}

// send sends a request and returns the status and body; status 0 is a broken
// answer.
func (b *bed) send(method, id, model string) (int, string) {
	b.t.Helper()
	req, err := http.NewRequest(method, b.front.URL+"/x?y=1", bytes.NewReader([]byte("body of "+id)))
	must.NoError(b.t, err)
	req.Header.Set("Id", id)
	req.Header.Set("Model", model)
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

func (b *bed) ran(i int) int { return int(b.runs[i].Load()) }

func good(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "fine")
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// silent never answers. A server notices that its caller has left only once it
// has read the body.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// crash breaks the connection off without an answer.
func crash(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// events writes the events from after+1 to last, and breaks off after the event
// numbered cut and a part of the next one.
func events(last, cut int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("After"), &after)
		for i := after + 1; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			if i == cut {
				_, _ = fmt.Fprintf(w, "id: %d\nda", i+1)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

func want(last int) string {
	var sb strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&sb, "id: %d\ndata: e%d\n\n", i, i)
	}
	return sb.String()
}

// TestUnsafeRunsOnce guards against a booking that runs twice: after a
// connection that broke off it may have run, so the caller is told nothing else
// and it goes nowhere.
func TestUnsafeRunsOnce(t *testing.T) {
	b := newBed(t, route(fleet.Unsafe, 3, false), crash, good)
	code, _ := b.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusBadGateway, code)
	must.Eq(t, 1, b.ran(0))
	must.Eq(t, 0, b.ran(1))
}

// TestUnsafeGoesElsewhereIfNotRun guards against refusing what another upstream
// could run, when the first one states that it didn't.
func TestUnsafeGoesElsewhereIfNotRun(t *testing.T) {
	b := newBed(t, route(fleet.Unsafe, 1, false), notRun, good)
	code, body := b.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, "fine", body)
}

// TestRefusalIsTrue guards against status 503 for a request that may have run.
func TestRefusalIsTrue(t *testing.T) {
	b := newBed(t, route(fleet.Unsafe, 3, false), notRun, notRun)
	code, _ := b.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusServiceUnavailable, code)
	b = newBed(t, route(fleet.Unsafe, 3, false), notRun, crash)
	code, _ = b.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusBadGateway, code)
}

// TestSafeIsRepeated guards against a failure that another upstream would have
// prevented, and against hiding the upstream's own failure if none does better.
func TestSafeIsRepeated(t *testing.T) {
	fail := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	}
	b := newBed(t, route(fleet.Safe, 2, false), crash, good)
	code, _ := b.send(http.MethodGet, "1", "")
	must.Eq(t, http.StatusOK, code)
	b = newBed(t, route(fleet.Safe, 2, false), fail, good)
	code, _ = b.send(http.MethodGet, "1", "")
	must.Eq(t, http.StatusOK, code)
	b = newBed(t, route(fleet.Safe, 2, false), fail, fail)
	code, body := b.send(http.MethodGet, "1", "")
	must.Eq(t, http.StatusInternalServerError, code)
	must.Eq(t, "broken", body)
}

// TestForeignAnswer guards against an answer that belongs to another request.
func TestForeignAnswer(t *testing.T) {
	b := newBed(t, route(fleet.Unsafe, 1, false), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "other")
		_, _ = io.WriteString(w, "not yours")
	})
	code, body := b.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusBadGateway, code)
	must.StrNotContains(t, body, "not yours")
}

// TestTruncatedAnswer guards against an answer that ends early and looks whole.
func TestTruncatedAnswer(t *testing.T) {
	b := newBed(t, route(fleet.Unsafe, 1, false), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	})
	code, _ := b.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusBadGateway, code)
}

// TestStreamGoesOn guards against an event that is missing or comes twice when a
// resumable stream breaks within an event.
func TestStreamGoesOn(t *testing.T) {
	b := newBed(t, route(fleet.Stream, 2, true), events(5, 2), events(5, 0))
	code, body := b.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, want(5), body)
}

// TestStreamBreaks guards against a broken stream that looks complete, where it
// may not be resumed.
func TestStreamBreaks(t *testing.T) {
	b := newBed(t, route(fleet.Stream, 2, false), events(5, 2), events(5, 0))
	code, body := b.send(http.MethodPost, "1", "m")
	must.Eq(t, 0, code)
	must.Eq(t, want(2), body)
	must.Eq(t, 0, b.ran(1))
}

// TestSilentUpstream answers a connection that goes silent for good without a
// reset: a stream that may be resumed goes elsewhere.
func TestSilentUpstream(t *testing.T) {
	b := newBed(t, route(fleet.Stream, 2, true), silent, events(3, 0))
	code, body := b.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, want(3), body)
}

// TestTimeout guards against a request that is held past its route's time.
func TestTimeout(t *testing.T) {
	r := route(fleet.Unsafe, 1, false)
	r.Timeout = 200 * time.Millisecond
	b := newBed(t, r, silent)
	code, _ := b.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusGatewayTimeout, code)
}

// TestCallerLeaves guards against an upstream that works on after its caller has
// left.
func TestCallerLeaves(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	b := newBed(t, route(fleet.Unsafe, 1, false), func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		silent(nil, r)
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.front.URL, nil)
	must.NoError(t, err)
	go func() {
		<-began
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	must.Error(t, err)
	<-ended
}

// TestWaitsForModel answers the first request for a model that isn't loaded: it
// waits and is served as soon as the holder says that a copy is there.
func TestWaitsForModel(t *testing.T) {
	b := newBed(t, route(fleet.Stream, 1, false), events(2, 0))
	b.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{Copies: []fleet.Inventory{{ID: "u0", Born: 1, Rev: 1}}})
	go func() {
		for !b.relay.HasWaiting() {
			time.Sleep(time.Millisecond)
		}
		d, _, _ := b.relay.TakeDemand(time.Now())
		must.Eq(t, 1, d.Waiting[fleet.Key{Service: "s", Model: "m"}])
		b.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{Copies: []fleet.Inventory{{ID: "u0", Born: 1, Rev: 2, Held: []fleet.LoadedModel{{Model: "m"}}}}})
	}()
	code, body := b.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, want(2), body)
}

// TestHopelessIsRefusedAtOnce answers a request whose model comes after its
// deadline: it isn't held until then, and is told when to come back.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	b := newBed(t, route(fleet.Stream, 1, false), events(2, 0))
	b.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{
		Copies: []fleet.Inventory{{ID: "u0", Born: 1, Rev: 1}},
		Coming: []fleet.PendingLoad{{Key: fleet.Key{Service: "s", Model: "m"}, In: time.Hour}},
	})
	began := time.Now()
	code, body := b.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.StrContains(t, body, "model-too-late")
	must.Less(t, 5*time.Second, time.Since(began))
	code, body = b.send(http.MethodPost, "1", "unknown")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.StrContains(t, body, "unknown-model")
}

// TestStopRefusesWhatWaits answers LOST on figtray-coop fresh-b2c1: requests
// that waited at a daemon that was stopped got no answer.
func TestStopRefusesWhatWaits(t *testing.T) {
	b := newBed(t, route(fleet.Stream, 1, false), events(2, 0))
	b.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{Copies: []fleet.Inventory{{ID: "u0", Born: 1, Rev: 1}}})
	go func() {
		for !b.relay.HasWaiting() {
			time.Sleep(time.Millisecond)
		}
		b.relay.Stop()
	}()
	code, body := b.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.StrContains(t, body, "stopping")
	code, _ = b.send(http.MethodPost, "2", "m")
	must.Eq(t, http.StatusServiceUnavailable, code)
}

// TestCrashingRequest answers a request that crashes each upstream that runs it
// and comes again: it is refused from the third crash on, while others are
// served.
func TestCrashingRequest(t *testing.T) {
	bad := func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if strings.Contains(string(b), "bad") {
			crash(w, r)
			return
		}
		good(w, r)
	}
	b := newBed(t, route(fleet.Unsafe, 1, false), bad, bad, bad, bad)
	for range 8 {
		b.send(http.MethodPost, "bad", "")
		// All are back as new incarnations.
		for i := range b.ups {
			b.ups[i].Born++
		}
		b.relay.SetUpstreams(time.Now(), b.ups)
	}
	total := 0
	for i := range b.runs {
		total += b.ran(i)
	}
	must.LessEq(t, crashLimit, total)
	code, body := b.send(http.MethodPost, "bad", "")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.StrContains(t, body, "quarantined")
	code, _ = b.send(http.MethodPost, "innocent", "")
	must.Eq(t, http.StatusOK, code)
}

// TestFewerDaemons guards against budgets that grow in a cut, while the daemons
// on the other side still use their parts.
func TestFewerDaemons(t *testing.T) {
	b := newBed(t, route(fleet.Safe, 2, false), good)
	now := time.Now()
	hear := func(after time.Duration, n int) {
		b.relay.ApplyWatchReply(now.Add(after), &hub.WatchReply{Running: map[string]int{}, Daemons: n})
	}
	hear(0, 4)
	must.Eq(t, 4, b.relay.daemons)
	hear(time.Second, 2)
	must.Eq(t, 4, b.relay.daemons)
	hear(2*time.Second, 6)
	must.Eq(t, 6, b.relay.daemons)
	hear(3*time.Second, 2)
	hear(2*time.Second+fewerAfter, 2)
	must.Eq(t, 2, b.relay.daemons)
}

// TestRetryBudget answers an overload in which all upstreams shed: repeated
// sends stay within this daemon's part of the budget.
func TestRetryBudget(t *testing.T) {
	b := newBed(t, route(fleet.Safe, 2, false), notRun, notRun, notRun, notRun)
	b.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{Running: map[string]int{}, Daemons: 10})
	var wg sync.WaitGroup
	const n = 60
	for i := range n {
		wg.Go(func() { b.send(http.MethodGet, fmt.Sprint(i), "") })
	}
	wg.Wait()
	total := 0
	for i := range b.runs {
		total += b.ran(i)
	}
	// 0.2 of the requests and a tenth of the slack.
	must.LessEq(t, n+n/5+10, total)
	must.Greater(t, n, total)
}
