package http1

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/link/head"
)

// TestEndlessHead guards against a daemon that runs out of memory, because an
// upstream in trouble sends a head without end.
func TestEndlessHead(t *testing.T) {
	for _, c := range []struct{ name, bytes string }{
		{"one line", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 4<<20)},
		{"many lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Header: x\r\n", 1<<18)},
		{"status line", strings.Repeat("x", 4<<20)},
		{"informational responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<17)},
	} {
		s, p := serve(t, func(int) string { return c.bytes }), pool()
		conn := s.send(t, p, false)
		_, err := conn.ReadResponse(http.MethodGet)
		var large *HeadTooLargeError
		must.True(t, errors.As(err, &large), must.Sprint(c.name, err))
		conn.Abort()
	}
}

// TestLargeBody guards against a limit of the head that also applies to the body.
func TestLargeBody(t *testing.T) {
	body := strings.Repeat("x", 4*MaxHeadBytes)
	s, p := serve(t, func(int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n" + body }), pool()
	s.exchange(t, p, false)
	s.exchange(t, p, false)
	must.Eq(t, 1, s.conns.Load())
}

// TestMalformedHead guards against a malformed head that is reported as something else, or
// not before its connection ends.
func TestMalformedHead(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 000 Error\r\nContent-Length: 0\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 Error\r\n",
	} {
		s, p := serve(t, func(int) string { return response }), pool()
		conn := s.send(t, p, false)
		_, err := conn.ReadResponse(http.MethodGet)
		var malformed *head.Error
		must.True(t, errors.As(err, &malformed), must.Sprintf("%q: %v", response, err))
		conn.Abort()
	}
}
