package relay_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/check/relay"
)

// TestCut guards against a cut that lets bytes through, that cuts the other
// direction as well, or that loses the bytes that it held.
func TestCut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	n := relay.New()
	defer n.Close()
	n.Node("self", os.Getpid())
	r, err := n.Listen("server", "")
	must.NoError(t, err)
	r.Target(l.Addr().String())
	c, err := net.Dial("tcp", r.Address())
	must.NoError(t, err)
	defer c.Close()
	s, err := l.Accept()
	must.NoError(t, err)
	defer s.Close()

	n.Cut("self", "server")
	_, err = c.Write([]byte("up"))
	must.NoError(t, err)
	_, err = s.Write([]byte("down"))
	must.NoError(t, err)
	b := make([]byte, 4)
	_, err = io.ReadFull(c, b)
	must.NoError(t, err)
	must.Eq(t, "down", string(b))
	// What was written into the cut must not arrive. The wait only bounds
	// how long a fault of the relay could go unnoticed.
	must.NoError(t, s.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = s.Read(b)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.NoError(t, s.SetReadDeadline(time.Time{}))
	n.Heal()
	_, err = io.ReadFull(s, b[:2])
	must.NoError(t, err)
	must.Eq(t, "up", string(b[:2]))
	must.Positive(t, n.Held())
}

// TestDown guards against a relay that hides the end of its target's process:
// callers tell a refused connection from a cut network.
func TestDown(t *testing.T) {
	n := relay.New()
	defer n.Close()
	r, err := n.Listen("server", "caller")
	must.NoError(t, err)
	r.Down()
	_, err = net.Dial("tcp", r.Address())
	must.ErrorIs(t, err, syscall.ECONNREFUSED)
}
