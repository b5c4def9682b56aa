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

// TestCut guards against a cut that delivers bytes, that affects the opposite
// direction, or that loses the bytes it held back.
func TestCut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	n := relay.New()
	defer n.Close()
	n.RegisterProcess("self", os.Getpid())
	r, err := n.Listen("server", "")
	must.NoError(t, err)
	r.SetTarget(l.Addr().String())
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
	// Bytes in the cut direction must not arrive. A longer wait would only
	// detect a relay that delivers them later.
	must.NoError(t, s.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = s.Read(b)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.NoError(t, s.SetReadDeadline(time.Time{}))
	n.Heal()
	_, err = io.ReadFull(s, b[:2])
	must.NoError(t, err)
	must.Eq(t, "up", string(b[:2]))
	must.Positive(t, n.HoldCount())
}

// TestDown guards against a relay that accepts connections after the end of its
// target's process, because callers treat a refused connection and a cut network
// differently.
func TestDown(t *testing.T) {
	n := relay.New()
	defer n.Close()
	r, err := n.Listen("server", "caller")
	must.NoError(t, err)
	r.Down()
	_, err = net.Dial("tcp", r.Address())
	must.ErrorIs(t, err, syscall.ECONNREFUSED)
}
