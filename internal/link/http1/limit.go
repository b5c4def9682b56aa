package http1

import (
	"fmt"
	"io"
)

type (
	// HeadTooLargeError reports that an upstream sent more bytes than a
	// response's head may have without ending it.
	HeadTooLargeError struct{ Limit int }

	// SwitchError reports that an upstream changed to another protocol (status 101),
	// which no request asks for.
	SwitchError struct{}

	// limitedReader reads from r, while a limit is set up to that many bytes.
	limitedReader struct {
		r       io.Reader
		limited bool
		left    int
	}
)

// MaxHeadBytes is the largest head of a response. Larger ones are an upstream's
// fault; engines send a few hundred bytes.
const MaxHeadBytes = 64 << 10

// Error names the limit.
func (*SwitchError) Error() string { return "upstream switched to another protocol (status 101)" }

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("head of the response is larger than %d bytes", e.Limit)
}

// limit sets the number of bytes that may be read.
func (l *limitedReader) limit(n int) { l.limited, l.left = true, n }

// lift removes the limit.
func (l *limitedReader) lift() { l.limited = false }

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.limited {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, &HeadTooLargeError{Limit: MaxHeadBytes}
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}
