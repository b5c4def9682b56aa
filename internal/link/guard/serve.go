package guard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

type (
	// connKey is the key of the connection in a request's context.
	connKey struct{}

	// requestBody is the body of a request, which takes memory.
	requestBody struct {
		io.ReadCloser
		conn *Conn
	}

	// MemoryError states that the daemon has no memory for more of a request, which was
	// not read to its end and hasn't run.
	MemoryError struct{ Read int }
)

// Error implements error.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("no memory for more than %d bytes of the request", e.Read)
}

// HTTPStatus returns the status to respond with: the request has not run.
func (*MemoryError) HTTPStatus() int { return http.StatusServiceUnavailable }

// Attach has a server use the Guard for the connections of its listener. It sets the
// server's Handler, ConnContext and ConnState.
func (g *Guard) Attach(s *http.Server) {
	handler := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		guarded, ok := c.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			guarded.phase.Store(waiting)
		case http.StateHijacked:
			guarded.phase.Store(taken)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		c.begin(r)
		defer c.endRequest()
		handler.ServeHTTP(w, r)
	})
}

// Guards reports whether a Guard bounds the memory that the request takes.
func Guards(r *http.Request) bool {
	_, ok := r.Context().Value(connKey{}).(*Conn)
	return ok
}

// SetLinger sets what the end of the request's connection does with data that hasn't been
// sent, as net.TCPConn.SetLinger. It does nothing without a guarded connection.
func SetLinger(r *http.Request, sec int) error {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		return c.SetLinger(sec)
	}
	return nil
}

// begin records that the head of a request is complete.
func (c *Conn) begin(r *http.Request) {
	if c.phase.Load() == waiting {
		// The head has been read together with the request before.
		c.head = headCount{lines: len(r.Header)}
		now := c.guard.tick.Load()
		c.heard.Store(now)
		c.began.Store(now)
	}
	c.bodyBytes = 0
	if r.Body == nil || r.Body == http.NoBody {
		c.readAll()
		return
	}
	c.phase.Store(inBody)
	r.Body = &requestBody{r.Body, c}
}

// readAll records that the request has been read completely.
func (c *Conn) readAll() {
	c.phase.Store(served)
	if c.cost() > freeBytes {
		c.finish()
	}
}

// cost returns the memory that the request takes.
func (c *Conn) cost() int { return c.head.cost() + copies*c.bodyBytes }

// endRequest records that the handler has returned.
func (c *Conn) endRequest() {
	if c.cost() > freeBytes {
		c.release()
	}
	if c.phase.Load() != taken {
		// The client may now keep the daemon waiting for the rest of a body.
		c.heard.Store(c.guard.tick.Load())
		c.phase.Store(discarding)
	}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	c := b.conn
	if n > 0 {
		if c.bodyBytes += n; !c.grow(c.cost()) {
			return 0, &MemoryError{c.bodyBytes}
		}
	}
	if errors.Is(err, io.EOF) && c.phase.Load() == inBody {
		c.readAll()
	}
	return n, err
}
