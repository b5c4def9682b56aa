package sse

import "bytes"

// Cutter collects the bytes of a stream.
type Splitter struct {
	buf []byte
	// LastID is the id of the last whole event that had one, Events the
	// number of whole events taken.
	LastID     string
	EventCount int
}

// New returns an empty Cutter.
func New() *Splitter { return &Splitter{} }

// Write adds bytes of the stream.
func (c *Splitter) Write(b []byte) (int, error) {
	c.buf = append(c.buf, b...)
	return len(b), nil
}

// Whole takes the whole events out that have been collected. The result is
// valid until the next Write.
func (c *Splitter) TakeEvents() []byte {
	end := 0
	for {
		n := eventEnd(c.buf[end:])
		if n == 0 {
			break
		}
		if id, ok := eventID(c.buf[end : end+n]); ok {
			c.LastID = id
		}
		c.EventCount++
		end += n
	}
	out := c.buf[:end:end]
	c.buf = c.buf[end:]
	return out
}

// Rest takes what is left, the part of an event.
func (c *Splitter) TakePartial() []byte {
	out := c.buf
	c.buf = nil
	return out
}

// eventEnd returns the length of the first event with the empty line that ends
// it, 0 if it isn't whole.
func eventEnd(b []byte) int {
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
