package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/retry"
)

// silence is longer than the time after which the relay considers another upstream.
const silence = 1200 * time.Millisecond

// pauseAfter writes events as streamEvents does, and pauses for silence after the
// given one; 0 means before the response begins.
func pauseAfter(last, event int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if event == 0 {
			time.Sleep(silence)
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("After"), &after)
		for i := after + 1; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			if i == event {
				_ = http.NewResponseController(w).Flush()
				time.Sleep(silence)
			}
		}
	}
}

// pauseFirst pauses for silence and then responds.
func pauseFirst(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(silence)
	respondOK(w, r)
}

// spendBudget takes all tokens of the retry budget, now and later.
func (f *fixture) spendBudget() { f.relay.budgets["s"] = retry.NewBudget(0, 0, 0) }

// TestPauseWithoutReplacement guards against closing the connection of a caller, or
// answering 502, because an upstream pauses and no other one takes the request over
// (incident LOST of issue 28).
func TestPauseWithoutReplacement(t *testing.T) {
	for _, c := range []struct {
		name         string
		route        fleet.Route
		first, other http.HandlerFunc
		spent        bool
		want         string
	}{
		{"within a stream, no retry token", route(fleet.Stream, 2, true), pauseAfter(3, 1), streamEvents(3, 0), true, wantEvents(3)},
		{"within a stream, the other upstream refuses", route(fleet.Stream, 2, true), pauseAfter(3, 1), respondNotRun, false, wantEvents(3)},
		{"within a stream, the other upstream breaks", route(fleet.Stream, 2, true), pauseAfter(3, 1), resetConnection, false, wantEvents(3)},
		{"before a stream, no retry token", route(fleet.Stream, 2, true), pauseAfter(3, 0), streamEvents(3, 0), true, wantEvents(3)},
		{"before a stream, the other upstream refuses", route(fleet.Stream, 2, true), pauseAfter(3, 0), respondNotRun, false, wantEvents(3)},
		{"before a safe response, no retry token", route(fleet.Safe, 2, false), pauseFirst, respondOK, true, "fine"},
		{"before a safe response, the other upstream breaks", route(fleet.Safe, 2, false), pauseFirst, resetConnection, false, "fine"},
		{"within a stream that can't be resumed", route(fleet.Stream, 2, false), pauseAfter(3, 1), streamEvents(3, 0), false, wantEvents(3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.route, c.first, c.other)
			if c.spent {
				f.spendBudget()
			}
			model, method := "", http.MethodGet
			if c.route.Kind == fleet.Stream {
				model, method = "m", http.MethodPost
			}
			code, body := f.send(method, "1", model)
			must.Eq(t, http.StatusOK, code)
			must.Eq(t, c.want, body)
			must.Eq(t, 1, f.requestCount(0))
		})
	}
}

// TestPauseOfManyRequests guards against requests that end without an answer because
// an upstream pauses that runs many of them, and the retry budget is all but spent.
func TestPauseOfManyRequests(t *testing.T) {
	const requests = 20
	f := newFixture(t, route(fleet.Stream, 2, true), pauseAfter(3, 1), streamEvents(3, 0), streamEvents(3, 0))
	f.relay.Configure((&fleet.Config{Version: 2, Routes: []fleet.Route{route(fleet.Stream, 2, true)}, Services: map[string]fleet.Service{
		"s": {Name: "s", Engine: &fleet.Engine{Slots: 2 * requests, Models: map[string]fleet.Model{"m": {Name: "m"}}}},
	}}).Index())
	f.relay.table.SetRemoteRunning(map[string]int{"u1": requests + 5, "u2": requests + 5}, 0)
	f.relay.budgets["s"] = retry.NewBudget(0, 0, 2)
	var whole atomic.Int32
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			if code, body := f.send(http.MethodPost, fmt.Sprint(i), "m"); code == http.StatusOK && body == wantEvents(3) {
				whole.Add(1)
			}
		})
	}
	wg.Wait()
	must.Eq(t, requests, int(whole.Load()))
}

// TestReplacementUnreachable guards against losing the last retry token to a
// replacement that the request did not reach, so that no other one is asked.
func TestReplacementUnreachable(t *testing.T) {
	f := newFixture(t, route(fleet.Safe, 2, false), neverRespond, respondOK, respondOK)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	f.ups[1].Address = l.Addr().String()
	f.relay.SetUpstreams(time.Now(), f.ups)
	f.relay.budgets["s"] = retry.NewBudget(0, 0, 1)
	code, _ := f.send(http.MethodGet, "1", "")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, 1, f.requestCount(2))
}

// TestNextReplacement guards against asking another upstream only after a further
// silence, once the caller has left, when the first replacement refuses.
func TestNextReplacement(t *testing.T) {
	const callerGap = 2 * time.Second
	r := route(fleet.Stream, 2, true)
	r.LatencyTarget = 500 * time.Millisecond
	f := newFixture(t, r, neverRespond, respondNotRun, streamEvents(3, 0))
	ctx, cancel := context.WithTimeout(context.Background(), callerGap)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL, nil)
	must.NoError(t, err)
	req.Header.Set("Id", "1")
	req.Header.Set("Model", "m")
	res, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, wantEvents(3), string(body))
}

// TestSlowHeadIsNoCrash guards against recording a crash of a replacement that the
// relay gives up because the head of its response is not complete in time.
func TestSlowHeadIsNoCrash(t *testing.T) {
	f := newFixture(t, route(fleet.Safe, 2, false), pauseFirst, func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		time.Sleep(silence)
		_ = c.Close()
	})
	// A complete response would clear the crash.
	r := route(fleet.Safe, 2, false)
	r.Timeout = silence - 200*time.Millisecond
	f.relay.Configure((&fleet.Config{Version: 2, Routes: []fleet.Route{r}, Services: map[string]fleet.Service{"s": {Name: "s"}}}).Index())
	f.send(http.MethodGet, "1", "")
	must.Eq(t, 1, f.requestCount(1))
	must.Eq(t, 0, f.relay.suspects.Suspects(time.Now()))
}

// flowUntil returns a handler of streams that sends an event every 20 ms until the
// channel is closed.
func flowUntil(stop <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; ; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
}

// beginStream sends a request and returns once its first event has arrived.
func (f *fixture) beginStream(id string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.front.URL, nil)
	must.NoError(f.t, err)
	req.Header.Set("Id", id)
	req.Header.Set("Model", "m")
	res, err := http.DefaultClient.Do(req)
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = res.Body.Close() })
	_, err = res.Body.Read(make([]byte, 1))
	must.NoError(f.t, err)
}

// TestSlowRequestEjectsNobody guards against ejecting an upstream that sends the events
// of other streams because one request waits for its first byte.
func TestSlowRequestEjectsNobody(t *testing.T) {
	stop := make(chan struct{})
	flow := flowUntil(stop)
	f := newFixture(t, route(fleet.Stream, 1, false), func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "slow" {
			pauseAfter(3, 0)(w, r)
			return
		}
		flow(w, r)
	})
	f.beginStream("flowing")
	answered := make(chan struct{})
	go func() {
		f.send(http.MethodPost, "slow", "m")
		close(answered)
	}()
	var ejected []string
	for waiting := true; waiting; {
		select {
		case <-answered:
			waiting = false
		case <-time.After(10 * time.Millisecond):
			ejected = append(ejected, f.relay.TakeDemand(time.Now()).Unreachable...)
		}
	}
	close(stop)
	must.SliceEmpty(t, ejected)
}

// TestAnswerEndsSilence guards against sending only one request at a time, until that
// has ended, to an upstream that goes on after a silence.
func TestAnswerEndsSilence(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	flow := flowUntil(stop)
	f := newFixture(t, route(fleet.Stream, 2, true), func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "silent" {
			neverRespond(w, r)
			return
		}
		flow(w, r)
	}, streamEvents(3, 0))
	code, _ := f.send(http.MethodPost, "silent", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, 1, f.requestCount(1))
	for len(f.relay.TakeDemand(time.Now()).Unreachable) > 0 {
		time.Sleep(time.Millisecond)
	}
	f.beginStream("1")
	f.beginStream("2")
	must.Eq(t, 1, f.requestCount(1))
}

// TestLateRefusal guards against breaking a stream off because its upstream pauses and
// the replacement refuses after the former has been given up.
func TestLateRefusal(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 2, true), pauseAfter(3, 1), func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(replacementWindow + 100*time.Millisecond)
		respondNotRun(w, r)
	})
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
}

// TestSlowReplacement guards against two upstreams that run one stream at a time, and
// against giving up a replacement because its first event takes long.
func TestSlowReplacement(t *testing.T) {
	var began, left atomic.Int64
	released := make(chan struct{})
	f := newFixture(t, route(fleet.Stream, 2, true), func(w http.ResponseWriter, r *http.Request) {
		// The server notices the end of the connection only after the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		left.Store(time.Now().UnixNano())
		close(released)
	}, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * replacementWindow)
		began.Store(time.Now().UnixNano())
		streamEvents(3, 0)(w, r)
	})
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
	<-released
	must.Less(t, 100*time.Millisecond, time.Duration(left.Load()-began.Load()))
	must.GreaterEq(t, 0, left.Load()-began.Load())
}

// TestSecondReplacement guards against waiting for a silent upstream and its silent
// replacement while another one could serve the stream.
func TestSecondReplacement(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 3, true), neverRespond, neverRespond, streamEvents(3, 0))
	sent := time.Now()
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
	must.Less(t, 2*minFirstByteTimeout+200*time.Millisecond, time.Since(sent))
	must.Eq(t, 1, f.requestCount(2))
}

// panicCodec panics on responses with the header Panic.
type panicCodec struct{ testCodec }

func (panicCodec) Classify(q *fleet.Request, res *http.Response) fleet.Verdict {
	if res.Header.Get("Panic") != "" {
		panic("classify")
	}
	return testCodec{}.Classify(q, res)
}

// TestPanicOfReplacement guards against a panic that ends the process with all of its
// requests, because it isn't in the goroutine of a request's handler.
func TestPanicOfReplacement(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 2, true), pauseAfter(3, 1), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Panic", "1")
	})
	f.relay.codec = panicCodec{}
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
}

// TestEmptyFramedStream guards against a stream without any event that reaches the caller as
// complete since its length is 0 or its last chunk is there (issue 65), and against waiting
// until the deadline for more of it.
func TestEmptyFramedStream(t *testing.T) {
	for _, length := range []string{"", "0"} {
		empty := func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_ = http.NewResponseController(w).Flush()
		}
		f := newFixture(t, route(fleet.Stream, 2, true), empty, streamEvents(3, 0))
		code, body := f.send(http.MethodPost, "1", "m")
		must.Eq(t, http.StatusOK, code)
		must.Eq(t, wantEvents(3), body)
		must.Eq(t, 1, f.requestCount(1))
		f = newFixture(t, route(fleet.Stream, 1, false), empty)
		code, body = f.send(http.MethodPost, "1", "m")
		must.Eq(t, http.StatusBadGateway, code)
		must.StrNotContains(t, body, "id:")
	}
}
