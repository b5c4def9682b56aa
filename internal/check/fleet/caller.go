package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

type (
	// Caller sends requests to daemons as a client application would.
	Caller struct{ HTTP *http.Client }

	// Chat is a chat completion request.
	Chat struct {
		Model, Prompt string
		MaxTokens     int
		Class         string
		Deadline      time.Duration
	}

	// ChatResponse is the received part of the response to a Chat.
	ChatResponse struct {
		// Status is the HTTP status, 0 if no response was received.
		Status int
		// Text holds the received tokens, Tokens is their number.
		Text   string
		Tokens int
		// LastID is the identifier of the last received event.
		LastID string
		// RequestID is the identifier that the daemon gave to the request.
		RequestID string
		// Done is set if the response is complete.
		Done bool
		// Problem is the refusal, if any.
		Problem Problem
		// TimeToFirstToken is measured from the sending of the request.
		TimeToFirstToken time.Duration
		Err              error
	}

	// Problem is a refusal in the form of problem details (RFC 9457).
	Problem struct {
		Type   string `json:"type"`
		Run    string `json:"run"`
		Detail string `json:"detail"`
		Status int    `json:"status"`
		// RetryAfter is the value of the header Retry-After in seconds, 0 if
		// there is none.
		RetryAfter int `json:"-"`
	}

	// CallResponse is the response to a call of a plain service.
	CallResponse struct {
		Status int
		// RequestID is the identifier that the daemon gave to the call.
		RequestID string
		Body      string
		// Replayed is set if the daemon returned the stored response of an
		// earlier call with the same idempotency key.
		Replayed bool
		Problem  Problem
		Err      error
	}
)

// Stream sends a chat completion request and reads the streamed response. onEvent,
// if not nil, is called after each event with the number of tokens so far. If it
// returns false, Stream closes the stream and returns what was received.
func (c *Caller) Stream(ctx context.Context, d *Proc, q Chat, onEvent func(int) bool) ChatResponse {
	req, err := q.newRequest(ctx, d, true)
	if err != nil {
		return ChatResponse{Err: err}
	}
	return c.readStream(req, ChatResponse{}, onEvent)
}

// Complete sends a chat completion request with a non-streaming response.
func (c *Caller) Complete(ctx context.Context, d *Proc, q Chat) ChatResponse {
	req, err := q.newRequest(ctx, d, false)
	if err != nil {
		return ChatResponse{Err: err}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return ChatResponse{Err: err}
	}
	defer resp.Body.Close()
	a := ChatResponse{Status: resp.StatusCode, RequestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode != http.StatusOK {
		a.Problem, a.Err = readProblem(resp)
		return a
	}
	var out struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if a.Err = json.NewDecoder(resp.Body).Decode(&out); a.Err == nil && len(out.Choices) == 1 {
		a.Text, a.Done = out.Choices[0].Message.Content, true
		a.Tokens = strings.Count(a.Text, " ")
	}
	return a
}

// Body returns the body of the HTTP request.
func (q *Chat) Body(stream bool) []byte {
	// Maps of strings, numbers and booleans can always be encoded.
	b, _ := json.Marshal(map[string]any{
		"model": q.Model, "stream": stream, "max_tokens": q.MaxTokens, "ignore_eos": true,
		"messages": []map[string]string{{"role": "user", "content": q.Prompt}},
	})
	return b
}

// newRequest returns the HTTP request for a daemon.
func (q *Chat) newRequest(ctx context.Context, d *Proc, stream bool) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Addresses["caller"]+"/v1/chat/completions", bytes.NewReader(q.Body(stream)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if q.Class != "" {
		req.Header.Set("Azurespan-Class", q.Class)
	}
	if q.Deadline > 0 {
		req.Header.Set("Azurespan-Deadline", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// Resume reads the remainder of a streamed response through a daemon, starting
// after the last received event.
func (c *Caller) Resume(ctx context.Context, d *Proc, a ChatResponse) ChatResponse {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addresses["caller"]+"/v1/streams/"+url.PathEscape(a.RequestID), nil)
	if err != nil {
		a.Err = err
		return a
	}
	req.Header.Set("Last-Event-ID", a.LastID)
	a.Err, a.Problem = nil, Problem{}
	return c.readStream(req, a, nil)
}

// maxLineBytes bounds a line of a streamed response.
const maxLineBytes = 1 << 20

// readStream sends req and appends the events of the response to a.
func (c *Caller) readStream(req *http.Request, a ChatResponse, onEvent func(int) bool) ChatResponse {
	began := time.Now()
	resp, err := c.HTTP.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	if a.RequestID == "" {
		a.RequestID = resp.Header.Get("X-Request-Id")
	}
	if resp.StatusCode != http.StatusOK {
		a.Problem, a.Err = readProblem(resp)
		return a
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(nil, maxLineBytes)
	id, event := "", ""
	for sc.Scan() {
		field, value, _ := strings.Cut(sc.Text(), ": ")
		switch field {
		case "id":
			id = value
		case "event":
			event = value
		case "data":
			if event == "error" {
				a.Err = json.Unmarshal([]byte(value), &a.Problem)
				return a
			}
			if value == "[DONE]" {
				a.Done = true
				return a
			}
			if err := a.addChunk(value, id); err != nil {
				a.Err = err
				return a
			}
			if a.TimeToFirstToken == 0 {
				a.TimeToFirstToken = time.Since(began)
			}
			if onEvent != nil && !onEvent(a.Tokens) {
				return a
			}
		case "":
			event = ""
		}
	}
	if a.Err = sc.Err(); a.Err == nil {
		a.Err = io.ErrUnexpectedEOF
	}
	return a
}

// addChunk appends the content of the event with the given data and identifier.
func (a *ChatResponse) addChunk(data, id string) error {
	var chunk struct {
		ID      string `json:"id"`
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	if a.RequestID != "" && a.RequestID != chunk.ID {
		return fmt.Errorf("event of request %s in the response to request %s", chunk.ID, a.RequestID)
	}
	a.RequestID = chunk.ID
	if id != "" {
		a.LastID = id
	}
	a.Text += chunk.Choices[0].Delta.Content
	if chunk.Choices[0].Delta.Content != "" {
		a.Tokens++
	}
	return nil
}

// Call calls a plain service. An empty key sends no idempotency key.
func (c *Caller) Call(ctx context.Context, d *Proc, method, path, key, body string, deadline time.Duration) CallResponse {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.Addresses["caller"]+path, strings.NewReader(body))
	if err != nil {
		return CallResponse{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header["Idempotency-Key"] = []string{key}
	}
	if deadline > 0 {
		req.Header.Set("Azurespan-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	// Without GetBody, net/http does not retry the call itself, which would count
	// as a retry by the caller.
	req.GetBody = nil
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return CallResponse{Err: err}
	}
	defer resp.Body.Close()
	r := CallResponse{Status: resp.StatusCode, RequestID: resp.Header.Get("X-Request-Id"), Replayed: resp.Header.Get("Idempotency-Replayed") != ""}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		r.Problem, r.Err = readProblem(resp)
		return r
	}
	b, err := io.ReadAll(resp.Body)
	r.Body, r.Err = string(b), err
	return r
}

// readProblem reads the problem details of a refusal.
func readProblem(resp *http.Response) (Problem, error) {
	var p Problem
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(b, &p); err != nil {
		return p, fmt.Errorf("status %d with %q: %w", resp.StatusCode, b, err)
	}
	// The header is absent if a retry does not help.
	p.RetryAfter, _ = strconv.Atoi(resp.Header.Get("Retry-After"))
	return p, nil
}

// Kind returns the part of the type after the last colon, which names the kind of
// refusal.
func (p Problem) Kind() string { return p.Type[strings.LastIndex(p.Type, ":")+1:] }

// ResumeDeadline is the time within which a daemon must start or refuse a resumed
// response, which has no deadline of its own.
const ResumeDeadline = 30 * time.Second
