package load

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"github.com/azurespan/azurespan/standin/engine/engsv"
)

type (
	// response is the part of a streamed answer that arrived.
	response struct {
		// tokens is the number of events with a token.
		tokens       int
		text         []byte
		finishReason string
		// requestID is the request ID in the events.
		requestID string
		// firstAt and lastAt are the times of the first and the last token.
		firstAt, lastAt time.Time
		// problem is the problem type of an error event, empty without one.
		problem string
	}

	// ResponseError reports an answer that is incomplete, out of order or not
	// the expected one.
	ResponseError struct{ Problem string }
)

const (
	// maxLineBytes bounds a line of an event stream.
	maxLineBytes = 1 << 20
	// lineBufferBytes is the initial size of the buffer for a line.
	lineBufferBytes = 4 << 10
)

var errNoEndMark = &ResponseError{"the stream ended without its end mark"}

// Error returns the problem with the answer.
func (e *ResponseError) Error() string { return e.Problem }

func responseErrorf(format string, args ...any) error {
	return &ResponseError{fmt.Sprintf(format, args...)}
}

// read reads an event stream to its end mark or an error event. It calls gap with
// the time between two tokens.
func (resp *response) read(r io.Reader, now func() time.Time, gap func(time.Duration)) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, lineBufferBytes), maxLineBytes)
	var id []byte
	failed := false
	for sc.Scan() {
		name, value, _ := bytes.Cut(sc.Bytes(), []byte(": "))
		switch string(name) {
		case "id":
			id = append(id[:0], value...)
		case "event":
			failed = string(value) == "error"
		case "data":
			if failed {
				resp.problem = problemType(value)
				return nil
			}
			if string(value) == "[DONE]" {
				if resp.finishReason == "" {
					return responseErrorf("the end mark follows token %d, which has no finish reason", resp.tokens-1)
				}
				return nil
			}
			if err := resp.addChunk(id, value); err != nil {
				return err
			}
			t := now()
			if resp.tokens == 1 {
				resp.firstAt = t
			} else {
				gap(t.Sub(resp.lastAt))
			}
			resp.lastAt, id = t, id[:0]
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	return errNoEndMark
}

// addChunk adds the chunk in data. Its event ID is the token index if it comes from
// an engine. In the event ID of a daemon, whose parts are separated by dots, the
// token index is the last part but one.
func (resp *response) addChunk(id, data []byte) error {
	index := id
	if bytes.IndexByte(id, '.') >= 0 {
		parts := bytes.Split(id, []byte("."))
		index = parts[len(parts)-2]
	}
	if i, err := strconv.Atoi(string(index)); err != nil || i != resp.tokens {
		return responseErrorf("event %q in place of token %d", id, resp.tokens)
	}
	if resp.finishReason != "" {
		return responseErrorf("token %d follows the finish reason", resp.tokens)
	}
	resp.tokens++
	d := jx.DecodeBytes(data)
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		switch string(key) {
		case "id":
			s, err := d.StrBytes()
			if err != nil {
				return err
			}
			if resp.requestID == "" {
				resp.requestID = string(s)
			}
			if resp.requestID != string(s) {
				return responseErrorf("an event of request %s in the answer to %s", s, resp.requestID)
			}
			return nil
		case "choices":
			return d.Arr(resp.addChoice)
		}
		return d.Skip()
	})
}

// addChoice adds an element of the choices of a chunk.
func (resp *response) addChoice(d *jx.Decoder) error {
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		switch {
		case string(key) == "delta":
			return d.ObjBytes(func(d *jx.Decoder, key []byte) (err error) {
				if string(key) != "content" {
					return d.Skip()
				}
				resp.text, err = d.StrAppend(resp.text)
				return err
			})
		case string(key) == "finish_reason" && d.Next() == jx.String:
			s, err := d.Str()
			resp.finishReason = s
			return err
		}
		return d.Skip()
	})
}

// check compares the answer with that of the stand-in engine to r.
func (resp *response) check(r *request) error {
	want, err := engsv.ExpectedCompletion(r.model.Base, r.model.Version, r.model.Adapter, r.body)
	if err != nil {
		return err
	}
	switch {
	case int64(resp.tokens) != want.Tokens:
		return responseErrorf("%d of %d tokens", resp.tokens, want.Tokens)
	case resp.finishReason != want.Finish:
		return responseErrorf("finish reason %q in place of %q", resp.finishReason, want.Finish)
	case string(resp.text) != want.Text(0, want.Tokens):
		return responseErrorf("the text differs from the engine's")
	}
	return nil
}

// problemType returns the last part of the type of a problem document. For the
// refusal of an engine it returns the code in the field error.
func problemType(b []byte) string {
	kind := "unknown"
	// The type of a malformed body is unknown.
	_ = jx.DecodeBytes(b).ObjBytes(func(d *jx.Decoder, key []byte) error {
		if k := string(key); k != "type" && k != "error" || d.Next() != jx.String {
			return d.Skip()
		}
		s, err := d.Str()
		if i := bytes.LastIndexByte([]byte(s), ':'); err == nil {
			kind = s[i+1:]
		}
		return err
	})
	return kind
}

// errorCause returns the cause of a failed request under which Result counts it.
func errorCause(err error) string {
	var re *ResponseError
	if errors.As(err, &re) {
		return "wrong answer: " + re.Problem
	}
	return "broken: " + err.Error()
}
