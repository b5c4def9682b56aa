package router

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/check/canned"
	"github.com/azurespan/azurespan/internal/check/golden"
	"github.com/azurespan/azurespan/internal/link/rest"
)

// TestMalformedResponse guards against a malformed answer of a plain service that its
// caller gets and that is stored for repetitions of a booking: with a status that is none,
// or with a body that the service didn't send (issue 61). The call may have run.
func TestMalformedResponse(t *testing.T) {
	const whole = "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nfine"
	var b strings.Builder
	for _, response := range []string{
		whole,
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + whole,
		"HTTP/1.1 200 OK\r\nEmpty:\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		strings.Replace(whole, "201 Created", "000 Error", 1),
		strings.Replace(whole, "201 Created", "600 Error", 1),
		"HTTP/1.1 100 Continue\r\nContent-Length: 49\r\n\r\n" + whole,
		strings.Replace(whole, "Content-Length:", "Content-Length :", 1) + ", and more",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		strings.Replace(whole, "Content-Length:", "A b: c\r\nContent-Length:", 1),
		strings.Replace(whole, "Content-Length:", "A\x01b: c\r\nContent-Length:", 1),
	} {
		s := newSite(t, 1)
		c := booking("k")
		desk := canned.New(t, func(int, *http.Request) (string, bool) { return response, true })
		reply, err := s.router.sendCall(t.Context(), &declare.Upstream{Name: "desk-1", Service: "desk", Address: desk.Address}, &c)
		got := fmt.Sprintf("%d %q", reply.Status, reply.Body)
		if err != nil {
			var failed *rest.Error
			must.True(t, errors.As(err, &failed))
			got = fmt.Sprintf("error, may have run: %v", failed.Reached)
		}
		fmt.Fprintf(&b, "%q\n  %s\n", response, got)
	}
	golden.Check(t, "malformed-response.golden", b.String())
}

// TestServiceEndsWithinBody guards against a part of a body that counts as the whole answer of a
// plain service, and is stored for repetitions of a booking: it has neither a length nor chunks,
// and the service's process has ended.
func TestServiceEndsWithinBody(t *testing.T) {
	s := newSite(t, 1)
	c := booking("k")
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	go func() {
		conn, err := l.Accept()
		must.NoError(t, err)
		r, err := http.ReadRequest(bufio.NewReader(conn))
		must.NoError(t, err)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\n\r\nhalf of it")
		_ = l.Close()
		_ = conn.Close()
	}()
	reply, err := s.router.sendCall(t.Context(), &declare.Upstream{Name: "desk-1", Service: "desk", Address: l.Addr().String()}, &c)
	must.Error(t, err, must.Sprintf("%d %q", reply.Status, reply.Body))
}
