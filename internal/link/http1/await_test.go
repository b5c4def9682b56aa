package http1

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestAwaitByteAfterSuspension guards against reporting a timeout although a byte has
// arrived, as after a suspension of the process: the caller would take a sound upstream
// for silent.
func TestAwaitByteAfterSuspension(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	pool := New(Settings{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerUpstream: 1}, time.Now)
	c, err := pool.Get(context.Background(), "u", l.Addr().String(), true)
	must.NoError(t, err)
	peer, err := l.Accept()
	must.NoError(t, err)
	passed := time.Now()
	timedOut, err := c.AwaitByte(passed)
	must.NoError(t, err)
	must.True(t, timedOut)
	_, err = io.WriteString(peer, "x")
	must.NoError(t, err)
	for isQuiet(t, c) {
		time.Sleep(time.Millisecond)
	}
	timedOut, err = c.AwaitByte(passed)
	must.NoError(t, err)
	must.False(t, timedOut)
	// The end of the connection isn't a timeout either.
	_, err = c.br.Discard(1)
	must.NoError(t, err)
	must.NoError(t, peer.Close())
	for isQuiet(t, c) {
		time.Sleep(time.Millisecond)
	}
	_, err = c.AwaitByte(passed)
	must.ErrorIs(t, err, io.EOF)
}
