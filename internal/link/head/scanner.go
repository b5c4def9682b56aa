package head

import (
	"bytes"
	"fmt"
	"strconv"
)

type (
	// Scanner checks the heads of the responses to one request: of any interim ones and
	// of the final one. The zero value is ready for the first byte.
	Scanner struct {
		state state
		// text has the first size bytes of the present line.
		text [MaxTextBytes]byte
		size int
		// interim is set if the present head is that of an interim response.
		interim bool
		err     error
	}

	// Error reports a malformed head.
	Error struct {
		// Fault names what is wrong.
		Fault string
		// Text is the beginning of the line that is malformed, of at most MaxTextBytes.
		Text string
	}

	state int
)

// States of a Scanner: within the status line, within the fields, after the final head.
const (
	statusLine state = iota
	fields
	done
)

const (
	// MaxTextBytes is how much of a malformed line an Error names.
	MaxTextBytes = 64
	// minStatus and maxStatus bound the valid statuses, and minFinalStatus those of
	// final responses.
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
	statusDigits   = 3
)

var _ error = (*Error)(nil)

// Error quotes the text, which comes from the upstream.
func (e *Error) Error() string {
	return fmt.Sprintf("malformed head of a response: %s %q", e.Fault, e.Text)
}

// Reset prepares the Scanner for the response to another request.
func (s *Scanner) Reset() { *s = Scanner{} }

// Done reports whether the final head has been read to its end.
func (s *Scanner) Done() bool { return s.state == done && s.err == nil }

// Scan checks the next bytes of the connection. It returns the number of bytes before the
// one at which a head is found to be malformed, and an *Error, also on later calls. Bytes
// after the final head are accepted as they are.
func (s *Scanner) Scan(b []byte) (n int, err error) {
	for ; s.err == nil && s.state != done && n < len(b); n++ {
		if s.err = s.next(b[n]); s.err != nil {
			return n, s.err
		}
	}
	if s.err != nil {
		return 0, s.err
	}
	return len(b), nil
}

// next checks one byte.
func (s *Scanner) next(c byte) error {
	if c != '\n' {
		if s.size < MaxTextBytes {
			s.text[s.size] = c
			s.size++
		}
		return nil
	}
	line := bytes.TrimSuffix(s.text[:s.size], []byte{'\r'})
	s.size = 0
	if s.state == statusLine {
		return s.endStatusLine(line)
	}
	if len(line) == 0 {
		s.endHead()
	}
	return nil
}

// endStatusLine checks the status.
func (s *Scanner) endStatusLine(line []byte) error {
	_, rest, _ := bytes.Cut(line, []byte{' '})
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	status, err := strconv.Atoi(string(digits))
	if err != nil || len(digits) != statusDigits || status < minStatus || status > maxStatus {
		return &Error{Fault: "status line", Text: string(line)}
	}
	s.state, s.interim = fields, status < minFinalStatus
	return nil
}

// endHead expects the head of the next response after that of an interim one.
func (s *Scanner) endHead() {
	if s.interim {
		s.state = statusLine
		return
	}
	s.state = done
}
