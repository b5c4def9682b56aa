package tunnel

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// zeros is an endless stream of bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestResetWhileRequestIsSent guards against a response without a length that looks
// complete although its upstream reset the connection: a write of the request may take the
// error that the read would have returned.
func TestResetWhileRequestIsSent(t *testing.T) {
	_, _, h := startForwarder(t)
	sent := make(chan struct{})
	address := startUpstream(t, func(c *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, unframed)
		// The forwarder doesn't read the reset while the daemon takes nothing.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(c, zeros{})
		reset(c)
		close(sent)
	})
	c, err := dial(t, h, "u", address)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
	must.NoError(t, err)
	<-sent
	_, err = io.WriteString(c, "x")
	must.NoError(t, err)
	time.Sleep(arrival)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = readToEnd(c)
	must.False(t, errors.Is(err, io.EOF), must.Sprint("the reset looks like a close in order"))
}

// TestTimedOutForwarder guards against an upstream that looks crashed because the host of
// the forwarder acknowledges nothing: the error of TCP_USER_TIMEOUT isn't that of a deadline.
func TestTimedOutForwarder(t *testing.T) {
	c := &Conn{forwarder: "f"}
	var lost *LostError
	must.False(t, errors.As(c.lost(os.ErrDeadlineExceeded), &lost))
	must.True(t, errors.As(c.lost(socketError(syscall.ETIMEDOUT)), &lost), must.Sprint("not a LostError"))
}

// TestCopyOfTunnel guards against a copy that hands on frames, and takes the end of the
// forwarder for that of the upstream, since it uses a method of the TCP connection.
func TestCopyOfTunnel(t *testing.T) {
	e := tunnelEnd{start: byHand(frame(frameData, unframed), closeInOrder)}
	var b strings.Builder
	_, err := io.Copy(&b, e.openTunnel(t))
	var lost *LostError
	must.True(t, errors.As(err, &lost), must.Sprintf("%q, %v", b.String(), err))
	must.Eq(t, unframed, b.String())
}
