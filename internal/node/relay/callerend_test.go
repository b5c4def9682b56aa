package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/base/ration"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/guard"
)

type (
	// guardedFront is a server for callers as the daemon has it, with a Guard.
	guardedFront struct {
		net.Listener
		server *http.Server

		mu    sync.Mutex
		conns []net.Conn
	}

	// panicWriter panics in the second Write.
	panicWriter struct {
		http.ResponseWriter
		writes int
	}
)

// callerKinds are the versions and fields of callers' requests.
var callerKinds = []struct{ name, version, field string }{
	{"1.1", "HTTP/1.1", ""},
	{"1.0", "HTTP/1.0", ""},
	{"1.0, kept", "HTTP/1.0", "Connection: keep-alive\r\n"},
}

// Accept implements net.Listener.
func (g *guardedFront) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err == nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.conns = append(g.conns, c)
	}
	return c, err
}

// kill closes the connections under the server, as the system does those of a process that
// is killed.
func (g *guardedFront) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		_ = c.Close()
	}
}

// Write implements io.Writer.
func (w *panicWriter) Write(b []byte) (int, error) {
	if w.writes++; w.writes > 1 {
		panic("a fault of the handler")
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer for http.ResponseController.
func (w *panicWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// newGuardedFront starts a server for the duration of the test.
func newGuardedFront(t *testing.T, h http.Handler) *guardedFront {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	const memory = 8 << 20
	g := guard.New(guard.Settings{Name: "callers", MaxConns: 8, Memory: ration.NewAccount(memory).Exact(memory, memory), Unfinished: memory})
	front := &guardedFront{Listener: l, server: &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0)}}
	g.Attach(front.server)
	go func() { _ = front.server.Serve(g.Wrap(front)) }()
	t.Cleanup(func() { _ = front.server.Close() })
	return front
}

// ask sends request 1, and returns the connection and the response with its body unread.
func (g *guardedFront) ask(t *testing.T, method, version, fields string) (net.Conn, *http.Response) {
	t.Helper()
	// The buffer is set before the connection is made, which is when the system takes it
	// into account.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	c, err := dialer.Dial("tcp4", g.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(c, "%s /x %s\r\nHost: 127.0.0.1\r\nId: 1\r\n%sContent-Length: 0\r\n\r\n", method, version, fields)
	must.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	must.NoError(t, err)
	return c, res
}

// eventsAndThen sends two events one by one and calls then, which may send more.
func eventsAndThen(then func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 2; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
		then(w, r)
	}
}

// TestBrokenStreamLooksBroken guards against a stream that is broken off and looks complete
// to its caller (issue 65), for each end within the daemon: a response to HTTP/1.0 has no
// chunks, and an end in order of its connection stands for the end of the response.
func TestBrokenStreamLooksBroken(t *testing.T) {
	stuck := eventsAndThen(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for _, c := range []struct {
		name     string
		upstream http.HandlerFunc
		timeout  time.Duration
		act      func(f *fixture, front *guardedFront)
	}{
		{name: "upstream breaks off", upstream: eventsAndThen(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })},
		{name: "requests are ended", upstream: stuck, act: func(f *fixture, _ *guardedFront) { f.relay.EndRequests() }},
		{name: "deadline", upstream: stuck, timeout: 300 * time.Millisecond},
		{name: "server is closed", upstream: stuck, act: func(_ *fixture, front *guardedFront) { _ = front.server.Close() }},
		{name: "process is killed", upstream: stuck, act: func(_ *fixture, front *guardedFront) { front.kill() }},
		{name: "handler panics", upstream: stuck},
		{
			name: "caller doesn't read", timeout: 300 * time.Millisecond,
			upstream: eventsAndThen(func(w http.ResponseWriter, _ *http.Request) {
				large := "data: " + strings.Repeat("x", 64<<10) + "\n\n"
				for range 200 {
					if _, err := io.WriteString(w, large); err != nil {
						return
					}
				}
			}),
			act: func(*fixture, *guardedFront) { time.Sleep(time.Second) },
		},
	} {
		for _, k := range callerKinds {
			t.Run(c.name+", "+k.name, func(t *testing.T) {
				t.Parallel()
				r := route(fleet.Stream, 1, false)
				if c.timeout > 0 {
					r.Timeout = c.timeout
				}
				f := newFixture(t, r, c.upstream)
				front := newGuardedFront(t, http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
					if c.name == "handler panics" {
						w = &panicWriter{ResponseWriter: w}
					}
					f.relay.ServeHTTP(w, hr)
				}))
				_, res := front.ask(t, http.MethodPost, k.version, "Model: m\r\n"+k.field)
				must.Eq(t, http.StatusOK, res.StatusCode)
				b := make([]byte, len(firstEvent))
				_, err := io.ReadFull(res.Body, b)
				must.NoError(t, err)
				must.Eq(t, firstEvent, string(b))
				if c.act != nil {
					c.act(f, front)
				}
				_, err = io.Copy(io.Discard, res.Body)
				if k.version == "HTTP/1.0" {
					must.ErrorIs(t, err, syscall.ECONNRESET)
				}
				must.Error(t, err)
			})
		}
	}
}

// TestWholeStreamLooksWhole guards against a stream that has all of its events and looks
// broken to its caller: also while the daemon stops, and if the caller hasn't read all of it
// when the daemon has sent it.
func TestWholeStreamLooksWhole(t *testing.T) {
	for _, stops := range []bool{false, true} {
		for _, k := range callerKinds {
			t.Run(fmt.Sprintf("%s, stops %v", k.name, stops), func(t *testing.T) {
				t.Parallel()
				last := "id: 3\ndata: " + strings.Repeat("x", 200<<10) + "\n\n"
				f := newFixture(t, route(fleet.Stream, 1, false), eventsAndThen(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, last)
				}))
				front := newGuardedFront(t, f.relay)
				_, res := front.ask(t, http.MethodPost, k.version, "Model: m\r\n"+k.field)
				stopped := make(chan error, 1)
				if stops {
					f.relay.Stop(time.Now().Add(time.Minute))
					go func() { stopped <- front.server.Shutdown(context.Background()) }()
				}
				time.Sleep(300 * time.Millisecond)
				b, err := io.ReadAll(res.Body)
				must.NoError(t, err)
				must.True(t, wantEvents(2)+last == string(b), must.Sprint(len(b)))
				if stops {
					must.NoError(t, <-stopped)
				}
			})
		}
	}
}

// TestCutBufferedResponse guards against a buffered response that is cut within its body and
// looks complete to a caller of HTTP/1.0: it had no length.
func TestCutBufferedResponse(t *testing.T) {
	const bodyBytes = 15 << 20 // more than the buffers of the system
	for _, c := range []struct {
		name string
		act  func(front *guardedFront)
	}{
		{"server is closed", func(front *guardedFront) { _ = front.server.Close() }},
		{"process is killed", (*guardedFront).kill},
		{"caller doesn't read", func(*guardedFront) { time.Sleep(1500 * time.Millisecond) }},
	} {
		for _, k := range callerKinds {
			t.Run(c.name+", "+k.name, func(t *testing.T) {
				r := route(fleet.Safe, 1, false)
				r.Timeout = time.Second
				f := newFixture(t, r, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Id", r.Header.Get("Id"))
					_, _ = w.Write(make([]byte, bodyBytes))
				})
				front := newGuardedFront(t, f.relay)
				_, res := front.ask(t, http.MethodPost, k.version, k.field)
				must.Eq(t, http.StatusOK, res.StatusCode)
				c.act(front)
				n, err := io.Copy(io.Discard, res.Body)
				must.Error(t, err)
				must.Less(t, bodyBytes, n)
			})
		}
	}
}

// TestBufferedLength guards against a length that isn't that of the body, or that a response
// without a body has.
func TestBufferedLength(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	for _, c := range []struct {
		method     string
		status     int
		body       string
		wantLength string
	}{
		{http.MethodPost, http.StatusOK, "fine", "4"},
		{http.MethodPost, http.StatusOK, large, fmt.Sprint(len(large))},
		{http.MethodPost, http.StatusOK, "", "0"},
		{http.MethodPost, http.StatusNotFound, large, fmt.Sprint(len(large))},
		{http.MethodPost, http.StatusBadGateway, large, fmt.Sprint(len(large))},
		{http.MethodPost, http.StatusNoContent, "", ""},
		{http.MethodPost, http.StatusNotModified, "", ""},
		{http.MethodHead, http.StatusOK, "", ""},
		{http.MethodHead, http.StatusNotFound, "", ""},
	} {
		for _, k := range callerKinds {
			t.Run(fmt.Sprintf("%s, %d, %d bytes, %s", c.method, c.status, len(c.body), k.name), func(t *testing.T) {
				f := newFixture(t, route(fleet.Safe, 1, false), func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Id", r.Header.Get("Id"))
					w.WriteHeader(c.status)
					_, _ = io.WriteString(w, c.body)
				})
				_, res := newGuardedFront(t, f.relay).ask(t, c.method, k.version, k.field)
				must.Eq(t, c.status, res.StatusCode)
				must.Eq(t, c.wantLength, res.Header.Get("Content-Length"))
				b, err := io.ReadAll(res.Body)
				must.NoError(t, err)
				must.True(t, c.body == string(b), must.Sprint(len(b)))
			})
		}
	}
}
