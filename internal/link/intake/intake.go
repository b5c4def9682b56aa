// Package intake accepts the connections of callers until a planned stop.
//
// The system completes connections, and takes the first bytes of their requests, before a
// process accepts them. Closing a listener resets those: their callers can't tell whether
// their requests have run. Under load, or on a host that gives the process little of its
// processor, there are always some.
package intake

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Listener is a listener that can be ended without a reset of the connections that the
// system has completed, except for what it completes in the moment of the close itself.
type Listener struct {
	*net.TCPListener
	// ended is closed once the listener is.
	ended chan struct{}
	once  sync.Once
}

// quietTime is the time without a new connection after which a listener that is ending is
// closed: many turns of a process that gets little of its processor.
const quietTime = 50 * time.Millisecond

var _ net.Listener = (*Listener)(nil)

// New returns a Listener that accepts from l.
func New(l *net.TCPListener) *Listener { return &Listener{TCPListener: l, ended: make(chan struct{})} }

// Accept implements net.Listener. Once the listener is ending, it returns net.ErrClosed
// when there has been no connection for a while.
func (l *Listener) Accept() (net.Conn, error) {
	for quiet := false; ; quiet = true {
		c, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			// net/http compares errors of its own listener.
			return c, err
		}
		if quiet {
			if err := l.Close(); err != nil {
				return nil, err
			}
			return nil, net.ErrClosed
		}
		// The deadline may have passed while connections were waiting.
		if err := l.SetDeadline(time.Now().Add(quietTime)); err != nil {
			return nil, err
		}
	}
}

// End lets Accept, which another goroutine calls in turn, return what the system has
// completed, and then closes the listener, at the end of ctx at the latest. It does
// nothing on a closed listener.
func (l *Listener) End(ctx context.Context) error {
	if err := l.SetDeadline(time.Now()); errors.Is(err, net.ErrClosed) {
		return nil
	} else if err != nil {
		return merry.Wrap(err)
	}
	select {
	case <-l.ended:
		return nil
	case <-ctx.Done():
		return l.Close()
	}
}

// Close closes the listener; only the first call has an effect.
func (l *Listener) Close() (err error) {
	l.once.Do(func() {
		err = merry.Wrap(l.TCPListener.Close())
		close(l.ended)
	})
	return err
}
