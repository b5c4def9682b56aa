package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newListener returns a Listener on the loopback interface.
func newListener(t *testing.T) *Listener {
	t.Helper()
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	l := New(tcp)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// ask opens a connection, sends a request on it and returns a function that returns the
// answer, an error if the connection was reset.
func ask(t *testing.T, l *Listener) func() (string, error) {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx")
	must.NoError(t, err)
	return func() (string, error) {
		must.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		b, err := io.ReadAll(c)
		return string(b), err
	}
}

// TestEndAnswersWhatTheSystemAccepted guards against callers that are cut off without an
// answer in a planned stop under load: the system has completed their connections and taken
// their requests, and the process, which has got no processor for a while, hasn't accepted
// them.
func TestEndAnswersWhatTheSystemAccepted(t *testing.T) {
	l := newListener(t)
	var answers []func() (string, error)
	for range 40 {
		answers = append(answers, ask(t, l))
	}
	served := 0
	ended := make(chan error, 1)
	go func() { ended <- l.End(t.Context()) }()
	time.Sleep(2 * quietTime)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "done") // a reset is what the test looks for
	}), ReadHeaderTimeout: time.Second}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(l) }()
	must.NoError(t, <-ended)
	must.ErrorIs(t, <-stopped, net.ErrClosed)
	for _, answer := range answers {
		if text, err := answer(); err == nil && text != "" {
			served++
		}
	}
	must.Eq(t, len(answers), served)
	_, err := net.Dial("tcp4", l.Addr().String())
	must.Error(t, err)
}

// TestEndIsBounded guards against a stop that waits without end for a listener from which
// nobody accepts, or to which callers connect without pause.
func TestEndIsBounded(t *testing.T) {
	for name, accepts := range map[string]bool{"nobody accepts": false, "callers go on": true} {
		t.Run(name, func(t *testing.T) {
			l := newListener(t)
			if accepts {
				go acceptAll(l)
				go func() {
					for {
						c, err := net.Dial("tcp4", l.Addr().String())
						if err != nil {
							return
						}
						_ = c.Close() // only its arrival matters
						time.Sleep(time.Millisecond)
					}
				}()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			began := time.Now()
			must.NoError(t, l.End(ctx))
			must.Less(t, 5*time.Second, time.Since(began))
			must.NoError(t, l.Close())
			_, err := l.Accept()
			must.True(t, errors.Is(err, net.ErrClosed))
		})
	}
}

// TestEndOfClosedListener guards against a stop that fails, and so cuts its requests off,
// because the listener has been closed or ended before.
func TestEndOfClosedListener(t *testing.T) {
	l := newListener(t)
	go acceptAll(l)
	must.NoError(t, l.End(t.Context()))
	must.NoError(t, l.End(t.Context()))
	l = newListener(t)
	must.NoError(t, l.Close())
	must.NoError(t, l.End(t.Context()))
}

// acceptAll accepts connections until the listener is closed.
func acceptAll(l *Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.Close() // only its arrival matters
	}
}
