package sse

import "bytes"

// Splitter buffers the bytes of a stream and splits them into events.
type Splitter struct {
	buf []byte
	// LastID is the id of the last complete event that had one.
	LastID string
	// EventCount is the number of complete events taken.
	EventCount int
}

// New returns an empty Splitter.
func New() *Splitter { return &Splitter{} }

// Write adds bytes of the stream to the buffer. It never fails.
func (s *Splitter) Write(b []byte) (int, error) {
	s.buf = append(s.buf, b...)
	return len(b), nil
}

// TakeEvents removes the complete events from the buffer and returns them. The
// result is valid until the next Write.
func (s *Splitter) TakeEvents() []byte {
	end := 0
	for {
		n := firstEventLen(s.buf[end:])
		if n == 0 {
			break
		}
		if id, ok := eventID(s.buf[end : end+n]); ok {
			s.LastID = id
		}
		s.EventCount++
		end += n
	}
	out := s.buf[:end:end]
	s.buf = s.buf[end:]
	return out
}

// Buffered returns the number of bytes in the buffer, which after TakeEvents are
// those of an incomplete event.
func (s *Splitter) Buffered() int { return len(s.buf) }

// WithinEvent reports whether the buffer, after TakeEvents, holds a part of an event. Blank
// lines and complete comment lines are none.
func (s *Splitter) WithinEvent() bool {
	for rest := s.buf; len(rest) > 0; {
		line, after, complete := bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) > 0 && !(complete && line[0] == ':') {
			return true
		}
		rest = after
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

// eventID returns the value of the id field of an event.
func eventID(b []byte) (string, bool) {
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		b = rest
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
