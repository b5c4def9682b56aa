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
	// Traffic counts the bytes of control messages.
	Traffic struct{ Sent, Received atomic.Uint64 }

	// Client calls other daemons; it keeps one connection for each address.
	Client struct {
		secret  []byte
		tls     *tls.Config
		timeout time.Duration
		traffic *Traffic
		mu      sync.Mutex
		conns   map[string]*rpc.Client
	}

	// CallError reports a call that failed before its answer came; the peer
	// may have executed it.
	CallError struct {
		Address string
		Method  string
		Cause   error
	}

	countedConn struct {
		net.Conn
		t *Traffic
	}
)

// DialTimeout bounds the time to connect to a peer.
const DialTimeout = time.Second

// Error names the call and the cause.
func (e *CallError) Error() string {
	return "peer: " + e.Method + " at " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.Received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.Sent.Add(uint64(n))
	return n, err
}

// Conn returns c with its bytes counted by t.
func (t *Traffic) Conn(c net.Conn) net.Conn { return &countedConn{Conn: c, t: t} }

// NewClient returns a Client. tlsConf may be nil.
func NewClient(secret []byte, tlsConf *tls.Config, t *Traffic) *Client {
	return &Client{secret: secret, tls: tlsConf, timeout: DialTimeout, traffic: t, conns: map[string]*rpc.Client{}}
}

// Call calls a method of the peer at address and waits for its reply or for
// the end of ctx. After a transport error the connection is dropped. An error
// that the method itself returned has type rpc.ServerError; any other is a
// *CallError. reply must not be used after an error, because the answer may
// still arrive.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	cl, err := c.connect(ctx, address)
	if err != nil {
		return &CallError{Address: address, Method: method, Cause: err}
	}
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
	c.drop(address, cl)
	return &CallError{Address: address, Method: method, Cause: call.Error}
}

// Drop closes the connection to address, so that the next call dials anew. It
// is called when exchanges time out, since a cut network keeps a connection
// open without delivering anything.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	cl := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if cl != nil {
		_ = cl.Close()
	}
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

func (c *Client) drop(address string, cl *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == cl {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = cl.Close()
}

func (c *Client) connect(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	cl := c.conns[address]
	c.mu.Unlock()
	if cl != nil {
		return cl, nil
	}
	d := net.Dialer{Timeout: c.timeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if c.tls != nil {
		conn = tls.Client(conn, c.tls)
	}
	// A peer that is cut off takes the connection and never answers; the
	// handshake must not outlast the call.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = authenticate(conn, c.secret, true)
	if !stop() {
		err = merry.Wrap(ctx.Err())
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	cl = rpc.NewClient(c.traffic.Conn(conn))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = cl.Close()
		return other, nil
	}
	c.conns[address] = cl
	return cl, nil
}
