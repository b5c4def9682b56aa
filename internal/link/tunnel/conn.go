package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/link/http1"
)

type (
	// Conn is a connection to an upstream through a forwarder.
	Conn struct {
		// Conn leads to the forwarder. Its other methods would hand on frames.
		net.Conn
		forwarder string
		br        *bufio.Reader
		// left is the number of bytes of the present frame that haven't been read,
		// and end is set once the last frame has been.
		left int
		end  error
	}

	// UnreachableError states that the forwarder couldn't connect to the upstream or
	// may not send to it.
	UnreachableError struct{ Forwarder, Reason string }

	// LostError states that the connection to the forwarder ended, which says nothing
	// about the upstream.
	LostError struct {
		Forwarder string
		Cause     error
	}
)

// Kinds of frames.
const (
	frameData = iota + 1
	// frameClosed and frameReset end a tunnel as the upstream ended its connection.
	frameClosed
	frameReset
)

const (
	headerBytes = 3
	// maxFrameBytes is the most data of one frame, so that a frame with its header
	// fills a page.
	maxFrameBytes = 4<<10 - headerBytes
	// idHeader names the upstream.
	idHeader = "Upstream-Id"
	// reasonHeader says why the forwarder refused.
	reasonHeader = "Refused-For"
)

var _ http1.OneRequest = (*Conn)(nil)

// Error implements error.
func (e *UnreachableError) Error() string {
	return "forwarder " + e.Forwarder + " does not reach the upstream: " + e.Reason
}

// Error implements error.
func (e *LostError) Error() string {
	return "connection to forwarder " + e.Forwarder + " lost: " + e.Cause.Error()
}

// Dial connects to the upstream with an ID at an address through a forwarder. It fails
// with an UnreachableError if the forwarder answers that it doesn't reach the upstream.
func Dial(ctx context.Context, forwarder, id, address string) (*Conn, error) {
	nc, err := http1.DialTCP(ctx, forwarder)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	c := &Conn{Conn: nc, forwarder: forwarder, br: bufio.NewReaderSize(nc, headerBytes+maxFrameBytes)}
	if err := c.connect(ctx, id, address); err != nil {
		_ = c.Close() // the error of connect is reported
		return nil, err
	}
	return c, nil
}

// connect asks the forwarder for the connection to the upstream.
func (c *Conn) connect(ctx context.Context, id, address string) error {
	if at, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(at); err != nil {
			return merry.Wrap(err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	_, err := fmt.Fprintf(c.Conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", address, address, idHeader, id)
	if err != nil {
		stop()
		return merry.Wrap(err)
	}
	res, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodConnect})
	if !stop() && err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		return merry.Wrap(err)
	case res.StatusCode == http.StatusBadGateway:
		return &UnreachableError{c.forwarder, res.Header.Get(reasonHeader)}
	case res.StatusCode != http.StatusOK:
		return merry.Wrap(&LostError{c.forwarder, errors.New("status " + strconv.Itoa(res.StatusCode) + ", " + res.Header.Get(reasonHeader))})
	}
	return merry.Wrap(c.SetDeadline(time.Time{}))
}

// OneRequest implements http1.OneRequest.
func (c *Conn) OneRequest() {}

// Forwarder returns the address of the forwarder.
func (c *Conn) Forwarder() string { return c.forwarder }

// SetLinger is that of a TCP connection.
func (c *Conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// Read reads data of the upstream. It returns io.EOF or ECONNRESET if the upstream has
// closed or reset the connection, and a LostError if the forwarder has.
func (c *Conn) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.end != nil {
			return 0, c.end
		}
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.br.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, c.lost(err)
}

// readHeader reads the header of the next frame. After a timeout it can be called again.
func (c *Conn) readHeader() error {
	h, err := c.br.Peek(headerBytes)
	if err != nil {
		return c.lost(err)
	}
	kind, size := h[0], int(binary.BigEndian.Uint16(h[1:]))
	_, _ = c.br.Discard(headerBytes) // they are buffered
	switch kind {
	case frameData:
		c.left = size
	case frameClosed:
		c.end = io.EOF
	case frameReset:
		c.end = &net.OpError{Op: "read", Net: "tunnel", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	default:
		c.end = &LostError{c.forwarder, fmt.Errorf("frame of unknown kind %d", kind)}
	}
	return nil
}

// lost returns the error of a read from the forwarder: that of a deadline as it is, the end
// of its connection as a LostError.
func (c *Conn) lost(err error) error {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return &LostError{c.forwarder, err}
}
