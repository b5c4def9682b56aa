package sse

import (
	"bytes"
	"fmt"
	"strings"
)

type (
	// Splitter buffers the bytes of a stream and splits them into events.
	Splitter struct {
		buf []byte
		// LastID is the id of the last complete event that had one. A resumed stream
		// starts with that of the last event that has been received.
		LastID string
		// EventCount is the number of complete events taken.
		EventCount int
		// Unnumbered is set once an event had no id, so that the stream can't be
		// resumed after it.
		Unnumbered bool

		err error
	}

	// OrderError reports an event whose id doesn't follow that of an earlier one.
	OrderError struct{ ID, After string }
)

// maxIDBytes bounds the part of an id that an OrderError quotes.
const maxIDBytes = 64

// Error names the ids.
func (e *OrderError) Error() string {
	return fmt.Sprintf("event %.*q after event %.*q", maxIDBytes, e.ID, maxIDBytes, e.After)
}

// New returns an empty Splitter.
func New() *Splitter { return &Splitter{} }

// Write adds bytes of the stream to the buffer. It never fails.
func (s *Splitter) Write(b []byte) (int, error) {
	s.buf = append(s.buf, b...)
	return len(b), nil
}

// TakeEvents removes the complete events from the buffer and returns them, up to one that
// is out of order (see Err). The result is valid until the next Write.
func (s *Splitter) TakeEvents() []byte {
	end := 0
	for s.err == nil {
		n := firstEventLen(s.buf[end:])
		if n == 0 {
			break
		}
		if s.take(s.buf[end : end+n]) {
			end += n
		}
	}
	out := s.buf[:end:end]
	s.buf = s.buf[end:]
	return out
}

// take records an event, unless its id is out of order. Without an id or data it is none.
func (s *Splitter) take(event []byte) bool {
	id, numbered := eventID(event)
	switch {
	case numbered && !follows(id, s.LastID):
		s.err = &OrderError{ID: id, After: s.LastID}
		return false
	case numbered:
		s.LastID = id
	case !hasData(event):
		return true
	default:
		s.Unnumbered = true
	}
	s.EventCount++
	return true
}

// hasData reports whether an event has a data field.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(name) == "data" {
			return true
		}
	}
	return false
}

// follows reports whether an event's id may come after another one: a larger number after a
// number, another text after a text.
func follows(id, last string) bool {
	n, m := strings.TrimLeft(id, "0"), strings.TrimLeft(last, "0")
	switch {
	case last == "":
		return true
	case !isNumber(id) || !isNumber(last):
		return id != last && isNumber(id) == isNumber(last)
	case len(n) != len(m):
		return len(n) > len(m)
	}
	return n > m
}

// isNumber reports whether s consists of digits.
func isNumber(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r < '0' || r > '9' })
}

// Err returns an OrderError once an event was out of order. It and what follows it stay in
// the buffer.
func (s *Splitter) Err() error { return s.err }

// Restart has the Splitter accept the events of another response after those that it has
// taken. The buffer must be empty.
func (s *Splitter) Restart() { s.err = nil }

// Buffered returns the number of bytes in the buffer, which after TakeEvents are
// those of an incomplete event.
func (s *Splitter) Buffered() int { return len(s.buf) }

// HasMore reports whether the buffer, after TakeEvents, holds an id or data of a further event.
func (s *Splitter) HasMore() bool {
	_, numbered := eventID(s.buf)
	return numbered || hasData(s.buf)
}

// WithinEvent reports whether the buffer, after TakeEvents, holds a part of an event. Blank
// lines and complete comment lines are none.
func (s *Splitter) WithinEvent() bool { return hasField(s.buf) }

// hasField reports whether a part of a stream has a line, complete or not, that is neither
// blank nor a complete comment.
func hasField(b []byte) bool {
	for len(b) > 0 {
		line, after, complete := bytes.Cut(b, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) > 0 && !(complete && line[0] == ':') {
			return true
		}
		b = after
	}
	return false
}

// TakePartial empties the buffer and returns its content, which after TakeEvents
// is an incomplete event.
func (s *Splitter) TakePartial() []byte {
	out := s.buf
	s.buf = nil
	return out
}

// firstEventLen returns the length of the first event including the empty line
// that ends it, 0 if it is incomplete.
func firstEventLen(b []byte) int {
	for i := 0; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		rest := b[i+1:]
		if len(rest) > 0 && rest[0] == '\n' {
			return i + 2
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return i + 3
		}
	}
	return 0
}

// eventID returns the value of the id field of an event, and false if it has none or an
// empty one.
func eventID(b []byte) (string, bool) {
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		b = rest
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id := string(bytes.TrimSpace(v))
			return id, id != ""
		}
	}
	return "", false
}
