package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestRefusedOnKeptConnection guards against a request that gets neither an answer nor a
// refusal: its connection has been kept for longer than the time limit of the request
// before, and the present one is refused before it has a route, for instance because a
// new configuration has dropped that.
func TestRefusedOnKeptConnection(t *testing.T) {
	r := route(fleet.Safe, 1, false)
	r.Prefix, r.Timeout = "/x/", 100*time.Millisecond
	for _, c := range []struct {
		name, path string
		configured bool
		want       int
	}{
		{"no route", "/dropped/", true, http.StatusNotFound},
		{"route", "/x/", true, http.StatusOK},
		{"no configuration", "/x/", false, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, r, respondOK)
			conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			br := bufio.NewReader(conn)
			get := func(path string) int {
				_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\n\r\n", path)
				must.NoError(t, err)
				res, err := http.ReadResponse(br, nil)
				must.NoError(t, err)
				_, err = br.Discard(int(res.ContentLength))
				must.NoError(t, err)
				return res.StatusCode
			}
			must.Eq(t, http.StatusOK, get("/x/"))
			time.Sleep(r.Timeout + 2*writeGrace)
			if !c.configured {
				f.relay.config.Store(nil)
			}
			must.Eq(t, c.want, get(c.path))
		})
	}
}

// TestRefusalIsRepeated guards against a request that is taken for refused, although its
// upstream runs it, because the upstream has written an earlier refusal once more on the
// connection that was kept.
func TestRefusalIsRepeated(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, kind := range []fleet.Kind{fleet.Safe, fleet.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			refused := false
			upstream := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if refused {
					streamEvents(2, 0)(w, r)
					return
				}
				refused = true
				c, rw, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, refusal)
				if _, err := http.ReadRequest(rw.Reader); err == nil {
					_, _ = io.WriteString(c, refusal)
					t.Error("a request came on a connection with a refusal")
				}
			}
			f := newFixture(t, route(kind, 1, true), upstream)
			code, _ := f.send(http.MethodGet, "1", "")
			must.Eq(t, http.StatusServiceUnavailable, code)
			code, _ = f.send(http.MethodGet, "2", "")
			must.Eq(t, http.StatusOK, code)
		})
	}
}

// TestLateSecondCopy guards against a caller that gets an answer which isn't its own: an
// upstream sends a second copy of an answer late, when the connection has been kept and the
// next request is on it (report of other operators).
func TestLateSecondCopy(t *testing.T) {
	answer := func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 8\r\n\r\nanswer " + id
	}
	copies := make(chan bool, 1)
	first := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, answer(r.Header.Get("Id")))
		next, err := http.ReadRequest(rw.Reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(r.Header.Get("Id"))+answer(next.Header.Get("Id")))
		copies <- true
	}
	f := newFixture(t, route(fleet.Safe, 2, false), first, respondOK)
	code, body := f.send(http.MethodGet, "1", "")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, "answer 1", body)
	code, body = f.send(http.MethodGet, "2", "")
	must.True(t, <-copies, must.Sprint("the connection wasn't kept"))
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, "fine", body)
}
