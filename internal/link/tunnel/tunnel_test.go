package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/http1"
)

// testUpstreams forwards to any upstream but those named "refused".
type testUpstreams struct {
	mu    sync.Mutex
	heads []string
}

func (u *testUpstreams) MayForward(_ time.Time, id, address string) (fleet.Upstream, string) {
	if id == "refused" {
		return fleet.Upstream{}, "leaving"
	}
	return fleet.Upstream{ID: id, Address: address}, ""
}

func (u *testUpstreams) Dial(ctx context.Context, up fleet.Upstream) (net.Conn, error) {
	return http1.DialTCP(ctx, up.Address)
}

func (u *testUpstreams) Observe(_ fleet.Upstream, _ time.Time, head []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heads = append(u.heads, string(head))
}

// startForwarder returns a Server and its address.
func startForwarder(t *testing.T) (*Server, *testUpstreams, *httptest.Server) {
	t.Helper()
	s, u, h, _ := startForwarderOf(t)
	return s, u, h
}

// startForwarderOf is startForwarder with the last connection that became a tunnel.
func startForwarderOf(t *testing.T) (*Server, *testUpstreams, *httptest.Server, <-chan net.Conn) {
	t.Helper()
	u := &testUpstreams{}
	s := New(u, time.Now)
	h := httptest.NewUnstartedServer(s)
	hijacked := make(chan net.Conn, 1)
	h.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state != http.StateHijacked {
			return
		}
		// The limit is set after this call.
		go func() {
			for range 100 {
				select {
				case hijacked <- c:
				default:
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	h.Start()
	t.Cleanup(h.Close)
	return s, u, h, hijacked
}

// userTimeout returns the time for which sent bytes of a connection may remain
// unacknowledged, in ms, 0 if it isn't limited.
func userTimeout(t *testing.T, c net.Conn) (ms int) {
	t.Helper()
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7)
	rc, err := c.(syscall.Conn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, rc.Control(func(fd uintptr) { ms, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) }))
	must.NoError(t, err)
	return ms
}

// startUpstream accepts connections and serves each with handle.
func startUpstream(t *testing.T, handle func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, h *httptest.Server, id, address string) (*Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return Dial(ctx, strings.TrimPrefix(h.URL, "http://"), id, address)
}

// respond reads a request and answers with a response of a large body, then ends the
// connection.
func respond(end func(c *net.TCPConn)) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("x", 100_000))
		end(c)
	}
}

// exchange sends a request and reads all of its response.
func exchange(t *testing.T, c *Conn) (body string, err error) {
	t.Helper()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	b, err := io.ReadAll(c)
	_, body, _ = strings.Cut(string(b), "\r\n\r\n")
	return body, err
}

// TestEndOfUpstream guards against a response without a length that looks complete
// although its upstream reset the connection, and against one that is incomplete although
// the upstream closed it.
func TestEndOfUpstream(t *testing.T) {
	_, u, h := startForwarder(t)
	closed := startUpstream(t, respond(func(c *net.TCPConn) { _ = c.Close() }))
	c, err := dial(t, h, "u", closed)
	must.NoError(t, err)
	body, err := exchange(t, c)
	must.NoError(t, err)
	must.Eq(t, 100_000, len(body))
	must.SliceLen(t, 1, u.heads)
	must.StrHasPrefix(t, "HTTP/1.1 200 OK\r\n", u.heads[0])

	reset := startUpstream(t, respond(func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}))
	c, err = dial(t, h, "u", reset)
	must.NoError(t, err)
	_, err = exchange(t, c)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestObservedHead guards against a forwarder that observes an interim head alone, or none
// because the head is malformed.
func TestObservedHead(t *testing.T) {
	for _, sent := range []string{
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 000 Error\r\n",
	} {
		_, u, h := startForwarder(t)
		address := startUpstream(t, func(c *net.TCPConn) {
			for i := range len(sent) {
				_, _ = io.WriteString(c, sent[i:i+1])
			}
			_ = c.Close()
		})
		c, err := dial(t, h, "u", address)
		must.NoError(t, err)
		got, err := io.ReadAll(c)
		must.NoError(t, err)
		must.Eq(t, sent, string(got))
		must.Eq(t, []string{sent}, u.heads, must.Sprintf("%q", sent))
	}
}

// TestEndOfForwarder guards against a response that looks complete, or an upstream that
// looks crashed, because the forwarder ended.
func TestEndOfForwarder(t *testing.T) {
	_, _, h := startForwarder(t)
	sent := make(chan struct{})
	address := startUpstream(t, respond(func(c *net.TCPConn) {
		close(sent)
		// A connection that is garbage collected is closed, so keep this one.
		_, _ = io.Copy(io.Discard, c)
	}))
	c, err := dial(t, h, "u", address)
	must.NoError(t, err)
	go func() {
		<-sent
		// The kernel ends the connections of a killed process in this way.
		_ = c.Conn.(*net.TCPConn).CloseRead()
	}()
	_, err = exchange(t, c)
	var lost *LostError
	must.True(t, errors.As(err, &lost))
	must.False(t, errors.Is(err, io.EOF))
}

// TestRefusedTunnel guards against a forwarder whose refusal looks like its failure, so
// that it is asked no more, or like a connection.
func TestRefusedTunnel(t *testing.T) {
	s, _, h := startForwarder(t)
	var unreachable *UnreachableError
	_, err := dial(t, h, "refused", "127.0.0.1:1")
	must.True(t, errors.As(err, &unreachable))
	_, err = dial(t, h, "u", "127.0.0.1:1") // nothing listens there
	must.True(t, errors.As(err, &unreachable))
	s.Close()
	_, err = dial(t, h, "u", "127.0.0.1:1")
	must.Error(t, err)
	must.False(t, errors.As(err, &unreachable))
}

// TestAbandonedTunnel guards against an upstream that goes on with a request whose caller
// has left, since the end of the tunnel doesn't reach it.
func TestAbandonedTunnel(t *testing.T) {
	s, _, h, hijacked := startForwarderOf(t)
	ended := make(chan error, 1)
	address := startUpstream(t, func(c *net.TCPConn) {
		_, err := io.Copy(io.Discard, c)
		ended <- err
	})
	c, err := dial(t, h, "u", address)
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		select {
		case c := <-hijacked:
			return userTimeout(t, c) > 0
		default:
			return false
		}
	})), must.Sprint("kept for minutes if the daemon's host loses power"))
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
	must.NoError(t, err)
	must.NoError(t, c.SetLinger(0))
	must.NoError(t, c.Close())
	must.ErrorIs(t, <-ended, syscall.ECONNRESET)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.Open() == 0 })))
}

// TestTimeoutOfTunnel guards against a tunnel that can't be read after a read of it has
// timed out, also in the middle of a frame.
func TestTimeoutOfTunnel(t *testing.T) {
	_, _, h := startForwarder(t)
	more := make(chan struct{})
	address := startUpstream(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "a")
		<-more
		_, _ = io.WriteString(c, "b")
		_ = c.Close()
	})
	c, err := dial(t, h, "u", address)
	must.NoError(t, err)
	buf := make([]byte, 8)
	n, err := c.Read(buf)
	must.NoError(t, err)
	must.Eq(t, "a", string(buf[:n]))
	must.NoError(t, c.SetReadDeadline(time.Now()))
	_, err = c.Read(buf)
	var timeout net.Error
	must.True(t, errors.As(err, &timeout) && timeout.Timeout())
	must.NoError(t, c.SetReadDeadline(time.Time{}))
	close(more)
	rest, err := io.ReadAll(c)
	must.NoError(t, err)
	must.Eq(t, "b", string(rest))
}
