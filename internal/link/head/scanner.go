package head

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

type (
	// Scanner checks the heads of the responses to one request: of any interim ones and
	// of the final one. The zero value is ready for the first byte.
	Scanner struct {
		state state
		// text has the first size bytes of the present line.
		text [MaxTextBytes]byte
		size int
		// notToken is set if the present name has a byte that no token may have.
		notToken bool
		// interim is set if the present head is that of an interim response.
		interim bool
		// chunks is set if the version of the present head has transfer codings.
		chunks bool
		err    error
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

// States of a Scanner: within the status line, the name of a field or its value, and after
// the final head. The line that ends a head counts as a name.
const (
	statusLine state = iota
	fieldName
	fieldValue
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

// Err returns the *Error that Scan has returned, or nil. A reader has to return it before it
// waits for more bytes, since net/http reads on after errors.
func (s *Scanner) Err() error { return s.err }

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
		if s.state == fieldName {
			if err := s.nextOfName(c); err != nil {
				return err
			}
		}
		if s.size < MaxTextBytes {
			s.text[s.size] = c
			s.size++
		}
		return nil
	}
	line := bytes.TrimSuffix(s.text[:s.size], []byte{'\r'})
	switch {
	case s.state == statusLine:
		if err := s.endStatusLine(line); err != nil {
			return err
		}
	case s.state == fieldValue:
		if err := s.endValue(line); err != nil {
			return err
		}
	case len(line) > 0:
		return &Error{Fault: "field without a colon", Text: string(line)}
	default:
		s.endHead()
	}
	s.size, s.notToken = 0, false
	return nil
}

// nextOfName checks the name of a field at its colon. One that begins with a blank would
// continue the field before it (obs-fold), which a gateway may reject: RFC 9112,
// section 5.2.
func (s *Scanner) nextOfName(c byte) error {
	if c != ':' {
		s.notToken = s.notToken || !isToken(c)
		return nil
	}
	if s.notToken || s.size == 0 {
		return &Error{Fault: "field name", Text: string(s.text[:s.size])}
	}
	s.state = fieldValue
	return nil
}

// endValue checks the value of a field, whose line begins with the given bytes. An interim
// response has no content and must not announce any (RFC 9112, section 6.1, and RFC 9110,
// section 8.6): what follows its head would be read as the next response. One of HTTP/1.0
// has no transfer codings, so that its framing is faulty with one (RFC 9112, section 6.1).
func (s *Scanner) endValue(line []byte) error {
	s.state = fieldName
	if !s.interim && s.chunks {
		return nil
	}
	name, value, _ := strings.Cut(string(line), ":")
	coded := strings.EqualFold(name, "Transfer-Encoding")
	switch {
	case s.interim && (coded || strings.EqualFold(name, "Content-Length") && strings.Trim(value, " \t") != "0"):
		return &Error{Fault: "interim response with content", Text: string(line)}
	case coded && !s.chunks:
		return &Error{Fault: "transfer coding in another version than HTTP/1.1", Text: string(line)}
	}
	return nil
}

// endStatusLine checks the status.
func (s *Scanner) endStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	status, err := strconv.Atoi(string(digits))
	if err != nil || len(digits) != statusDigits || status < minStatus || status > maxStatus {
		return &Error{Fault: "status line", Text: string(line)}
	}
	s.state, s.interim = fieldName, status < minFinalStatus
	s.chunks = string(version) == "HTTP/1.1"
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

// isToken reports whether c may be part of a token (RFC 9110, section 5.6.2).
func isToken(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
