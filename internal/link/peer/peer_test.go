package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"testing"

	"github.com/shoenig/test/must"
)

// echo is the receiver of the test server.
type echo struct{}

// refusal is the error of a method.
type refusal struct{}

func (refusal) Error() string { return "refused under test" }

func (echo) Echo(in string, out *string) error {
	if in == "" {
		return refusal{}
	}
	*out = in
	return nil
}

func (echo) Block(_ string, _ *string) error { select {} }

// waiting receives a value when Wait is called, and released lets it return.
var waiting, released = make(chan struct{}), make(chan struct{})

func (echo) Wait(in string, out *string) error {
	waiting <- struct{}{}
	<-released
	*out = in
	return nil
}

func serve(t *testing.T, secret string) string {
	t.Helper()
	s, err := NewServer([]byte(secret), nil, echo{}, new(Traffic))
	must.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(t.Context(), l) }()
	return l.Addr().String()
}

// TestCall guards against calls that are served without the shared secret, and
// against a call that outlives its context.
func TestCall(t *testing.T) {
	addr := serve(t, "right")
	traffic := new(Traffic)
	c := NewClient([]byte("right"), nil, traffic)
	defer c.Close()
	var out string
	must.NoError(t, c.Call(t.Context(), addr, "Echo", "hello", &out))
	must.Eq(t, "hello", out)
	must.Positive(t, traffic.Sent.Load())

	var se rpc.ServerError
	must.True(t, errors.As(c.Call(t.Context(), addr, "Echo", "", &out), &se))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var ce *CallError
	must.True(t, errors.As(c.Call(ctx, addr, "Block", "", new(string)), &ce))

	wrong := NewClient([]byte("wrong"), nil, traffic)
	defer wrong.Close()
	must.True(t, errors.As(wrong.Call(t.Context(), addr, "Echo", "hello", &out), &ce))
}

// TestHandshakeEnds guards against a call that, after its context has ended,
// still waits for the handshake with a peer that never responds.
func TestHandshakeEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		// The first byte of the handshake shows that the dial has succeeded.
		_, _ = c.Read(make([]byte, 1))
		cancel()
		<-t.Context().Done()
	}()
	c := NewClient([]byte("right"), nil, new(Traffic))
	defer c.Close()
	must.ErrorIs(t, c.Call(ctx, l.Addr().String(), "Echo", "hello", new(string)), context.Canceled)
}
