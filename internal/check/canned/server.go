package canned

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// Server is a server on loopback.
type Server struct {
	Address string
	// Connections and Requests count what the server has accepted and read.
	Connections, Requests atomic.Int32
}

// New starts a Server for the duration of the test. respond returns the bytes that answer
// the request with the given number on its connection, from 0, and whether the connection
// ends after them.
func New(t *testing.T, respond func(n int, r *http.Request) (response string, last bool)) *Server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.Connections.Add(1)
			go s.serve(c, respond)
		}
	}()
	return s
}

// serve answers the requests on a connection.
func (s *Server) serve(c net.Conn, respond func(int, *http.Request) (string, bool)) {
	defer func() { _ = c.Close() }() // the client sees the end
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.Requests.Add(1)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response, last := respond(n, r)
		if _, err := io.WriteString(c, response); err != nil || last {
			return
		}
	}
}
