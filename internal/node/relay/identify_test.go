package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/http1"
)

// reported answers requests for a report, which it counts, with text and others with h.
func reported(text string, reports *atomic.Int32, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/report" {
			h(w, r)
			return
		}
		reports.Add(1)
		_, _ = io.WriteString(w, text)
	}
}

// outOfStep has the relay know a register that is old.
func (f *fixture) outOfStep() *atomic.Int64 {
	age := new(atomic.Int64)
	age.Store(int64(time.Minute))
	f.relay.settings.RegisterAge = func() time.Duration { return time.Duration(age.Load()) }
	f.relay.settings.RegisterTTL = time.Second
	return age
}

// newRunFixture returns a fixture whose upstreams are all registered with version v1 and
// start 1.
func newRunFixture(t *testing.T, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	f := newVersionedFixture(t, handlers...)
	for i := range f.ups {
		f.ups[i].Version = "v1"
	}
	f.relay.SetUpstreams(time.Now(), f.ups)
	return f
}

// TestStreamStaysAtItsRun guards against a stream of two software versions, because a daemon
// whose view of the register is old takes an upstream that has started again under its ID,
// with another version, for the run that it knew: neither a stream that has broken off nor a
// new one may run there (ORDER).
func TestStreamStaysAtItsRun(t *testing.T) {
	var reports atomic.Int32
	f := newRunFixture(t, reported("1", &reports, streamEvents(3, 1)), reported("2", &reports, streamEvents(3, 0)), reported("1", &reports, streamEvents(3, 0)))
	f.outOfStep()
	code, body := f.send(http.MethodPost, "a", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
	must.Eq(t, 1, f.requestCount(1), must.Sprint("the report alone"))
	must.Eq(t, 2, f.requestCount(2))

	// The first event decides at which version a stream continues.
	reports.Store(0)
	f = newRunFixture(t, reported("2", &reports, streamEvents(3, 0)), reported("1", &reports, streamEvents(3, 0)))
	f.outOfStep()
	for _, id := range []string{"a", "b"} {
		code, _ = f.send(http.MethodPost, id, "m")
		must.Eq(t, http.StatusOK, code)
	}
	must.Eq(t, 1, f.requestCount(0), must.Sprint("what it has said is kept"))
	must.Eq(t, 3, f.requestCount(1))
	must.Eq(t, 2, reports.Load(), must.Sprint("a connection is asked once"))

	// Neither is a stream that its caller takes up again.
	code, body = f.resume("c", "a", "2")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, "id: 3\ndata: e3\n\n", body)
	must.Eq(t, 1, f.requestCount(0))
}

// TestNoUpstreamIsTheRun guards against telling a caller that a request may have run, or
// keeping it waiting, when it was sent to no upstream because none is the registered run.
func TestNoUpstreamIsTheRun(t *testing.T) {
	var reports atomic.Int32
	f := newRunFixture(t, reported("2", &reports, streamEvents(3, 0)))
	f.outOfStep()
	code, _ := f.send(http.MethodPost, "a", "m")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.Eq(t, 1, f.requestCount(0))
	// Registered anew, it serves.
	f.ups[0].Born, f.ups[0].Version = 2, "v2"
	f.origins.table.Registered(time.Now(), "s", "v2")
	f.relay.SetUpstreams(time.Now(), f.ups)
	code, body := f.send(http.MethodPost, "b", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
}

// TestReportOfUpstreamInTrouble guards against a daemon that waits, or fills its memory,
// because an upstream answers the question for its run with nothing, with bytes that are no
// report or without end.
func TestReportOfUpstreamInTrouble(t *testing.T) {
	var reports atomic.Int32
	var sent atomic.Int64
	for name, report := range map[string]http.HandlerFunc{
		"silent":  neverRespond,
		"garbage": closeAfter("Content-Length: 3\r\n", "a b"),
		"ends":    resetConnection,
		"head":    endless("HTTP/1.1 200 OK\r\nX-Header: ", &sent),
		"body":    endless("HTTP/1.1 200 OK\r\n\r\n", &sent),
		"closes":  closeAfter("", "1"),
	} {
		f := newRunFixture(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/report" {
				report(w, r)
				return
			}
			streamEvents(3, 0)(w, r)
		}, reported("1", &reports, streamEvents(3, 0)))
		f.outOfStep()
		code, body := f.send(http.MethodPost, "a", "m")
		must.Eq(t, http.StatusOK, code, must.Sprint(name))
		must.Eq(t, wantEvents(3), body, must.Sprint(name))
		must.Eq(t, 1, f.requestCount(0), must.Sprint(name))
	}
}

// TestUpstreamLeavesWhileItIsAsked guards against a stream that is sent to an upstream which
// has left, or asked for a pause, while it was asked for its run (DRAIN).
func TestUpstreamLeavesWhileItIsAsked(t *testing.T) {
	var reports atomic.Int32
	var f *fixture
	f = newRunFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" {
			f.relay.SetUpstreams(time.Now(), f.ups[1:])
			_, _ = io.WriteString(w, "1")
			return
		}
		streamEvents(3, 0)(w, r)
	}, reported("1", &reports, streamEvents(3, 0)))
	f.outOfStep()
	code, body := f.send(http.MethodPost, "a", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
	must.Eq(t, 1, f.requestCount(0), must.Sprint("the report alone"))
}

// TestRunIsAskedWhenNeeded guards against a question at each request: a daemon in step asks
// for no reports, nor does any for requests that no other version can continue.
func TestRunIsAskedWhenNeeded(t *testing.T) {
	var reports atomic.Int32
	f := newRunFixture(t, reported("1", &reports, streamEvents(3, 0)))
	age := f.outOfStep()
	age.Store(0)
	for _, id := range strings.Fields("a b c") {
		code, _ := f.send(http.MethodPost, id, "m")
		must.Eq(t, http.StatusOK, code)
	}
	must.Eq(t, 0, reports.Load())
	for _, r := range []fleet.Route{route(fleet.Safe, 2, false), route(fleet.Unsafe, 1, false), route(fleet.Stream, 1, false)} {
		f = newFixture(t, r, reported("2", &reports, respondOK))
		f.outOfStep()
		model := ""
		if r.Kind == fleet.Stream {
			model = "m"
		}
		code, _ := f.send(http.MethodPost, "a", model)
		must.Eq(t, http.StatusOK, code)
	}
	must.Eq(t, 0, reports.Load())
}

// TestKeptConnectionToFormerRun guards against a request on a connection that was kept from
// an earlier run of an upstream, where another machine answers.
func TestKeptConnectionToFormerRun(t *testing.T) {
	var reports atomic.Int32
	f := newRunFixture(t, reported("1", &reports, streamEvents(3, 0)), reported("2", &reports, streamEvents(3, 0)))
	f.outOfStep()
	code, _ := f.send(http.MethodPost, "a", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, 2, f.requestCount(0))
	// The upstream starts again at another address, while the former run is still there.
	f.ups[0].Born, f.ups[0].Address = 2, f.ups[1].Address
	f.relay.SetUpstreams(time.Now(), f.ups[:1])
	code, _ = f.send(http.MethodPost, "b", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, 2, f.requestCount(0))
	must.Eq(t, 2, f.requestCount(1))
}

// oneRequestConn is a connection that carries one request.
type oneRequestConn struct{ *net.TCPConn }

func (oneRequestConn) OneRequest() {}

// TestRunBehindForwarder guards against the same through another daemon, whose forwarded
// connection carries one request: the question goes over another one.
func TestRunBehindForwarder(t *testing.T) {
	var reports atomic.Int32
	f := newRunFixture(t, reported("2", &reports, streamEvents(3, 0)), reported("1", &reports, streamEvents(3, 0)))
	f.relay.pool = http1.New(http1.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerUpstream: 4, Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := http1.DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return oneRequestConn{c.(*net.TCPConn)}, nil
	}}, time.Now)
	f.outOfStep()
	code, body := f.send(http.MethodPost, "a", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
	must.Eq(t, 1, f.requestCount(0))
	must.Eq(t, 2, f.requestCount(1))
}
