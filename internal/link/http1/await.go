package http1

import (
	"errors"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
)

// Await waits until a byte of the answer has arrived, at most until a time.
// late is true if none has; the connection is then still good.
func (c *Conn) AwaitByte(until time.Time) (late bool, err error) {
	if c.br.Buffered() > 0 {
		return false, nil
	}
	if err := c.SetReadDeadline(until); err != nil {
		return false, merry.Wrap(err)
	}
	_, err = c.br.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true, nil
	}
	if err != nil {
		return false, merry.Wrap(err)
	}
	// A caller that has seen a byte reads on to its own limits.
	return false, merry.Wrap(c.SetReadDeadline(time.Time{}))
}
