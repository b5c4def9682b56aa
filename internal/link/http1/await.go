package http1

import (
	"errors"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
)

// pendingReadTimeout bounds the read of what has arrived already.
const pendingReadTimeout = 10 * time.Millisecond

// AwaitByte waits until a byte of the response has arrived or the deadline has
// passed. After a timeout the connection is still usable.
func (c *Conn) AwaitByte(deadline time.Time) (timedOut bool, err error) {
	if c.br.Buffered() > 0 {
		return false, nil
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return false, merry.Wrap(err)
	}
	_, err = c.br.Peek(1)
	return c.awaited(err)
}

// awaited returns the result of a wait whose read ended with err. A read after its
// deadline, as after a suspension of the process, fails even if a byte has arrived.
func (c *Conn) awaited(err error) (timedOut bool, _ error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if err := c.SetReadDeadline(time.Now().Add(pendingReadTimeout)); err != nil {
			return false, merry.Wrap(err)
		}
		quiet, failed := c.quiet()
		if quiet || errors.Is(failed, os.ErrDeadlineExceeded) {
			return true, nil
		}
		if failed != nil {
			return false, failed
		}
		_, err = c.br.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return true, nil
		}
	}
	if err != nil {
		return false, merry.Wrap(err)
	}
	// The caller reads the rest of the response under its own limits.
	return false, merry.Wrap(c.SetReadDeadline(time.Time{}))
}

// AwaitByteOr is AwaitByte that also returns, as after a timeout, once done is closed.
func (c *Conn) AwaitByteOr(done <-chan struct{}, deadline time.Time) (timedOut bool, err error) {
	if c.br.Buffered() > 0 {
		return false, nil
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return false, merry.Wrap(err)
	}
	returned, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-done:
			// Fails only if the connection is closed, which ends the read as well.
			_ = c.SetReadDeadline(time.Unix(1, 0))
		case <-returned:
		}
	}()
	_, err = c.br.Peek(1)
	close(returned)
	<-stopped
	return c.awaited(err)
}
