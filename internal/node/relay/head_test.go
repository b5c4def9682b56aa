package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// closeWithin sends the first bytes of a response and closes the connection, in order or
// with a reset.
func closeWithin(response string, sent int, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // unread bytes would reset the connection
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response[:sent])
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// TestTruncatedHead guards against a response whose head the upstream didn't finish and
// that reaches the caller as a success with an empty or short body, which looks complete
// (reports of issue 37, rules MIXED and ORDER): at each byte of the head, for each kind of
// route, framed and not.
func TestTruncatedHead(t *testing.T) {
	type kind struct {
		name  string
		route fleet.Route
		model string
		heads []string
	}
	const plain, stream = "HTTP/1.1 200 OK\r\nId: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for _, k := range []kind{
		{"safe", route(fleet.Safe, 1, false), "", []string{plain + "Content-Length: 12\r\n\r\n", plain + "Transfer-Encoding: chunked\r\n\r\n", plain + "\r\n"}},
		{"unsafe", route(fleet.Unsafe, 1, false), "", []string{plain + "Content-Length: 0\r\n\r\n", plain + "\r\n"}},
		{"stream", route(fleet.Stream, 1, true), "m", []string{stream + "Content-Length: 0\r\n\r\n", stream + "Transfer-Encoding: chunked\r\n\r\n", stream + "\r\n"}},
	} {
		for i, head := range k.heads {
			t.Run(fmt.Sprint(k.name, i), func(t *testing.T) {
				for sent := range len(head) {
					for _, reset := range []bool{false, true} {
						f := newFixture(t, k.route, closeWithin(head, sent, reset))
						code, body := f.raw("1", k.model)
						must.Eq(t, http.StatusBadGateway, code, must.Sprintf("%q, reset %v: %s", head[:sent], reset, body))
						f.front.Close()
					}
				}
			})
		}
	}
}

// TestInterimResponse guards against an interim response (1xx) that is taken for the
// answer: the caller would get a success with an empty body, made up by net/http. The
// upstream closes after it, or goes on with the answer.
func TestInterimResponse(t *testing.T) {
	for _, interim := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"} {
		for _, k := range []struct {
			kind  fleet.Kind
			model string
		}{{fleet.Safe, ""}, {fleet.Unsafe, ""}, {fleet.Stream, "m"}} {
			f := newFixture(t, route(k.kind, 1, false), closeWithin(interim, len(interim), false))
			code, body := f.raw("1", k.model)
			must.Eq(t, http.StatusBadGateway, code, must.Sprintf("%q: %s", interim, body))
			if strings.Contains(interim, "101") {
				continue
			}
			whole := interim + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nfine"
			f = newFixture(t, route(fleet.Safe, 1, false), closeWithin(whole, len(whole), false))
			code, body = f.raw("1", "")
			must.Eq(t, http.StatusOK, code, must.Sprintf("%q", interim))
			must.Eq(t, "fine", body)
		}
	}
}

// raw sends a request and returns the status and all of the response's body, however it
// is framed.
func (f *fixture) raw(id, model string) (int, string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.front.URL+"/x?y=1", bytes.NewReader([]byte("body of "+id)))
	must.NoError(f.t, err)
	req.Header.Set("Id", id)
	req.Header.Set("Model", model)
	res, err := http.DefaultTransport.RoundTrip(req)
	must.NoError(f.t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	must.NoError(f.t, err)
	return res.StatusCode, string(body)
}
