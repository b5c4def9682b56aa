package hosts

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/link/rest"
)

type (
	// Client calls the host list service. It is safe for concurrent use. A
	// zero Timeout or MaxBytes selects the default.
	Client struct {
		// Base is the URL of the service without a path.
		Base string
		HTTP *http.Client
		// Timeout limits a call; the default is 3 s.
		Timeout time.Duration
		// MaxBytes limits the body of a response; the default is 1 MiB.
		MaxBytes int64
	}

	// Error is a failed call of the host list service.
	Error struct {
		// Missing is set if the service currently has no list.
		Missing bool
		// Malformed is set if the response violates the protocol.
		Malformed bool
		// Status is the HTTP status code, 0 without a response.
		Status int
		Err    error
	}
)

const (
	defaultTimeout  = 3 * time.Second
	defaultMaxBytes = 1 << 20
)

var _ error = (*Error)(nil)

// Error returns the status and the cause.
func (e *Error) Error() string {
	switch {
	case e.Missing:
		return fmt.Sprintf("host list is missing (status %d)", e.Status)
	case e.Malformed:
		return "host list is malformed: " + e.Err.Error()
	case e.Err != nil:
		return "host list is unreachable: " + e.Err.Error()
	}
	return fmt.Sprintf("host list was refused (status %d)", e.Status)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a Client of the service at base, such as http://127.0.0.1:7400.
// It uses hc, or an HTTP client of its own if hc is nil.
func New(base string, hc *http.Client) *Client {
	return &Client{Base: base, HTTP: rest.NewClient(hc)}
}

// List returns the host list. The error is an *Error.
func (c *Client) List(ctx context.Context) (List, error) {
	timeout, call := c.Timeout, rest.Call{Method: http.MethodGet, URL: c.Base + "/hosts", Limit: c.MaxBytes}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if call.Limit <= 0 {
		call.Limit = defaultMaxBytes
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := call.Do(ctx, c.HTTP)
	var re *rest.Error
	switch {
	case errors.As(err, &re):
		return List{}, &Error{Malformed: re.TooLarge, Err: re}
	case reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusNotFound:
		return List{}, &Error{Missing: true, Status: reply.Status}
	case reply.Status != http.StatusOK:
		return List{}, &Error{Status: reply.Status}
	}
	l, err := decodeList(reply.Body)
	if err != nil {
		return List{}, &Error{Malformed: true, Status: reply.Status, Err: err}
	}
	return l, nil
}
