package guard

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// Conn is a connection that a Guard counts.
	Conn struct {
		net.Conn
		guard  *Guard
		source string
		phase  atomic.Int32
		// heard is the tick of the last byte from the client, began that of the first
		// byte of the request, and writing that since which a Write has made no
		// progress, 0 if none is in progress.
		heard, began, writing atomic.Int64
		// started is set once the connection has been read from.
		started atomic.Bool

		// head is what is known of the head that is being read, and bodyBytes the number
		// of bytes read of the body. Only the goroutine that reads the request uses them.
		head      headCount
		bodyBytes int
		// refused is set once the client has been answered in place of a handler.
		refused bool

		closeOnce sync.Once
		// The rest is guarded by Guard.mu. index is the position in Guard.conns, -1 once
		// the connection is forgotten; bytes is what is taken of the memory, whole is set
		// while the request has been read completely, and queued is the number of bytes
		// that the client hadn't acknowledged at the last sweep.
		index, bytes int
		whole        bool
		queued       int
		// number is that of the connection in the order of acceptance, and accepted and
		// acceptedIn are the time and the tick of that.
		number     int64
		accepted   time.Time
		acceptedIn int64
	}

	// headCount is what has been read of a head.
	headCount struct {
		bytes, lines int
		// line is the number of bytes of the present line, without its end.
		line  int
		ended bool
	}

	closeWriter interface{ CloseWrite() error }
)

// Phases of a connection.
const (
	// waiting is between requests.
	waiting int32 = iota
	inHead
	inBody
	// served is from when the request has been read completely until its handler returns.
	served
	// discarding is from the return of the handler until the rest of the body is read.
	discarding
	// taken is a connection that a handler has taken over.
	taken
)

// headTooLarge is the response to a head with more fields than its limit allows.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 too many fields"

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, io.EOF
	}
	if !c.started.Load() {
		c.started.Store(true)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := c.guard.tick.Load()
	c.heard.Store(now)
	if c.guard.set.Messages {
		return n, err
	}
	switch c.phase.Load() {
	case waiting:
		c.began.Store(now)
		c.head = headCount{}
		c.phase.Store(inHead)
	case inHead:
	default:
		return n, err
	}
	if !c.head.add(p[:n]) {
		return n, err
	}
	if int64(c.head.lines) > c.guard.maxFields.Load() {
		c.guard.countNow(tooManyFields, c.RemoteAddr())
		c.answer(headTooLarge)
		return 0, io.EOF
	}
	if !c.grow(c.head.cost()) {
		c.answer(c.guard.set.Refusal)
		return 0, io.EOF
	}
	return n, err
}

// add counts bytes, and reports whether some belong to the head.
func (h *headCount) add(b []byte) bool {
	if h.ended {
		return false
	}
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			h.bytes += len(b)
			h.line += lineBytes(b)
			return true
		}
		h.bytes += i + 1
		h.line += lineBytes(b[:i])
		b = b[i+1:]
		if h.line == 0 && h.lines > 0 {
			h.ended = true
			return true
		}
		h.line = 0
		h.lines++
	}
	return true
}

// lineBytes returns the number of bytes of a part of a line without its end.
func lineBytes(b []byte) int {
	n := len(b)
	if n > 0 && b[n-1] == '\r' {
		n--
	}
	return n
}

// cost returns the memory that the head takes.
func (h *headCount) cost() int { return copies*h.bytes + fieldBytes*h.lines }

// answer sends a complete response in place of a handler's, as far as the system takes it
// at once.
func (c *Conn) answer(text string) {
	c.refused = true
	// It fails on a closed connection only.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, _ = io.WriteString(c.Conn, text)
}

// answerTimeout bounds the time in which a response in place of a handler's is sent. It is
// shorter than a segment, so it waits only for a client that doesn't read.
const answerTimeout = 20 * time.Millisecond

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Store(c.guard.tick.Load())
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() (err error) {
	err = c.Conn.Close()
	c.closeOnce.Do(func() {
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.forget(c)
	})
	return err
}

// abort closes the connection at once. Whoever uses it gets an error.
func (c *Conn) abort() {
	under := c.Conn
	if t, ok := under.(*tls.Conn); ok {
		under = t.NetConn() // t.Close may wait for a client that doesn't read
	}
	_ = under.Close() // it may be closed already
}

// CloseWrite closes the sending side. net/http calls it before it closes a connection with
// unread data, so that the client still gets the response.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(closeWriter); ok {
		return t.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that hasn't been sent.
func (c *Conn) SetLinger(sec int) error {
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return t.SetLinger(sec)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	under := c.Conn
	if t, ok := under.(interface{ NetConn() net.Conn }); ok {
		under = t.NetConn()
	}
	if t, ok := under.(syscall.Conn); ok {
		return t.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// unfinished reports whether the daemon waits for more of a request.
func (c *Conn) unfinished() bool {
	switch c.phase.Load() {
	case inHead, inBody:
		return true
	case discarding:
		// The answer may still be on its way.
		return c.writing.Load() == 0
	}
	return false
}

// unread returns the number of ticks for which a client hasn't read its answer.
func (c *Conn) unread(now int64) int64 {
	if since := c.writing.Load(); since != 0 {
		return now - since
	}
	return 0
}

// pending reports whether the system has bytes from the client that haven't been read.
func (c *Conn) pending() bool {
	n := 0
	raw, err := c.SyscallConn()
	if err != nil {
		return false // no connection of the system
	}
	if err := raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
		return false // closed
	}
	return n > 0
}

// noteProgress restarts the time of a Write whose client has read something. The system
// wakes a writer only once a large part of its buffer is free, so a slow reader is told by
// what the buffer holds. Guard.mu must be held.
func (c *Conn) noteProgress(now int64) {
	since := c.writing.Load()
	if since == 0 || now-since < reportTicks {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return // no connection of the system: it counts as stalled
	}
	queued := 0
	if err := raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }); err != nil {
		return // closed
	}
	if queued != c.queued {
		c.queued = queued
		c.writing.CompareAndSwap(since, now)
	}
}
