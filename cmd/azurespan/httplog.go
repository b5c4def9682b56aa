package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

type (
	// httpLog is a client of the log service. The client in
	// internal/link/stream has the same methods.
	httpLog struct {
		base   string
		client *http.Client
	}

	// logPage is one page of a stream.
	logPage struct {
		Oldest  uint64      `json:"oldest"`
		End     uint64      `json:"end"`
		Records []logRecord `json:"records"`
	}

	// logRecord is one record of a stream.
	logRecord struct {
		Offset uint64 `json:"offset"`
		TimeMS int64  `json:"time-ms"`
		Data   []byte `json:"data"`
	}

	// logError is a failed call of the log service.
	logError struct {
		// Ambiguous is true when an append may have taken effect.
		Ambiguous bool
		Cause     error
	}
)

// maxPage bounds an answer of the log service, in bytes. A page of one record
// of 8 MiB in base64 fits.
const maxPage = 64 << 20

var _ controlLog = (*httpLog)(nil)

func (e *logError) Error() string { return "log service: " + e.Cause.Error() }
func (e *logError) Unwrap() error { return e.Cause }

// Append implements controlLog.
func (h *httpLog) Append(ctx context.Context, stream string, data ...[]byte) (first uint64, timeMS int64, err error) {
	body, err := json.Marshal(map[string][][]byte{"records": data})
	if err != nil {
		return 0, 0, &logError{Cause: err}
	}
	var answer struct {
		First  uint64 `json:"first-offset"`
		TimeMS int64  `json:"time-ms"`
	}
	err = h.call(ctx, http.MethodPost, stream, nil, body, &answer)
	return answer.First, answer.TimeMS, err
}

// Read implements controlLog.
func (h *httpLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logPage, error) {
	var p logPage
	err := h.call(ctx, http.MethodGet, stream, url.Values{
		"from": {fmt.Sprint(from)}, "max": {fmt.Sprint(limit)}, "wait-ms": {fmt.Sprint(wait.Milliseconds())},
	}, nil, &p)
	return p, err
}

func (h *httpLog) call(ctx context.Context, method, stream string, query url.Values, body []byte, answer any) error {
	target := h.base + "/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return &logError{Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	if err != nil {
		// A connection that was never made carried no append.
		var op *net.OpError
		return &logError{Ambiguous: !errors.As(err, &op) || op.Op != "dial", Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refused := resp.StatusCode < http.StatusInternalServerError || resp.StatusCode == http.StatusServiceUnavailable
		return &logError{Ambiguous: !refused, Cause: &answerError{service: "the log service", detail: resp.Status}}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPage)).Decode(answer); err != nil {
		return &logError{Ambiguous: true, Cause: err}
	}
	return nil
}
