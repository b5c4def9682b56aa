package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// server responds to each request with the bytes that its answer function
// returns, and counts connections and requests.
type server struct {
	net.Listener
	conns, requests atomic.Int32
	// ended receives the error that ended each connection.
	ended chan error
}

func serve(t *testing.T, answer func(n int) string) *server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &server{Listener: l, ended: make(chan error, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				br := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(br); err != nil {
						s.ended <- err
						_ = c.Close()
						return
					}
					b := answer(int(s.requests.Add(1)))
					if _, err := io.WriteString(c, b); err != nil {
						s.ended <- err
						return
					}
				}
			}()
		}
	}()
	return s
}

func pool() *Pool {
	return New(Settings{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerUpstream: 4}, time.Now)
}

// send gets a connection and sends a request on it.
func (s *server) send(t *testing.T, p *Pool, forceNew bool) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), "key", s.Addr().String(), forceNew)
	must.NoError(t, err)
	_, err = io.WriteString(c, request)
	must.NoError(t, err)
	return c
}

// exchange sends a request, reads the response and releases the connection.
func (s *server) exchange(t *testing.T, p *Pool, forceNew bool) *Conn {
	t.Helper()
	c := s.send(t, p, forceNew)
	res, err := c.ReadResponse(http.MethodGet)
	must.NoError(t, err)
	_, err = io.ReadAll(res.Body)
	must.NoError(t, err)
	c.Release(res)
	return c
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestReuse guards against a new connection for each request.
func TestReuse(t *testing.T) {
	s, p := serve(t, func(int) string { return ok }), pool()
	s.exchange(t, p, false)
	c := s.exchange(t, p, false)
	must.True(t, c.Reused)
	must.Eq(t, 1, s.conns.Load())
	s.exchange(t, p, true)
	must.Eq(t, 2, s.conns.Load())
}

// TestNoReuse guards against the reuse of a connection with extra bytes, or of
// one that the upstream is about to close.
func TestNoReuse(t *testing.T) {
	for name, answer := range map[string]string{
		"extra bytes":      ok + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"connection close": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"short keep-alive": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
		"old protocol":     "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			s, p := serve(t, func(int) string { return answer }), pool()
			s.exchange(t, p, false)
			must.False(t, s.exchange(t, p, false).Reused)
		})
	}
}

// TestLateExtraBytes guards against an extra response that arrives while the
// connection is idle and would be read as the response to the next request.
func TestLateExtraBytes(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	extra := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, ok)
				<-extra
				_, _ = io.WriteString(c, ok)
				extra <- struct{}{}
			}()
		}
	}()
	s, p := &server{Listener: l}, pool()
	s.exchange(t, p, false)
	extra <- struct{}{}
	<-extra
	// Wait until the bytes have arrived over loopback.
	c := p.idle["key"][0]
	for isQuiet(t, c) {
		time.Sleep(time.Millisecond)
	}
	must.Nil(t, p.takeIdle("key"))
}

// TestNoRetry guards against a client that retries a request by itself when
// the upstream closes a reused connection after reading the request.
func TestNoRetry(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	var seen atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(c)
				for i := 0; ; i++ {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					seen.Add(1)
					if i > 0 {
						_ = c.Close()
						return
					}
					_, _ = io.WriteString(c, ok)
				}
			}()
		}
	}()
	s, p := &server{Listener: l}, pool()
	s.exchange(t, p, false)
	c := s.send(t, p, false)
	must.True(t, c.Reused)
	_, err = c.ReadResponse(http.MethodGet)
	must.Error(t, err)
	must.Eq(t, 2, seen.Load())
}

// TestAbortResets guards against an abandoned request that is delivered after
// a network partition ends (rule ONE on figtray-coop trouble-2, seed
// 592198733314): the peer must see a reset instead of an orderly close.
func TestAbortResets(t *testing.T) {
	s, p := serve(t, func(int) string { return ok }), pool()
	c := s.send(t, p, false)
	timedOut, err := c.AwaitByte(time.Now().Add(10 * time.Second))
	must.NoError(t, err)
	must.False(t, timedOut)
	c.Abort()
	must.True(t, errors.Is(<-s.ended, syscall.ECONNRESET))
}

// TestAwaitByte guards against the loss of a connection whose response is
// merely slow.
func TestAwaitByte(t *testing.T) {
	gate := make(chan struct{})
	s, p := serve(t, func(int) string { <-gate; return ok }), pool()
	c := s.send(t, p, false)
	timedOut, err := c.AwaitByte(time.Now().Add(10 * time.Millisecond))
	must.NoError(t, err)
	must.True(t, timedOut)
	close(gate)
	timedOut, err = c.AwaitByte(time.Now().Add(10 * time.Second))
	must.NoError(t, err)
	must.False(t, timedOut)
	res, err := c.ReadResponse(http.MethodGet)
	must.NoError(t, err)
	b, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, "ok", string(b))
}

// TestDialError guards against a failed dial that can't be distinguished from
// a request that may have run.
func TestDialError(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	_, err = pool().Get(context.Background(), "key", address, false)
	var d *DialError
	must.True(t, errors.As(err, &d))
	must.True(t, d.Refused)
}

// TestCloseIdle guards against idle connections to upstreams that no longer
// exist.
func TestCloseIdle(t *testing.T) {
	s, p := serve(t, func(int) string { return ok }), pool()
	s.exchange(t, p, false)
	p.CloseIdle(func(string) bool { return true })
	must.Len(t, 1, p.idle["key"])
	p.CloseIdle(func(key string) bool { return !strings.HasPrefix(key, "k") })
	must.MapEmpty(t, p.idle)
}

// isQuiet reports whether nothing has arrived on a connection.
func isQuiet(t *testing.T, c *Conn) bool {
	t.Helper()
	quiet, err := c.quiet()
	must.NoError(t, err)
	return quiet
}
