package tunnel

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/head"
	"github.com/azurespan/azurespan/internal/link/http1"
)

type (
	// Upstreams is what the forwarder knows of upstreams.
	Upstreams interface {
		// MayForward returns the upstream with an ID at an address, or the reason why
		// it gets no request from this daemon.
		MayForward(now time.Time, id, address string) (up fleet.Upstream, reason string)
		// Dial connects to the upstream over the daemon's own path.
		Dial(ctx context.Context, up fleet.Upstream) (net.Conn, error)
		// Observe records the heads of the upstream's response to a request that was
		// forwarded since a time: those of interim responses and the final one, or up to
		// one that is malformed. More bytes of the response may follow.
		Observe(up fleet.Upstream, since time.Time, heads []byte)
	}

	// Server forwards connections for other daemons. It is an http.Handler.
	Server struct {
		upstreams Upstreams
		now       func() time.Time

		mu     sync.Mutex
		open   int
		closed bool
	}
)

const (
	// maxOpen bounds the tunnels of one daemon, each of which takes some 25 KB.
	maxOpen = 512
	// dialTimeout bounds the connection to the upstream: the longest round trip
	// between failure domains is 8 ms.
	dialTimeout = 120 * time.Millisecond
	// maxHeadBytes is how much of a response is kept to find its head in.
	maxHeadBytes = 16 << 10
	// lastWriteTimeout bounds the wait for a write to an upstream that has sent its end. One
	// that reads takes a frame within a round trip.
	lastWriteTimeout = 100 * time.Millisecond
)

// New returns a Server.
func New(upstreams Upstreams, now func() time.Time) *Server {
	return &Server{upstreams: upstreams, now: now}
}

// Close makes the Server refuse further tunnels. Those that are open go on.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// begin counts a tunnel, and reports whether there may be another one.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.open >= maxOpen {
		return false
	}
	s.open++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// ServeHTTP forwards a connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if !s.begin() {
		s.refuse(w, r, http.StatusServiceUnavailable, "stopping or full")
		return
	}
	defer s.end()
	since := s.now()
	up, reason := s.upstreams.MayForward(since, r.Header.Get(idHeader), r.Host)
	if reason != "" {
		s.refuse(w, r, http.StatusBadGateway, reason)
		return
	}
	dial, cancel := context.WithTimeout(r.Context(), dialTimeout)
	upstream, err := s.upstreams.Dial(dial, up)
	cancel()
	if err != nil {
		s.refuse(w, r, http.StatusBadGateway, err.Error())
		return
	}
	defer func() { _ = upstream.Close() }() // closed already unless hijacking fails
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		event.ForwardRefused.Log("upstream", up.ID, "from", r.RemoteAddr, "reason", err.Error())
		return
	}
	if err := http1.LimitUnacknowledged(conn); err != nil {
		// The tunnel works, but is kept for long if the daemon's host loses power.
		event.ForwardRefused.Log("upstream", up.ID, "from", r.RemoteAddr, "reason", "no limit of unacknowledged bytes: "+err.Error())
	}
	t := &transfer{daemon: conn, upstream: upstream}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		t.abort()
		return
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		t.send(rw.Reader)
	}()
	t.receive(s.now, func(heads []byte) { s.upstreams.Observe(up, since, heads) })
	<-sent
}

// refuse answers that the connection isn't forwarded.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	event.ForwardRefused.Log("upstream", r.Header.Get(idHeader), "from", r.RemoteAddr, "status", status, "reason", reason)
	w.Header().Set(reasonHeader, reason)
	w.WriteHeader(status)
}

// transfer copies between a daemon and an upstream.
type transfer struct {
	daemon, upstream net.Conn
	// writing is held by a write to the upstream, whose failure sets writeFailed. It may
	// take the error of a reset, and a read then returns io.EOF.
	writing     sync.Mutex
	writeFailed bool
}

// abort resets both connections.
func (t *transfer) abort() {
	for _, c := range []net.Conn{t.daemon, t.upstream} {
		if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
			_ = tcp.SetLinger(0) // fails on a closed connection only
		}
		_ = c.Close()
	}
}

// send copies what the daemon sends until either side ends. The daemon ends the tunnel
// when it no longer wants the response, so the upstream must stop at once.
func (t *transfer) send(from io.Reader) {
	buf := make([]byte, maxFrameBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !t.write(buf[:n]) {
				// receive finds how the upstream ended.
				return
			}
		}
		if err != nil {
			t.abort()
			return
		}
	}
}

// write writes to the upstream, and reports whether that succeeded.
func (t *transfer) write(b []byte) bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	_, err := t.upstream.Write(b)
	t.writeFailed = err != nil
	return err == nil
}

// closedInOrder reports whether an io.EOF from the upstream at now is known to be a close in
// order: no write has failed. One in progress fails if it doesn't end in time.
func (t *transfer) closedInOrder(now time.Time) bool {
	if err := t.upstream.SetWriteDeadline(now.Add(lastWriteTimeout)); err != nil {
		return false
	}
	t.writing.Lock()
	defer t.writing.Unlock()
	return !t.writeFailed
}

// receive copies what the upstream sends in frames, and reports to the daemon how it ended.
// observe is called with the heads of the response, interim ones included, once the final
// one is complete or one is malformed.
func (t *transfer) receive(now func() time.Time, observe func([]byte)) {
	buf := make([]byte, headerBytes+maxFrameBytes)
	var seen []byte
	var heads head.Scanner
	for {
		n, err := t.upstream.Read(buf[headerBytes:])
		if n > 0 {
			if observe != nil {
				data := buf[headerBytes : headerBytes+n]
				seen = append(seen, data...)
				if _, malformed := heads.Scan(data); malformed != nil || heads.Done() {
					observe(seen)
					observe, seen = nil, nil
				} else if len(seen) > maxHeadBytes {
					observe, seen = nil, nil
				}
			}
			if werr := t.frame(buf, frameData, n); werr != nil {
				t.abort()
				return
			}
		}
		if err == nil {
			continue
		}
		switch {
		case errors.Is(err, io.EOF) && t.closedInOrder(now()):
			err = t.frame(buf, frameClosed, 0)
		case errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET):
			err = t.frame(buf, frameReset, 0)
		}
		if err != nil {
			t.abort()
			return
		}
		_ = t.daemon.Close() // nothing more is sent
		_ = t.upstream.Close()
		return
	}
}

// frame sends a frame with n bytes that buf has behind the header.
func (t *transfer) frame(buf []byte, kind byte, n int) error {
	buf[0] = kind
	binary.BigEndian.PutUint16(buf[1:], uint16(n))
	_, err := t.daemon.Write(buf[:headerBytes+n])
	return err
}
