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
	// answer is what arrived of one streamed answer.
	answer struct {
		// tokens is the number of events with a token.
		tokens int
		text   []byte
		finish string
		// id is the request identifier in the events.
		id string
		// first is the time of the first token, last that of the last one.
		first, last time.Time
		// problem is the type of an error event.
		problem string
	}

	// AnswerError is an answer that is not whole, in order or the expected
	// one.
	AnswerError struct{ Problem string }
)

// maxLine bounds one line of an event stream, in bytes.
const maxLine = 1 << 20

var errNoEnd = &AnswerError{"the stream ended without its end mark"}

// Error says what is wrong with the answer.
func (e *AnswerError) Error() string { return e.Problem }

func wrong(format string, args ...any) error { return &AnswerError{fmt.Sprintf(format, args...)} }

// read reads an event stream to its end mark. gap is called with the time
// between two tokens.
func (a *answer) read(r io.Reader, now func() time.Time, gap func(time.Duration)) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4<<10), maxLine)
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
				a.problem = problemType(value)
				return nil
			}
			if string(value) == "[DONE]" {
				if a.finish == "" {
					return wrong("the end mark follows token %d, which has no finish reason", a.tokens-1)
				}
				return nil
			}
			if err := a.take(id, value); err != nil {
				return err
			}
			t := now()
			if a.tokens == 1 {
				a.first = t
			} else {
				gap(t.Sub(a.last))
			}
			a.last, id = t, id[:0]
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	return errNoEnd
}

// take adds one chunk. Its event id is the token index, from an engine, or has
// the index as its third part, from a daemon.
func (a *answer) take(id, data []byte) error {
	index := id
	if bytes.IndexByte(id, '.') >= 0 {
		parts := bytes.Split(id, []byte("."))
		index = parts[len(parts)-2]
	}
	if i, err := strconv.Atoi(string(index)); err != nil || i != a.tokens {
		return wrong("event %q in place of token %d", id, a.tokens)
	}
	if a.finish != "" {
		return wrong("token %d follows the finish reason", a.tokens)
	}
	a.tokens++
	d := jx.DecodeBytes(data)
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		switch string(key) {
		case "id":
			s, err := d.StrBytes()
			if err != nil {
				return err
			}
			if a.id == "" {
				a.id = string(s)
			}
			if a.id != string(s) {
				return wrong("an event of request %s in the answer to %s", s, a.id)
			}
			return nil
		case "choices":
			return d.Arr(a.choice)
		}
		return d.Skip()
	})
}

// choice adds one element of a chunk's choices.
func (a *answer) choice(d *jx.Decoder) error {
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		switch {
		case string(key) == "delta":
			return d.ObjBytes(func(d *jx.Decoder, key []byte) (err error) {
				if string(key) != "content" {
					return d.Skip()
				}
				a.text, err = d.StrAppend(a.text)
				return err
			})
		case string(key) == "finish_reason" && d.Next() == jx.String:
			s, err := d.Str()
			a.finish = s
			return err
		}
		return d.Skip()
	})
}

// check compares a with the stand-in engine's answer to r.
func (a *answer) check(r *request) error {
	want, err := engsv.ExpectedCompletion(r.model.Base, r.model.Version, r.model.Adapter, r.body)
	if err != nil {
		return err
	}
	switch {
	case int64(a.tokens) != want.Tokens:
		return wrong("%d of %d tokens", a.tokens, want.Tokens)
	case a.finish != want.Finish:
		return wrong("finish reason %q in place of %q", a.finish, want.Finish)
	case string(a.text) != want.Text(0, want.Tokens):
		return wrong("the text differs from the engine's")
	}
	return nil
}

// problemType returns the last part of a problem's type, or that of an
// engine's refusal, which has its code in the field error.
func problemType(b []byte) string {
	kind := "unknown"
	// A body of another form counts as unknown.
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

// kindOf returns a short name of a failure for the table.
func kindOf(err error) string {
	var a *AnswerError
	if errors.As(err, &a) {
		return "wrong answer: " + a.Problem
	}
	return "broken: " + err.Error()
}
