package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/azurespan/azurespan/internal/link/rest"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// Client calls engines. It is safe for concurrent use. A zero duration or
// size stands for its default.
type Client struct {
	HTTP *http.Client
	// Timeout bounds a call other than an order, and the time until a stream
	// is open; default 5 s.
	Timeout time.Duration
	// OrderTimeout bounds an order, which is answered when it is done;
	// default 15 min.
	OrderTimeout time.Duration
	// IdleTimeout is the longest time in which an open stream sends nothing,
	// not even a comment; default 15 s.
	IdleTimeout time.Duration
	// MaxBytes bounds an answer other than a stream; default 4 MiB.
	MaxBytes int64
	// MaxKVBytes bounds exported KV cache; default 16 MiB.
	MaxKVBytes int64
}

const (
	defaultTimeout      = 5 * time.Second
	defaultOrderTimeout = 15 * time.Minute
	defaultIdleTimeout  = 15 * time.Second
	defaultMaxBytes     = 4 << 20
	defaultMaxKVBytes   = 16 << 20
	// maxRefusal bounds the body read from a refused stream, in bytes.
	maxRefusal = 4 << 10
)

// New returns a client of engines. A nil hc stands for a client of its own.
// hc must have no Timeout, which would cut long streams.
func New(hc *http.Client) *Client { return &Client{HTTP: rest.NewClient(hc)} }

func or[T int64 | time.Duration](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

// Open starts the completion r on an engine and returns its stream. ctx bounds
// only the opening. The error is an *Error.
func (c *Client) Open(ctx context.Context, upstream, address string, r calls.Request) (calls.Stream, error) {
	body, err := requestBody(r)
	if err != nil {
		return nil, &Error{Kind: BadRequest, Op: "open", Address: address, Err: err}
	}
	h := http.Header{"X-Request-Id": {r.ID}, "X-Priority": {string(r.Class)}, "Accept": {"text/event-stream"}}
	if r.PromptPrefixHash != 0 {
		h.Set("X-Prefix-Hash", strconv.FormatUint(r.PromptPrefixHash, 16))
	}
	call := rest.Call{Method: http.MethodPost, URL: "http://" + address + "/v1/chat/completions", Header: h, Body: body}
	return c.stream(ctx, "open", upstream, address, r.ID, r.DeliveredTokens, call)
}

// Resume returns the rest of a stream that the engine keeps, from token from
// on. ctx bounds only the opening. The error is an *Error.
func (c *Client) Resume(ctx context.Context, upstream, address, requestID string, from int64) (calls.Stream, error) {
	call := rest.Call{Method: http.MethodGet, URL: streamURL(address, requestID) + "?from=" + strconv.FormatInt(from, 10)}
	return c.stream(ctx, "resume", upstream, address, requestID, from, call)
}

// Cancel ends a stream on the engine. It succeeds if the engine does not know
// the stream. The error is an *Error.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, err := c.do(ctx, "cancel", address, c.Timeout, rest.Call{Method: http.MethodDelete, URL: streamURL(address, requestID)})
	var e *Error
	if errors.As(err, &e) && e.Kind == UnknownStream {
		return nil
	}
	return err
}

// Order has the engine carry out o and returns when it is done. The engine
// goes on with an order whose sender leaves; sending the same order again
// joins it. The error is an *Error.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return &Error{Kind: BadRequest, Op: "order", Address: address, Err: err}
	}
	_, err = c.do(ctx, "order", address, or(c.OrderTimeout, defaultOrderTimeout), rest.Call{Method: http.MethodPost, URL: "http://" + address + "/orders", Body: body})
	return err
}

// Report returns the engine's load report, which lags behind its state. The
// error is an *Error.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	b, err := c.do(ctx, "report", address, c.Timeout, rest.Call{Method: http.MethodGet, URL: "http://" + address + "/report"})
	if err != nil {
		return Report{}, err
	}
	r, err := decodeReport(b)
	if err != nil {
		return Report{}, &Error{Kind: BadAnswer, Op: "report", Address: address, Status: http.StatusOK, Reached: true, Err: err}
	}
	return r, nil
}

// CacheEvents returns the cache events from offset from on. The error is an
// *Error.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) (Events, error) {
	b, err := c.do(ctx, "cache-events", address, c.Timeout, rest.Call{Method: http.MethodGet, URL: "http://" + address + "/cache-events?from=" + strconv.FormatUint(from, 10)})
	if err != nil {
		return Events{}, err
	}
	ev, err := decodeEvents(b, from)
	if err != nil {
		return Events{}, &Error{Kind: BadAnswer, Op: "cache-events", Address: address, Status: http.StatusOK, Reached: true, Err: err}
	}
	return ev, nil
}

// ExportKV returns the KV cache of a stream, in the engine's own format. The
// error is an *Error.
func (c *Client) ExportKV(ctx context.Context, address, requestID string) ([]byte, error) {
	return c.do(ctx, "export-kv", address, c.Timeout, rest.Call{Method: http.MethodGet, URL: streamURL(address, requestID) + "/kv", Limit: or(c.MaxKVBytes, defaultMaxKVBytes)})
}

// ImportKV gives a stream's KV cache to an engine, which continues the stream;
// Resume reads it. The error is an *Error.
func (c *Client) ImportKV(ctx context.Context, address, requestID string, kv []byte) error {
	_, err := c.do(ctx, "import-kv", address, c.Timeout, rest.Call{Method: http.MethodPut, URL: streamURL(address, requestID) + "/kv", Body: kv})
	return err
}

func streamURL(address, requestID string) string {
	return "http://" + address + "/streams/" + url.PathEscape(requestID)
}

// do sends a call and returns the body of a successful answer.
func (c *Client) do(ctx context.Context, op, address string, timeout time.Duration, call rest.Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, or(timeout, defaultTimeout))
	defer cancel()
	if call.Limit == 0 {
		call.Limit = or(c.MaxBytes, defaultMaxBytes)
	}
	reply, err := call.Do(ctx, c.HTTP)
	if err != nil {
		return nil, callError(op, address, err)
	}
	if reply.Status != http.StatusOK && reply.Status != http.StatusNoContent {
		return nil, statusError(op, address, reply.Status, reply.Header, reply.Body)
	}
	return reply.Body, nil
}

// stream sends a call and returns the stream in its answer.
func (c *Client) stream(ctx context.Context, op, upstream, address, requestID string, from int64, call rest.Call) (calls.Stream, error) {
	// The connection outlives ctx, which bounds only the opening.
	sctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	octx, done := context.WithTimeout(ctx, or(c.Timeout, defaultTimeout))
	defer done()
	stop := context.AfterFunc(octx, cancel)
	resp, err := call.Open(sctx, c.HTTP)
	if !stop() && err == nil {
		resp.Body.Close()
		err = &rest.Error{Reached: true, Err: context.Cause(octx)}
	}
	if err != nil {
		cancel()
		return nil, callError(op, address, err)
	}
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
		resp.Body.Close()
		cancel()
		return nil, statusError(op, address, resp.StatusCode, resp.Header, b)
	}
	return newStream(resp.Body, cancel, upstream, address, requestID, from, or(c.IdleTimeout, defaultIdleTimeout)), nil
}
