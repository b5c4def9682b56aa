package http1

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// lateConn is a connection whose read deadlines have passed when they are set.
type lateConn struct {
	*net.TCPConn
	deadlines int
}

// SetReadDeadline implements net.Conn.
func (c *lateConn) SetReadDeadline(time.Time) error {
	c.deadlines++
	return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// TestAwaitByteOfReset guards against a reset that looks like a close in order, and so like
// the end of a response without a length (issue 65), to a wait whose deadline has passed
// when the reset is there: a read that only peeks takes the error of a socket too.
func TestAwaitByteOfReset(t *testing.T) {
	for name, await := range map[string]func(c *Conn) (bool, error){
		"AwaitByte":   func(c *Conn) (bool, error) { return c.AwaitByte(time.Now().Add(-time.Millisecond)) },
		"AwaitByteOr": func(c *Conn) (bool, error) { return c.AwaitByteOr(nil, time.Now().Add(-time.Millisecond)) },
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		must.NoError(t, err)
		defer func() { _ = l.Close() }()
		c, err := pool().Get(context.Background(), "u", l.Addr().String(), true)
		must.NoError(t, err)
		defer c.Abort()
		peer, err := l.Accept()
		must.NoError(t, err)
		must.NoError(t, peer.(*net.TCPConn).SetLinger(0))
		must.NoError(t, peer.Close())
		time.Sleep(20 * time.Millisecond) // the reset arrives
		_, err = await(c)
		must.ErrorIs(t, err, syscall.ECONNRESET, must.Sprint(name))
	}
}

// TestLookPastDeadline guards against a wait that fails, in place of ending as a time-out,
// because the process got no processor until the time for a last look had passed as well.
func TestLookPastDeadline(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := pool().Get(context.Background(), "u", l.Addr().String(), true)
	must.NoError(t, err)
	defer c.Abort()
	late := &lateConn{TCPConn: c.Conn.(*net.TCPConn)}
	c.Conn = late
	timedOut, err := c.awaited(os.ErrDeadlineExceeded)
	must.NoError(t, err)
	must.True(t, timedOut)
	must.Eq(t, 1, late.deadlines)
}
