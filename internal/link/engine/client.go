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

// Client calls engines. It is safe for concurrent use. A zero duration or size
// selects the default.
type Client struct {
	HTTP *http.Client
	// Timeout limits a call other than an order, and the time to open a stream
	// with a context that has no deadline; the default is 5 s.
	Timeout time.Duration
	// OrderTimeout limits an order, whose response arrives when it has been
	// executed; the default is 15 min.
	OrderTimeout time.Duration
	// IdleTimeout is the longest time in which an open stream without OnSilence
	// may send neither an event nor a comment; the default is 15 s.
	IdleTimeout time.Duration
	// MaxBytes limits the body of a response other than a stream; the default
	// is 4 MiB.
	MaxBytes int64
	// MaxKVBytes limits the size of an exported KV cache; the default is
	// 16 MiB.
	MaxKVBytes int64
}

const (
	defaultTimeout      = 5 * time.Second
	defaultOrderTimeout = 15 * time.Minute
	defaultIdleTimeout  = 15 * time.Second
	defaultMaxBytes     = 4 << 20
	defaultMaxKVBytes   = 16 << 20
	// maxErrorBodyBytes limits the body that is read from the error response
	// to the opening of a stream.
	maxErrorBodyBytes = 4 << 10
)

// New returns a Client that uses hc, or an HTTP client of its own if hc is nil.
// hc must have no Timeout, which would interrupt long streams.
func New(hc *http.Client) *Client { return &Client{HTTP: rest.NewClient(hc)} }

// orDefault returns value if it is positive, otherwise def.
func orDefault[T int64 | time.Duration](value, def T) T {
	if value > 0 {
		return value
	}
	return def
}

// Open starts the completion r on an engine and returns its stream. ctx applies
// only until the stream is open. The error is an *Error.
func (c *Client) Open(ctx context.Context, upstream, address string, r calls.Request) (*Stream, error) {
	body, err := requestBody(r)
	if err != nil {
		return nil, &Error{Kind: BadRequest, Op: "open", Address: address, Err: err}
	}
	h := http.Header{"X-Request-Id": {r.ID}, "X-Priority": {string(r.Class)}, "Accept": {"text/event-stream"}}
	if r.PromptPrefixHash != 0 {
		h.Set("X-Prefix-Hash", strconv.FormatUint(r.PromptPrefixHash, 16))
	}
	call := rest.Call{Method: http.MethodPost, URL: "http://" + address + "/v1/chat/completions", Header: h, Body: body}
	return c.openStream(ctx, "open", upstream, address, r.ID, r.DeliveredTokens, call)
}

// Resume reopens a stream that the engine retains, starting at token from. ctx
// applies only until the stream is open. The error is an *Error.
func (c *Client) Resume(ctx context.Context, upstream, address, requestID string, from int64) (*Stream, error) {
	call := rest.Call{Method: http.MethodGet, URL: streamURL(address, requestID) + "?from=" + strconv.FormatInt(from, 10)}
	return c.openStream(ctx, "resume", upstream, address, requestID, from, call)
}

// Cancel ends a stream on the engine. It succeeds if the stream is unknown
// there. The error is an *Error.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, err := c.do(ctx, "cancel", address, c.Timeout, rest.Call{Method: http.MethodDelete, URL: streamURL(address, requestID)})
	var e *Error
	if errors.As(err, &e) && e.Kind == UnknownStream {
		return nil
	}
	return err
}

// Order sends o to the engine and returns when it has been executed. The engine
// continues an order whose sender disconnects; sending the same order again
// waits for the same execution. The error is an *Error.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return &Error{Kind: BadRequest, Op: "order", Address: address, Err: err}
	}
	_, err = c.do(ctx, "order", address, orDefault(c.OrderTimeout, defaultOrderTimeout), rest.Call{Method: http.MethodPost, URL: "http://" + address + "/orders", Body: body})
	return err
}

// Report returns the engine's load report, which may lag behind its state. The
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

// CacheEvents returns the cache events starting at offset from. The error is an
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
	return c.do(ctx, "export-kv", address, c.Timeout, rest.Call{Method: http.MethodGet, URL: streamURL(address, requestID) + "/kv", Limit: orDefault(c.MaxKVBytes, defaultMaxKVBytes)})
}

// ImportKV sends the KV cache of a stream to an engine, which continues the
// stream; Resume then opens it. The error is an *Error.
func (c *Client) ImportKV(ctx context.Context, address, requestID string, kv []byte) error {
	_, err := c.do(ctx, "import-kv", address, c.Timeout, rest.Call{Method: http.MethodPut, URL: streamURL(address, requestID) + "/kv", Body: kv})
	return err
}

func streamURL(address, requestID string) string {
	return "http://" + address + "/streams/" + url.PathEscape(requestID)
}

// do sends a call and returns the body of a successful response.
func (c *Client) do(ctx context.Context, op, address string, timeout time.Duration, call rest.Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(timeout, defaultTimeout))
	defer cancel()
	if call.Limit == 0 {
		call.Limit = orDefault(c.MaxBytes, defaultMaxBytes)
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

// openStream sends a call and returns the stream in the response.
func (c *Client) openStream(ctx context.Context, op, upstream, address, requestID string, from int64, call rest.Call) (*Stream, error) {
	// The connection outlives ctx, which applies only to the opening.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	openCtx, done := ctx, context.CancelFunc(func() {})
	if _, ok := ctx.Deadline(); !ok {
		openCtx, done = context.WithTimeout(ctx, orDefault(c.Timeout, defaultTimeout))
	}
	defer done()
	stop := context.AfterFunc(openCtx, cancel)
	resp, err := call.Open(streamCtx, c.HTTP)
	if err == nil && resp.StatusCode != http.StatusOK {
		// The status decides, also if the rest of the body is missing.
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		stop()
		resp.Body.Close()
		cancel()
		return nil, statusError(op, address, resp.StatusCode, resp.Header, b)
	}
	if !stop() && err == nil {
		resp.Body.Close()
		err = &rest.Error{Reached: true, Err: context.Cause(openCtx)}
	}
	if err != nil {
		cancel()
		return nil, callError(op, address, err)
	}
	return newStream(resp.Body, cancel, upstream, address, requestID, from, orDefault(c.IdleTimeout, defaultIdleTimeout)), nil
}
