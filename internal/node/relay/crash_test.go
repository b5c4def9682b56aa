package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// crashLimit is the number of crashes from which the fixture's Relay refuses a
// request.
const crashLimit = 3

// crashSpacing is a time between two crashes that have causes of their own.
const crashSpacing = 25 * time.Millisecond

// eventStream is the header line of a stream.
const eventStream = "Content-Type: text/event-stream\r\n"

// TestCrashingRequest guards against a request that crashes every upstream that
// runs it and is sent again and again: it must be refused after the third crash,
// while other requests are served.
func TestCrashingRequest(t *testing.T) {
	bad := func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if strings.Contains(string(b), "bad") {
			resetConnection(w, r)
			return
		}
		respondOK(w, r)
	}
	f := newFixture(t, route(fleet.Unsafe, 1, false), bad, bad, bad, bad)
	for range 8 {
		f.send(http.MethodPost, "bad", "")
		// All upstreams have restarted with a new incarnation.
		for i := range f.ups {
			f.ups[i].Born++
		}
		f.relay.SetUpstreams(time.Now(), f.ups)
	}
	total := 0
	for i := range f.requests {
		total += f.requestCount(i)
	}
	must.LessEq(t, crashLimit, total)
	code, body := f.send(http.MethodPost, "bad", "")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.StrContains(t, body, "quarantined")
	code, _ = f.send(http.MethodPost, "good", "")
	must.Eq(t, http.StatusOK, code)
}

// TestQuarantineBetweenAttempts guards against a request that was accepted before
// it was quarantined and is sent on to further upstreams.
func TestQuarantineBetweenAttempts(t *testing.T) {
	f := newFixture(t, route(fleet.Safe, 6, false), resetConnection, resetConnection, resetConnection, resetConnection, resetConnection, resetConnection)
	code, body := f.send(http.MethodGet, "bad", "")
	must.Eq(t, http.StatusBadGateway, code)
	must.StrContains(t, body, "quarantined")
	total := 0
	for i := range f.requests {
		total += f.requestCount(i)
	}
	must.LessEq(t, crashLimit, total)
}

// TestQuarantineEndsWait guards against a request that waits for an upstream
// although another daemon has found that it crashes them, and against its being
// sent there at the end of the wait.
func TestQuarantineEndsWait(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 1, false), streamEvents(2, 0))
	f.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{Copies: []fleet.Inventory{{ID: "u0", Born: 1, Rev: 1}}})
	go func() {
		for !f.relay.HasWaiting() {
			time.Sleep(time.Millisecond)
		}
		request := &fleet.Request{Method: http.MethodPost, Target: "/x?y=1", Model: "m", Body: []byte("body of 1")}
		e := poison.Entry{Fingerprint: attributes(request, "127.0.0.1")[0]}
		for i := range crashLimit {
			e.Crashes = append(e.Crashes, poison.Crash{ID: fmt.Sprint("v", i), At: time.Now()})
		}
		// The model arrives in the same reply.
		f.relay.suspects.Merge(time.Now(), e)
		f.relay.ApplyWatchReply(time.Now(), &hub.WatchReply{Copies: []fleet.Inventory{{ID: "u0", Born: 1, Rev: 2, Held: []fleet.LoadedModel{{Model: "m"}}}}})
	}()
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.StrContains(t, body, "quarantined")
	must.Eq(t, 0, f.requestCount(0))
}

// closeAfter sends a response without a length and closes the connection, as the
// end of an upstream's process in the middle of such a response does.
func closeAfter(header, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // unread bytes would reset the connection
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"\r\n"+body)
		_ = c.Close()
	}
}

// TestClosedResponseClearsNothing guards against a crash history that is cleared by
// a response whose end may be that of the upstream, and against one that a
// complete response doesn't clear.
func TestClosedResponseClearsNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    fleet.Kind
		handler http.HandlerFunc
		crashes int
	}{
		{"body without a length", fleet.Safe, closeAfter("", "fine"), 1},
		{"stream without chunks", fleet.Stream, reported("1", new(atomic.Int32), closeAfter(eventStream, wantEvents(1))), 1},
		{"complete body", fleet.Safe, respondOK, 0},
		{"complete stream", fleet.Stream, streamEvents(2, 0), 0},
	} {
		f := newFixture(t, route(c.kind, 1, false), c.handler)
		request := &fleet.Request{Method: http.MethodPost, Target: "/x?y=1", Model: "m", Body: []byte("body of 1")}
		if c.kind == fleet.Safe {
			request.Model = ""
		}
		request.Path = "/x"
		keys := attributes(request, "127.0.0.1")
		f.relay.blame.Crashed(keys, poison.Crash{ID: "v", At: time.Now()}, 0)
		code, _ := f.send(http.MethodPost, "1", request.Model)
		must.Eq(t, http.StatusOK, code, must.Sprint(c.name))
		for _, key := range keys {
			must.Len(t, c.crashes, f.relay.suspects.Entry(key).Crashes, must.Sprint(c.name))
		}
	}
}

// TestTruncatedUnframedStream guards against a stream that looks complete although
// it ends within an event.
func TestTruncatedUnframedStream(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 1, false), closeAfter(eventStream, wantEvents(1)+"id: 2\nda"))
	code, _ := f.send(http.MethodPost, "1", "m")
	must.Eq(t, 0, code)
	f = newFixture(t, route(fleet.Stream, 1, false), reported("1", new(atomic.Int32), closeAfter(eventStream, wantEvents(1))))
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(1), body)
}

// TestEmptyUnframedStream guards against a stream without a length or chunks that
// looks complete although its upstream ended before the first event.
func TestEmptyUnframedStream(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 2, true), closeAfter(eventStream, ""), streamEvents(2, 0))
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(2), body)
	f = newFixture(t, route(fleet.Stream, 1, false), closeAfter(eventStream, ""))
	code, _ = f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusBadGateway, code)
}

// TestUnframedEndInCrash guards against a part of a prompt that crashes upstreams
// unseen, because the answers to requests with it look complete: they have neither a
// length nor chunks, and the upstream ends after an event.
func TestUnframedEndInCrash(t *testing.T) {
	for _, name := range []string{"before", "after"} {
		both := make(chan struct{}, 2)
		first := make(chan struct{})
		end := func(w http.ResponseWriter, r *http.Request) {
			both <- struct{}{}
			for len(both) < 2 {
				time.Sleep(time.Millisecond)
			}
			unframed := r.Header.Get("Id") == "bad"
			if unframed == (name == "after") {
				<-first
				time.Sleep(20 * time.Millisecond)
			} else {
				defer close(first)
			}
			if unframed {
				closeAfter(eventStream, wantEvents(1))(w, r)
				return
			}
			resetConnection(w, r)
		}
		f := newFixture(t, route(fleet.Stream, 1, false), reported("1", new(atomic.Int32), end))
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.sendParts(http.MethodPost, "other", "m", "a b last1")
		}()
		f.sendParts(http.MethodPost, "bad", "m", "a c last2")
		<-done
		for _, part := range []string{"a", "b", "c"} {
			must.Len(t, 1, f.relay.suspects.Entry(poison.PartKey(part)).Crashes, must.Sprint(name, part))
		}
	}
}

// TestMalformedResponseIsNoCrash guards against a request that is quarantined
// because upstreams respond to it with bytes that are no response.
func TestMalformedResponseIsNoCrash(t *testing.T) {
	garbage := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "no response\r\n\r\n")
		_ = c.Close()
	}
	f := newFixture(t, route(fleet.Safe, 2, false), garbage, garbage)
	for range 2 {
		code, _ := f.send(http.MethodGet, "1", "")
		must.Eq(t, http.StatusBadGateway, code)
	}
	must.Eq(t, 0, f.relay.suspects.Rev())
}

// endless sends a header and then the same byte until the connection is closed, and
// counts the bytes.
func endless(header string, sent *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, header)
		for b := bytes.Repeat([]byte("x"), 4<<10); err == nil; {
			var n int
			n, err = c.Write(b)
			sent.Add(int64(n))
		}
	}
}

// TestEndlessResponse guards against a daemon that runs out of memory, because an
// upstream in trouble sends bytes without end: each response is given up after a
// bounded number of bytes, and the request is served elsewhere where it may be.
func TestEndlessResponse(t *testing.T) {
	const socketBuffers = 16 << 20
	for _, c := range []struct {
		name, header string
		kind         fleet.Kind
		good         http.HandlerFunc
		limit        int64
	}{
		{"head", "HTTP/1.1 200 OK\r\nX-Header: ", fleet.Safe, respondOK, http1.MaxHeadBytes},
		{"no response", "", fleet.Safe, respondOK, http1.MaxHeadBytes},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", fleet.Safe, respondOK, maxResponseBytes},
		{"rejection", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n", fleet.Safe, respondOK, maxRefusalBytes},
		{"event", "HTTP/1.1 200 OK\r\n" + eventStream + "\r\ndata: ", fleet.Stream, streamEvents(1, 0), maxEventBytes},
	} {
		var sent atomic.Int64
		r := route(c.kind, 2, true)
		// 16 MiB take seconds on a busy machine.
		r.Timeout = 30 * time.Second
		f := newFixture(t, r, endless(c.header, &sent), c.good)
		model := ""
		if c.kind == fleet.Stream {
			model = "m"
		}
		code, _ := f.send(http.MethodPost, "1", model)
		must.Eq(t, http.StatusOK, code, must.Sprint(c.name))
		must.LessEq(t, c.limit+socketBuffers, sent.Load(), must.Sprint(c.name))
	}
}

// TestCrashingRequestWithAnotherQuery guards against a request that crashes upstreams
// and is run again and again because it differs from the former ones in what a caller
// may change: its query, method or model.
func TestCrashingRequestWithAnotherQuery(t *testing.T) {
	for name, change := range map[string]func(n int, r *http.Request){
		"query": func(n int, r *http.Request) { r.URL.RawQuery = fmt.Sprintf("page=%d&sort=new", n) },
		"method": func(n int, r *http.Request) {
			r.Method = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch}[n%5]
		},
		"model": func(n int, r *http.Request) { r.Header.Set("Model", []string{"", "m"}[n%2]) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route(fleet.Safe, 1, false), resetConnection, resetConnection, resetConnection)
			for n := range 12 {
				r, err := http.NewRequest(http.MethodGet, f.front.URL+"/racks/7", nil)
				must.NoError(t, err)
				r.Header.Set("Id", fmt.Sprint("c-", n))
				change(n, r)
				res, err := http.DefaultClient.Do(r)
				must.NoError(t, err)
				_ = res.Body.Close()
				for i := range f.ups {
					f.ups[i].Born++
				}
				f.relay.SetUpstreams(time.Now(), f.ups)
			}
			total := 0
			for i := range f.requests {
				total += f.requestCount(i)
			}
			must.LessEq(t, crashLimit, total)
		})
	}
}

// TestCrashingRequestFromAnotherAddress guards against a request that crashes upstreams
// and is run again and again because it comes from another address each time, as from
// clients behind a balancer.
func TestCrashingRequestFromAnotherAddress(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			f := newFixture(t, route(fleet.Safe, 1, false), resetConnection, resetConnection, resetConnection)
			for n := range 12 {
				var body io.Reader
				if method == http.MethodPost {
					body = strings.NewReader("bad")
				}
				r, err := http.NewRequest(method, f.front.URL+"/racks/7", body)
				must.NoError(t, err)
				r.Header.Set("Id", fmt.Sprint("c-", n))
				d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(n+2))}}
				transport := &http.Transport{DialContext: d.DialContext}
				res, err := transport.RoundTrip(r)
				must.NoError(t, err)
				_ = res.Body.Close()
				transport.CloseIdleConnections()
				// Crashes at one moment would count as one.
				time.Sleep(crashSpacing)
				for i := range f.ups {
					f.ups[i].Born++
				}
				f.relay.SetUpstreams(time.Now(), f.ups)
			}
			total := 0
			for i := range f.requests {
				total += f.requestCount(i)
			}
			must.LessEq(t, crashLimit, total)
		})
	}
}

// TestSoundVariant guards against refusing the other pages of a listing one page of which
// crashes upstreams, and against sending that page again once another one was answered.
func TestSoundVariant(t *testing.T) {
	bad := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("page") == "2" {
			resetConnection(w, r)
			return
		}
		respondOK(w, r)
	}
	f := newFixture(t, route(fleet.Safe, 1, false), bad)
	get := func(page int) int {
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/racks?page=%d", f.front.URL, page), nil)
		must.NoError(t, err)
		r.Header.Set("Id", fmt.Sprint("page-", page))
		res, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		_ = res.Body.Close()
		f.ups[0].Born++
		f.relay.SetUpstreams(time.Now(), f.ups)
		return res.StatusCode
	}
	for range 4 {
		must.Eq(t, http.StatusOK, get(1))
		get(2)
	}
	must.Eq(t, http.StatusOK, get(3))
	must.Eq(t, http.StatusServiceUnavailable, get(2))
	must.LessEq(t, 5+crashLimit, f.requestCount(0))
}
