package relay

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/http1"
)

// suspendedConn delays the first wait after event 2 until its deadline has passed, as a
// suspension of the process does.
type suspendedConn struct {
	*net.TCPConn
	due atomic.Bool
}

// Read implements net.Conn.
func (c *suspendedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if bytes.Contains(p[:n], []byte("id: 2")) {
		c.due.Store(true)
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *suspendedConn) SetReadDeadline(at time.Time) error {
	if wait := time.Until(at); wait > 0 && c.due.CompareAndSwap(true, false) {
		time.Sleep(wait + time.Millisecond)
	}
	return c.TCPConn.SetReadDeadline(at)
}

// TestResetDuringSuspension guards against a stream that looks complete although its
// upstream reset the connection, because the daemon's process didn't run from then until
// the stream had been silent for too long (issue 65).
func TestResetDuringSuspension(t *testing.T) {
	e := streamEnd{response: unframed(unframedStream, 2), reset: true}
	f, us := newEndsFixture(t, route(fleet.Stream, 1, false), e)
	f.relay.pool = http1.New(http1.Settings{DialTimeout: time.Second, Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := http1.DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return &suspendedConn{TCPConn: c.(*net.TCPConn)}, nil
	}}, time.Now)
	must.StrNotContains(t, take(t, f, us, nil), "whole")
}
