package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/check/golden"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/http1"
)

type (
	// tunnelEnd is how a tunnel ends whose upstream sends a response without a length.
	tunnelEnd struct {
		name string
		// start starts the forwarder and the upstream, and returns their addresses and
		// what the test does once the tunnel is open.
		start func(t *testing.T) (forwarder, upstream string, act func(c *Conn))
		// closed is set if the upstream has closed its connection in order.
		closed bool
	}

	// failingUpstreams connects to upstreams whose connections end with an error.
	failingUpstreams struct {
		testUpstreams
		err error
	}

	// failingConn sends a response and ends with an error.
	failingConn struct {
		net.Conn
		response string
		err      error
	}
)

const (
	opened = "HTTP/1.1 200 OK\r\n\r\n"
	// unframed is the beginning of a response that ends with its connection.
	unframed = "HTTP/1.1 200 OK\r\n\r\nab"
	// arrival is enough for bytes to arrive before the reset that follows them.
	arrival = 20 * time.Millisecond
)

func (u *failingUpstreams) Dial(context.Context, fleet.Upstream) (net.Conn, error) {
	return &failingConn{response: unframed, err: u.err}, nil
}

// Read implements net.Conn.
func (c *failingConn) Read(p []byte) (int, error) {
	if c.response == "" {
		time.Sleep(arrival)
		return 0, c.err
	}
	n := copy(p, c.response)
	c.response = c.response[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *failingConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (c *failingConn) Close() error { return nil }

// frame returns a frame.
func frame(kind byte, data string) string {
	return string([]byte{kind, byte(len(data) >> 8), byte(len(data))}) + data
}

func closeInOrder(c *net.TCPConn) { _ = c.Close() }

func closeToWrite(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

func reset(c *net.TCPConn) {
	time.Sleep(arrival)
	_ = c.SetLinger(0)
	_ = c.Close()
}

func keepOpen(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }

// byHand returns a start function with a forwarder that sends bytes and ends.
func byHand(sent string, end func(c *net.TCPConn)) func(t *testing.T) (forwarder, upstream string, act func(*Conn)) {
	return func(t *testing.T) (forwarder, upstream string, act func(*Conn)) {
		return startUpstream(t, func(c *net.TCPConn) {
			br := bufio.NewReader(c)
			for _, sent := range []string{opened, sent} {
				// The second one is the request to the upstream.
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(c, sent)
			}
			end(c)
		}), "127.0.0.1:1", nil
	}
}

// byServer returns a start function with a Server. The upstream goes on once during, if
// set, has returned.
func byServer(during func(s *Server, h *httptest.Server), end func(c *net.TCPConn)) func(t *testing.T) (forwarder, upstream string, act func(*Conn)) {
	return func(t *testing.T) (forwarder, upstream string, act func(*Conn)) {
		s, _, h := startForwarder(t)
		goOn := make(chan struct{})
		upstream = startUpstream(t, func(c *net.TCPConn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, unframed)
			<-goOn
			if during != nil {
				_, _ = io.WriteString(c, "c")
			}
			end(c)
		})
		return strings.TrimPrefix(h.URL, "http://"), upstream, func(*Conn) {
			if during != nil {
				during(s, h)
			}
			close(goOn)
		}
	}
}

// byFailure returns a start function with a Server whose connection to the upstream ends
// with an error.
func byFailure(err error) func(t *testing.T) (forwarder, upstream string, act func(*Conn)) {
	return func(t *testing.T) (forwarder, upstream string, act func(*Conn)) {
		h := httptest.NewServer(New(&failingUpstreams{err: err}, time.Now))
		t.Cleanup(h.Close)
		return strings.TrimPrefix(h.URL, "http://"), "127.0.0.1:1", nil
	}
}

// byDaemon returns a start function whose daemon ends the tunnel while it is read.
func byDaemon(end func(c *Conn)) func(t *testing.T) (forwarder, upstream string, act func(*Conn)) {
	return func(t *testing.T) (forwarder, upstream string, act func(*Conn)) {
		forwarder, upstream, _ = byHand(frame(frameData, unframed), keepOpen)(t)
		return forwarder, upstream, func(c *Conn) { time.AfterFunc(10*arrival, func() { end(c) }) }
	}
}

// socketError returns the error of a read whose connection ended with errno.
func socketError(errno syscall.Errno) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
}

// tunnelEnds are the ways in which a tunnel can end.
func tunnelEnds() []tunnelEnd {
	data := frame(frameData, unframed)
	ends := []tunnelEnd{
		{name: "upstream closes", start: byServer(nil, closeInOrder), closed: true},
		{name: "upstream stops writing", start: byServer(nil, closeToWrite), closed: true},
		{name: "upstream resets", start: byServer(nil, reset)},
		{name: "Server closed, upstream goes on and closes", start: byServer(func(s *Server, _ *httptest.Server) { s.Close() }, closeInOrder), closed: true},
		{name: "Server closed, upstream goes on and resets", start: byServer(func(s *Server, _ *httptest.Server) { s.Close() }, reset)},
		{name: "listener of the forwarder closed, upstream goes on and closes", start: byServer(func(_ *Server, h *httptest.Server) { _ = h.Config.Close() }, closeInOrder), closed: true},
		{name: "forwarder's read: ETIMEDOUT", start: byFailure(socketError(syscall.ETIMEDOUT))},
		{name: "forwarder's read: EHOSTUNREACH", start: byFailure(socketError(syscall.EHOSTUNREACH))},
		{name: "forwarder's read: EPIPE", start: byFailure(socketError(syscall.EPIPE))},
		{name: "forwarder's read: deadline", start: byFailure(os.ErrDeadlineExceeded)},
		{name: "forwarder's read: closed by the forwarder", start: byFailure(net.ErrClosed)},
		{name: "forwarder's read: unexpected EOF", start: byFailure(io.ErrUnexpectedEOF)},
		{name: "daemon resets", start: byDaemon(func(c *Conn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		})},
		{name: "daemon stops reading", start: byDaemon(func(c *Conn) { _ = c.Conn.(*net.TCPConn).CloseRead() })},
		{name: "daemon's deadline", start: byDaemon(func(c *Conn) { _ = c.SetDeadline(time.Unix(1, 0)) })},
		{name: "frame of kind 0", start: byHand(data+frame(0, "")+frame(frameClosed, ""), keepOpen)},
		{name: "frame of kind 4", start: byHand(data+frame(4, "x")+frame(frameClosed, ""), keepOpen)},
		{name: "frame closed, connection open", start: byHand(data+frame(frameClosed, ""), keepOpen), closed: true},
		{name: "frame closed, data after it", start: byHand(data+frame(frameClosed, "")+frame(frameData, "c"), closeInOrder), closed: true},
		{name: "empty data, frame closed", start: byHand(data+frame(frameData, "")+frame(frameClosed, ""), closeInOrder), closed: true},
		{name: "frame reset, connection open", start: byHand(data+frame(frameReset, ""), keepOpen)},
		{name: "frame reset, frame closed", start: byHand(data+frame(frameReset, "")+frame(frameClosed, ""), closeInOrder)},
	}
	for _, cut := range []struct{ name, sent string }{
		{"between frames", data},
		{"after an empty frame", data + frame(frameData, "")},
		{"after 1 byte of a header", data + frame(frameData, "")[:1]},
		{"after 2 bytes of a header", data + frame(frameData, "")[:2]},
		{"after 2 bytes of the header of frame closed", data + frame(frameClosed, "")[:2]},
		{"after a header", data + frame(frameData, "cd")[:headerBytes]},
		{"within a frame", data + frame(frameData, "cd")[:headerBytes+1]},
	} {
		ends = append(ends,
			tunnelEnd{name: "forwarder closes " + cut.name, start: byHand(cut.sent, closeInOrder)},
			tunnelEnd{name: "forwarder stops writing " + cut.name, start: byHand(cut.sent, closeToWrite)},
			tunnelEnd{name: "forwarder resets " + cut.name, start: byHand(cut.sent, reset)},
		)
	}
	return ends
}

// openTunnel opens the tunnel of an end and sends a request on it.
func (e *tunnelEnd) openTunnel(t *testing.T) *Conn {
	t.Helper()
	forwarder, upstream, act := e.start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	c, err := Dial(ctx, forwarder, "u", upstream)
	cancel() // a tunnel outlives the context of its Dial
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	if act != nil {
		act(c)
	}
	return c
}

// describe returns the type and the text of the error of a read.
func describe(c *Conn, err error) string {
	var lost *LostError
	var timeout net.Error
	kind := "other"
	switch {
	case errors.Is(err, io.EOF):
		kind = "io.EOF"
	case errors.As(err, &lost):
		kind = "LostError"
	case errors.Is(err, syscall.ECONNRESET):
		kind = "ECONNRESET"
	case errors.As(err, &timeout) && timeout.Timeout():
		kind = "timeout"
	}
	return kind + ": " + strings.NewReplacer(c.Forwarder(), "F", c.LocalAddr().String(), "D").Replace(err.Error())
}

// readToEnd reads until a read fails.
func readToEnd(c *Conn) (data string, err error) {
	var b strings.Builder
	for buf := make([]byte, 8); ; {
		n, err := c.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			return b.String(), err
		}
	}
}

// TestTunnelEnds guards against a response without a length that looks complete although
// its upstream has not closed the connection, for each way in which a tunnel can end
// (issue 65), also if the read is repeated.
func TestTunnelEnds(t *testing.T) {
	var b strings.Builder
	for _, e := range tunnelEnds() {
		c := e.openTunnel(t)
		data, err := readToEnd(c)
		end := describe(c, err)
		must.Eq(t, e.closed, errors.Is(err, io.EOF), must.Sprint(e.name, ": ", end))
		_, err = c.Read(make([]byte, 1))
		must.Eq(t, e.closed, errors.Is(err, io.EOF), must.Sprint(e.name, ", second read: ", err))
		fmt.Fprintf(&b, "%s\n  %q\n  %s\n  again: %s\n", e.name, strings.TrimPrefix(data, opened), end, describe(c, err))

		c = e.openTunnel(t)
		pool := http1.New(http1.Settings{DialTimeout: time.Second, Dial: func(context.Context, string, string) (net.Conn, error) { return c, nil }}, time.Now)
		conn, err := pool.Get(t.Context(), "u", "", true)
		must.NoError(t, err)
		res, err := conn.ReadResponse(http.MethodGet)
		must.NoError(t, err)
		body, err := io.ReadAll(res.Body)
		must.Eq(t, e.closed, err == nil, must.Sprint(e.name, ", body: ", err))
		must.Eq(t, strings.TrimPrefix(data, opened), string(body), must.Sprint(e.name))
	}
	golden.Check(t, "ends.golden", b.String())
}

// TestAnswerToConnect guards against a tunnel that opens although the forwarder hasn't
// answered with status 200 (issue 61), and against frames that are read from such an answer.
func TestAnswerToConnect(t *testing.T) {
	var b strings.Builder
	for _, a := range []struct {
		answer string
		opens  bool
	}{
		{answer: opened, opens: true},
		{answer: "HTTP/1.1 000 Error\r\n\r\n"},
		{answer: "HTTP/1.1 000 Error\r\n\r\n" + opened},
		{answer: "HTTP/1.1 000 Error\r\nContent-Length: 19\r\n\r\n" + opened},
		{answer: "HTTP/1.1 099 Error\r\n\r\n" + opened},
		{answer: "HTTP/1.1 100 Continue\r\n\r\n" + opened},
		{answer: "HTTP/1.1 100 Continue\r\nContent-Length: 19\r\n\r\n" + opened},
		{answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + opened},
		{answer: "HTTP/1.1 103 Early Hints\r\n\r\n" + opened},
		{answer: "HTTP/1.1 201 Created\r\n\r\n" + opened},
		{answer: "HTTP/1.1 204 No Content\r\n\r\n" + opened},
		{answer: "HTTP/1.1 600 Error\r\n\r\n" + opened},
		{answer: "HTTP/1.1 999 Error\r\n\r\n"},
		{answer: "HTTP/1.1 -20 Error\r\n\r\n" + opened},
		{answer: "HTTP/1.1 0200 OK\r\n\r\n"},
		{answer: "HTTP/1.1 20 OK\r\n\r\n"},
		{answer: "HTTP/1.1 502 Bad Gateway\r\nRefused-For: leaving\r\n\r\n"},
		{answer: "HTTP/1.1 503 Service Unavailable\r\nRefused-For: stopping or full\r\n\r\n"},
		{answer: "HTTP/1.1 200 OK\r\n"},
		{answer: "\r\n" + opened},
	} {
		forwarder := startUpstream(t, func(c *net.TCPConn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, a.answer+frame(frameData, unframed)+frame(frameClosed, ""))
			closeToWrite(c)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		c, err := Dial(ctx, forwarder, "u", "127.0.0.1:1")
		cancel()
		must.Eq(t, a.opens, err == nil, must.Sprintf("%q: %v", a.answer, err))
		end := "opens"
		if err != nil {
			var lost *LostError
			var unreachable *UnreachableError
			end = fmt.Sprintf("LostError %t, UnreachableError %t: %q", errors.As(err, &lost), errors.As(err, &unreachable),
				strings.ReplaceAll(err.Error(), forwarder, "F"))
		} else {
			_ = c.Close()
		}
		fmt.Fprintf(&b, "%q\n  %s\n", a.answer, end)
	}
	golden.Check(t, "connect-answers.golden", b.String())
}
