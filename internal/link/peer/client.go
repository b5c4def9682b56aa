package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

type (
	// Traffic counts the bytes sent and received in control messages.
	Traffic struct{ Sent, Received atomic.Uint64 }

	// Client calls other daemons. It keeps one connection for each address and
	// is safe for concurrent use.
	Client struct {
		secret      []byte
		tls         *tls.Config
		dialTimeout time.Duration
		traffic     *Traffic
		mu          sync.Mutex
		conns       map[string]*clientConn
	}

	// clientConn is a connection to a peer.
	clientConn struct {
		*rpc.Client
		// calls is the number of calls in progress, received that of the bytes
		// received.
		calls    atomic.Int64
		received *atomic.Uint64
	}

	// CallError reports a call that failed before its reply arrived. The peer
	// may have executed it.
	CallError struct {
		Address string
		Method  string
		Cause   error
	}

	// countingConn counts its bytes in traffic, and those received also in
	// received.
	countingConn struct {
		net.Conn
		traffic  *Traffic
		received atomic.Uint64
	}
)

const (
	// DialTimeout limits the time to connect to a peer.
	DialTimeout = time.Second
	// dropTimeout is how long a dropped connection may deliver nothing before its
	// calls fail. A peer that only paused has sent its overdue replies by then.
	dropTimeout = 3 * time.Second
)

// Error names the call and the cause.
func (e *CallError) Error() string {
	return "peer: " + e.Method + " at " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(uint64(n))
	c.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}

// Conn returns a connection that wraps c and adds its bytes to t.
func (t *Traffic) Conn(c net.Conn) net.Conn { return &countingConn{Conn: c, traffic: t} }

// NewClient returns a Client that counts its bytes in t. Connections are not
// encrypted if tlsConf is nil.
func NewClient(secret []byte, tlsConf *tls.Config, t *Traffic) *Client {
	return &Client{secret: secret, tls: tlsConf, dialTimeout: DialTimeout, traffic: t, conns: map[string]*clientConn{}}
}

// Call calls a method of the peer at address and waits for its reply or for the
// end of ctx. After a transport error the connection is closed. An error
// returned by the method itself has type rpc.ServerError; any other is a
// *CallError. reply must not be used after an error, because it may still be
// written when a late reply arrives.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	cl, err := c.connect(ctx, address)
	if err != nil {
		return &CallError{Address: address, Method: method, Cause: err}
	}
	cl.calls.Add(1)
	defer cl.calls.Add(-1)
	call := cl.Go("Peer."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return &CallError{Address: address, Method: method, Cause: ctx.Err()}
	case <-call.Done:
	}
	var se rpc.ServerError
	if call.Error == nil || errors.As(call.Error, &se) {
		return call.Error
	}
	c.removeConn(address, cl)
	return &CallError{Address: address, Method: method, Cause: call.Error}
}

// Drop makes the next call to address open a new connection. It is called when
// exchanges time out, because a connection stays open during a network partition
// without delivering anything. Calls in progress fail if the former connection delivers
// nothing for dropTimeout; else they go on, because the peer has only paused.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	cl := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if cl == nil {
		return
	}
	before := cl.received.Load()
	time.AfterFunc(dropTimeout, func() { closeDropped(cl, before) })
}

// closeDropped closes a dropped connection unless it has delivered bytes beyond those
// before, and waits for its calls if it has.
func closeDropped(cl *clientConn, before uint64) {
	if cl.received.Load() > before && cl.calls.Load() > 0 {
		time.AfterFunc(dropTimeout, func() { closeDropped(cl, before) })
		return
	}
	_ = cl.Close() // it may have failed already
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, cl := range c.conns {
		_ = cl.Close()
		delete(c.conns, a)
	}
}

func (c *Client) removeConn(address string, cl *clientConn) {
	c.mu.Lock()
	if c.conns[address] == cl {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = cl.Close()
}

func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	cl := c.conns[address]
	c.mu.Unlock()
	if cl != nil {
		return cl, nil
	}
	d := net.Dialer{Timeout: c.dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if c.tls != nil {
		conn = tls.Client(conn, c.tls)
	}
	// A peer may accept the connection but, because of a network partition,
	// never respond. The handshake must not outlast the call.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = authenticate(conn, c.secret, true)
	if !stop() {
		err = merry.Wrap(ctx.Err())
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	counting := &countingConn{Conn: conn, traffic: c.traffic}
	cl = &clientConn{Client: rpc.NewClient(counting), received: &counting.received}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = cl.Close()
		return other, nil
	}
	c.conns[address] = cl
	return cl, nil
}
