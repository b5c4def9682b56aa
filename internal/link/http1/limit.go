package http1

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/azurespan/azurespan/internal/link/head"
)

type (
	// HeadTooLargeError reports that an upstream sent more bytes than a
	// response's head may have without ending it.
	HeadTooLargeError struct{ Limit int }

	// SwitchError reports that an upstream changed to another protocol (status 101),
	// which no request asks for.
	SwitchError struct{}

	// Stall bounds the time for which reads of a response wait. Bytes that have
	// arrived don't move the bound, so that an upstream which sends one now and then
	// is noticed.
	Stall interface {
		// Until returns the time from which a read that waits is stalled.
		Until() time.Time
		// Expired is called by a read that has waited until then. If it returns true,
		// the read waits on, up to the new Until; else it fails with
		// os.ErrDeadlineExceeded.
		Expired() bool
	}

	// limitedReader reads from conn, while a limit is set up to that many bytes, which
	// are those of heads, and within the bounds of stall unless that is nil.
	limitedReader struct {
		conn    net.Conn
		limited bool
		left    int
		heads   head.Scanner
		stall   Stall
		// stalledErr is the error of the read that stall has ended. net/http reads on
		// after errors.
		stalledErr error
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

// limit sets the number of bytes that may be read. They are those of heads that begin
// with the bytes in buffered.
func (l *limitedReader) limit(n int, buffered []byte) error {
	l.limited, l.left = true, n
	l.heads.Reset()
	_, err := l.heads.Scan(buffered)
	return err
}

// lift removes the limit.
func (l *limitedReader) lift() { l.limited = false }

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.limited {
		return l.readBounded(b)
	}
	if err := l.heads.Err(); err != nil {
		return 0, err
	}
	if l.left <= 0 {
		return 0, &HeadTooLargeError{Limit: MaxHeadBytes}
	}
	n, err := l.readBounded(b[:min(len(b), l.left)])
	l.left -= n
	if sound, malformed := l.heads.Scan(b[:n]); malformed != nil {
		return sound, malformed
	}
	return n, err
}

// readBounded reads within the bounds of stall.
func (l *limitedReader) readBounded(b []byte) (n int, err error) {
	if l.stall == nil {
		return l.conn.Read(b)
	}
	if l.stalledErr != nil {
		return 0, l.stalledErr
	}
	for {
		if err := l.conn.SetReadDeadline(l.stall.Until()); err != nil {
			return 0, err
		}
		n, err = l.conn.Read(b)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// A read after its deadline fails even if bytes have arrived.
			if err := l.conn.SetReadDeadline(time.Now().Add(pendingReadTimeout)); err != nil {
				return 0, err
			}
			n, err = l.conn.Read(b)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if !l.stall.Expired() {
			l.stalledErr = err
			return 0, err
		}
	}
	if lift := l.conn.SetReadDeadline(time.Time{}); lift != nil && err == nil {
		err = lift
	}
	return n, err
}

// BoundReads has reads of the response go by stall from now on, nil for none.
func (c *Conn) BoundReads(stall Stall) { c.limited.stall = stall }
