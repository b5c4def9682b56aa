package rest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/azurespan/azurespan/internal/link/strict"
)

type (
	// Call is one HTTP request.
	Call struct {
		Method string
		URL    string
		Header http.Header
		// Body is sent as JSON unless it is nil.
		Body []byte
		// Limit is the maximum size of the response body, in bytes.
		Limit int64
	}

	// Reply is a complete response.
	Reply struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Error is a call without a complete response.
	Error struct {
		// Reached is false only if the server can't have received the
		// request.
		Reached bool
		// TooLarge is set if the response exceeds the limit.
		TooLarge bool
		Err      error
	}
)

const (
	// dialTimeout limits the time to connect; all servers are in the same
	// network.
	dialTimeout = 2 * time.Second
	// maxIdlePerHost allows the reuse of connections to the few servers that
	// a daemon calls often. It needs at most one for each concurrent stream.
	maxIdlePerHost = 64
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = time.Minute
)

var _ error = (*Error)(nil)

// Error returns the cause.
func (e *Error) Error() string {
	if e.Reached {
		return "no complete response: " + e.Err.Error()
	}
	return "request not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NewClient returns a copy of hc that follows no redirects, because the services
// send none, and rejects responses with a malformed head. If hc is nil or has no
// Transport, the client uses no proxy.
func NewClient(hc *http.Client) *http.Client {
	c := http.Client{}
	if hc != nil {
		c = *hc
	}
	switch t := c.Transport.(type) {
	case nil:
		c.Transport = strict.New(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
		})
	case *http.Transport:
		c.Transport = strict.New(t)
	}
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &c
}

// Open sends the call and returns when the header of the response has arrived.
// The caller closes the body. The error is an *Error.
func (c *Call) Open(ctx context.Context, hc *http.Client) (*http.Response, error) {
	var reached atomic.Bool
	// A request whose headers were not completely written has no effect.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { reached.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, nil)
	if err != nil {
		return nil, &Error{Err: err}
	}
	// net/http automatically retries a request with an Idempotency-Key if it
	// can rewind the body. A body without GetBody, even an empty one, prevents
	// this, so that a non-idempotent call isn't executed twice.
	if c.Body != nil || c.Method != http.MethodGet {
		req.Body = io.NopCloser(bytes.NewReader(c.Body))
		req.ContentLength = int64(len(c.Body))
	}
	for k, v := range c.Header {
		req.Header[k] = v
	}
	if c.Body != nil && req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := hc.Do(req)
	if err != nil {
		return nil, &Error{Reached: reached.Load(), Err: err}
	}
	return resp, nil
}

// Do sends the call and reads the whole response, whatever its status. The
// error is an *Error.
func (c *Call) Do(ctx context.Context, hc *http.Client) (Reply, error) {
	resp, err := c.Open(ctx, hc)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, c.Limit+1))
	if err != nil {
		return Reply{}, &Error{Reached: true, Err: err}
	}
	if int64(len(b)) > c.Limit {
		return Reply{}, &Error{Reached: true, TooLarge: true, Err: fmt.Errorf("response body exceeds %d bytes", c.Limit)}
	}
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: b}, nil
}
