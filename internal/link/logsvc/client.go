package logsvc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/azurespan/azurespan/internal/link/rest"
)

// Client calls the log service. It is safe for concurrent use. A zero Timeout
// or MaxBytes selects the default.
type Client struct {
	// Base is the URL of the service without a path.
	Base string
	HTTP *http.Client
	// Timeout limits a call, excluding the wait of a long poll; the default
	// is 5 s.
	Timeout time.Duration
	// MaxBytes limits the body of a response; the default is 8 MiB.
	MaxBytes int64
}

const (
	defaultTimeout  = 5 * time.Second
	defaultMaxBytes = 8 << 20
	// maxAppendBytes limits the data of one append.
	maxAppendBytes = 1 << 20
	// maxRetryAfterSeconds limits the delay taken from a response.
	maxRetryAfterSeconds = 3600
)

// New returns a Client of the service at base, such as http://127.0.0.1:7400.
// It uses hc, or an HTTP client of its own if hc is nil.
func New(base string, hc *http.Client) *Client {
	return &Client{Base: base, HTTP: rest.NewClient(hc)}
}

// Append atomically appends records to a stream. It returns the offset of the
// first record and the time of the append by the log's clock, in milliseconds
// since 1970. The error is an *Error.
func (c *Client) Append(ctx context.Context, stream string, data ...[]byte) (first uint64, timeMS int64, err error) {
	fail := func(kind Kind, err error) error {
		return &Error{Kind: kind, Op: "append", Stream: stream, Err: err}
	}
	size := 0
	for _, d := range data {
		size += len(d)
	}
	if len(data) == 0 || size > maxAppendBytes {
		return 0, 0, fail(BadCall, fmt.Errorf("append of %d records with %d bytes; need at least 1 record and at most %d bytes", len(data), size, maxAppendBytes))
	}
	b, err := json.Marshal(map[string][][]byte{"records": data})
	if err != nil {
		return 0, 0, fail(BadCall, err)
	}
	reply, err := c.do(ctx, "append", stream, c.timeout(), rest.Call{Method: http.MethodPost, URL: c.url(stream), Body: b})
	if err != nil {
		return 0, 0, err
	}
	var out struct {
		First  uint64 `json:"first-offset"`
		TimeMS int64  `json:"time-ms"`
	}
	err = json.Unmarshal(reply, &out)
	if err == nil && (out.First == 0 || out.TimeMS <= 0) {
		err = errors.New("response has no offset or no time")
	}
	if err != nil {
		return 0, 0, &Error{Kind: BadAnswer, Op: "append", Stream: stream, Status: http.StatusOK, Ambiguous: true, Err: err}
	}
	return out.First, out.TimeMS, nil
}

// Read returns up to limit records of a stream, starting at offset from. If
// there are none, it waits up to wait for the next append. Records below
// Page.Oldest have been dropped by retention. The error is an *Error.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	q := url.Values{
		"from": {strconv.FormatUint(from, 10)}, "max": {strconv.Itoa(limit)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	reply, err := c.do(ctx, "read", stream, wait+c.timeout(), rest.Call{Method: http.MethodGet, URL: c.url(stream) + "?" + q.Encode()})
	if err != nil {
		return Page{}, err
	}
	p, err := decodePage(reply, from, limit)
	if err != nil {
		return Page{}, &Error{Kind: BadAnswer, Op: "read", Stream: stream, Status: http.StatusOK, Err: err}
	}
	return p, nil
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

func (c *Client) url(stream string) string {
	return c.Base + "/streams/" + url.PathEscape(stream) + "/records"
}

// do sends a call and returns the body of a 200 response.
func (c *Client) do(ctx context.Context, op, stream string, timeout time.Duration, call rest.Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if call.Limit = c.MaxBytes; call.Limit <= 0 {
		call.Limit = defaultMaxBytes
	}
	e := &Error{Op: op, Stream: stream}
	reply, err := call.Do(ctx, c.HTTP)
	var re *rest.Error
	switch {
	case errors.As(err, &re):
		e.Kind, e.Err = Unreachable, re
		e.Ambiguous = op == "append" && re.Reached
		if re.TooLarge {
			e.Kind = BadAnswer
		}
		return nil, e
	case reply.Status == http.StatusOK:
		return reply.Body, nil
	}
	e.Status, e.Kind = reply.Status, Refused
	switch {
	case reply.Status == http.StatusTooManyRequests:
		e.Kind = RateLimited
	case reply.Status == http.StatusServiceUnavailable:
		e.Kind = Outage
	case reply.Status < http.StatusBadRequest || reply.Status >= http.StatusInternalServerError:
		// Only 4xx (including 429) and 503 are refusals of the service itself.
		// Any other status may be sent after the append has taken effect.
		e.Ambiguous = op == "append"
	}
	if s, err := strconv.Atoi(reply.Header.Get("Retry-After")); err == nil && s > 0 {
		e.RetryAfter = time.Duration(min(s, maxRetryAfterSeconds)) * time.Second
	}
	return nil, e
}
