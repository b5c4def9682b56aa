package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/check/relay"
)

// timedOut makes a call that ends by its timeout, and drops the connection as the
// gossip does then.
func timedOut(t *testing.T, c *Client, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	must.Error(t, c.Call(ctx, address, "Echo", "news", new(string)))
	c.Drop(address)
}

// newRelay returns the address of a relay to a peer, whose traffic can be cut.
func newRelay(t *testing.T) (*relay.Network, string) {
	t.Helper()
	n := relay.New()
	t.Cleanup(n.Close)
	r, err := n.Listen("peer", "self")
	must.NoError(t, err)
	r.SetTarget(serve(t, "secret"))
	return n, r.Address()
}

// startCall starts a call that lasts, and returns once the peer runs it.
func startCall(t *testing.T, c *Client, address string) (result chan error) {
	t.Helper()
	result = make(chan error, 1)
	go func() {
		var out string
		err := c.Call(t.Context(), address, "Wait", "load", &out)
		if err == nil && out != "load" {
			err = errors.New("wrong reply: " + out)
		}
		result <- err
	}()
	<-waiting
	return result
}

// TestDropKeepsCalls guards against a load that fails because another call to its peer
// has timed out while the peer paused.
func TestDropKeepsCalls(t *testing.T) {
	n, address := newRelay(t)
	c := NewClient([]byte("secret"), nil, new(Traffic))
	defer c.Close()
	result := startCall(t, c, address)
	n.Cut("peer", "self")
	timedOut(t, c, address)
	n.Heal()
	must.NoError(t, c.Call(t.Context(), address, "Echo", "news", new(string)))
	released <- struct{}{}
	must.NoError(t, <-result)
}

// TestDropEndsCalls guards against a call that waits until its own deadline on a
// connection that delivers nothing any more.
func TestDropEndsCalls(t *testing.T) {
	n, address := newRelay(t)
	c := NewClient([]byte("secret"), nil, new(Traffic))
	defer c.Close()
	result := startCall(t, c, address)
	n.Cut("peer", "self")
	timedOut(t, c, address)
	select {
	case err := <-result:
		var ce *CallError
		must.True(t, errors.As(err, &ce))
	case <-time.After(20 * time.Second):
		t.Fatal("the call still waits")
	}
	released <- struct{}{}
}
