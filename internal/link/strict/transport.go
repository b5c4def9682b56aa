package strict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/link/head"
)

type (
	// Transport is an http.RoundTripper. Its error for a malformed head has a
	// *head.Error in its chain.
	Transport struct{ next *http.Transport }

	// conn checks the heads of the responses on a connection.
	conn struct {
		net.Conn

		mu    sync.Mutex
		heads head.Scanner
		// expecting is set from the first request on the connection on.
		expecting bool
	}

	// excerptError cuts the text of an error that may quote a whole line of a head.
	excerptError struct{ error }

	dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)
)

var (
	_ http.RoundTripper = (*Transport)(nil)
	_ error             = (*excerptError)(nil)
)

// New returns a Transport that has the settings of t. Connections with TLS are not
// checked.
func New(t *http.Transport) *Transport {
	next := t.Clone()
	dial := next.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	next.DialContext = checked(dial)
	return &Transport{next: next}
}

// checked returns a dialFunc whose connections are checked.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.expect()
			used = c
		}
	}}
	res, err := t.next.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return res, nil
	}
	if used != nil {
		// net/http may report the cut line as malformed instead.
		if malformed := used.malformed(); malformed != nil {
			return nil, malformed
		}
	}
	if event.Excerpt(err.Error()) != err.Error() {
		err = &excerptError{err}
	}
	return nil, err
}

// Error returns the beginning of the text.
func (e *excerptError) Error() string { return event.Excerpt(e.error.Error()) }

// Unwrap returns the error.
func (e *excerptError) Unwrap() error { return e.error }

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// expect prepares the connection for the response to the next request.
func (c *conn) expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads.Reset()
	c.expecting = true
}

// malformed returns the error of the present head, if it has been found to be malformed.
func (c *conn) malformed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads.Err()
}

// Read implements io.Reader. It withholds the bytes from the one at which a head is found
// to be malformed. Those before it are returned first: net/http sends a request again if
// its response fails without a byte.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.malformed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expecting {
		return n, err
	}
	if sound, malformed := c.heads.Scan(b[:n]); malformed != nil {
		return sound, malformed
	}
	return n, err
}
