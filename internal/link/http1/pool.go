package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

type (
	// Settings of a Pool.
	Settings struct {
		// DialTimeout limits the time to establish a connection.
		DialTimeout time.Duration
		// IdleTimeout limits how long a connection is kept idle, even if the
		// upstream allows more.
		IdleTimeout time.Duration
		// MaxIdlePerUpstream limits the number of idle connections to one
		// upstream.
		MaxIdlePerUpstream int
		// Dial connects to the upstream with a key at an address; nil stands for
		// DialTCP. It may return a OneRequest.
		Dial func(ctx context.Context, key, address string) (net.Conn, error)
	}

	// OneRequest is a connection that carries one request only.
	OneRequest interface {
		net.Conn
		OneRequest()
	}

	// Pool keeps idle connections for reuse. It is safe for concurrent use.
	Pool struct {
		settings Settings
		now      func() time.Time

		mu   sync.Mutex
		idle map[string][]*Conn
	}

	// Conn is a connection to one upstream.
	Conn struct {
		pool *Pool
		key  string
		net.Conn
		// br reads from limited, which reads from Conn.
		br      *bufio.Reader
		limited *limitedReader
		// reuseBefore is the time from which the upstream may close the idle
		// connection.
		reuseBefore time.Time
		// Born is when the run of the upstream started that the connection leads to, as
		// the caller has found out; 0 if it hasn't.
		Born int64
		// Reused is set if the connection has carried a request before.
		Reused bool
	}

	// DialError reports that no connection could be established, so nothing
	// was sent.
	DialError struct {
		Address string
		// Refused is set if the connection was refused (ECONNREFUSED).
		Refused bool
		Cause   error
	}
)

const (
	// readBufferBytes is enough for the header of a response and several
	// events.
	readBufferBytes = 4 << 10
	// userTimeoutMS is how long sent bytes may remain unacknowledged before
	// the connection fails, in milliseconds.
	userTimeoutMS = 2000
	// keepAliveMargin is subtracted from the upstream's idle timeout to allow
	// for the time that a request takes to arrive there.
	keepAliveMargin = 300 * time.Millisecond
)

// Error names the address and the cause.
func (e *DialError) Error() string { return "connect to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// New returns an empty Pool. now is the clock.
func New(set Settings, now func() time.Time) *Pool {
	if set.Dial == nil {
		set.Dial = func(ctx context.Context, _, address string) (net.Conn, error) { return DialTCP(ctx, address) }
	}
	return &Pool{settings: set, now: now, idle: map[string][]*Conn{}}
}

// Get returns a connection to the upstream with the given key at address. The
// key identifies the incarnation of the upstream, because addresses are reused.
// forceNew requests a new connection, for requests that must not be lost on a
// connection that the upstream is about to close.
func (p *Pool) Get(ctx context.Context, key, address string, forceNew bool) (*Conn, error) {
	if !forceNew {
		if c := p.takeIdle(key); c != nil {
			return c, nil
		}
	}
	dial, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	nc, err := p.settings.Dial(dial, key, address)
	cancel()
	if err != nil {
		return nil, &DialError{Address: address, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	limited := &limitedReader{conn: nc}
	return &Conn{pool: p, key: key, Conn: nc, limited: limited, br: bufio.NewReaderSize(limited, readBufferBytes)}, nil
}

// DialTCP establishes a TCP connection whose unacknowledged bytes make it fail.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: Control}
	return d.DialContext(ctx, "tcp4", address)
}

// Control is the Control function of a net.Dialer. It makes a connection fail
// if sent bytes are not acknowledged, because a peer that has lost power or is
// behind a network partition sends nothing, not even a reset.
func Control(_, _ string, c syscall.RawConn) error {
	var err error
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7)
	if e := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMS)
	}); e != nil {
		return e
	}
	return err
}

// LimitUnacknowledged makes an accepted connection fail as Control does one that is
// dialled.
func LimitUnacknowledged(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil // not a socket
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(Control("", "", rc))
}

// takeIdle removes the most recently used idle connection from the pool and
// returns it. It returns nil if none is still usable.
func (p *Pool) takeIdle(key string) *Conn {
	now := p.now()
	for {
		p.mu.Lock()
		cs := p.idle[key]
		if len(cs) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := cs[len(cs)-1]
		p.idle[key] = cs[:len(cs)-1]
		p.mu.Unlock()
		if quiet, err := c.quiet(); now.Before(c.reuseBefore) && quiet && err == nil {
			c.Reused = true
			return c
		}
		c.discard()
	}
}

// quiet reports whether nothing has arrived on a connection: neither bytes nor its end. It
// returns the error of a connection that has failed, since looking at it takes the error
// from the socket, whose next read would return io.EOF. It reports false for a connection
// that is no socket.
func (c *Conn) quiet() (bool, error) {
	if c.br.Buffered() > 0 {
		return false, nil
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false, merry.Wrap(err)
	}
	var failed error
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, failed = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return false, merry.Wrap(err)
	case errors.Is(failed, syscall.EAGAIN):
		return true, nil
	case failed != nil && !errors.Is(failed, syscall.EINTR):
		return false, merry.Wrap(&net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: failed})
	}
	return false, nil
}

// ReadResponse reads the status line and header of the response to a request
// with the given method. It skips informational responses. It fails with a
// SwitchError at 101, with a *head.Error at a malformed head, and with a
// HeadTooLargeError after MaxHeadBytes, informational responses included.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	buffered, _ := c.br.Peek(c.br.Buffered()) // never fails
	defer c.limited.lift()
	if err := c.limited.limit(MaxHeadBytes, buffered); err != nil {
		return nil, merry.Wrap(err)
	}
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: method})
		// net/http may report the cut line as malformed instead.
		switch malformed := c.limited.heads.Err(); {
		case err != nil && malformed != nil:
			err = malformed
		case err != nil && c.limited.left <= 0:
			err = &HeadTooLargeError{Limit: MaxHeadBytes}
		}
		if err != nil {
			return nil, merry.Wrap(err)
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.Wrap(&SwitchError{})
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

// Reusable reports whether another request may follow on the connection after the whole
// body of res has been read.
func (c *Conn) Reusable(res *http.Response) bool {
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	_, once := c.Conn.(OneRequest)
	return !once && !res.Close && framed && c.br.Buffered() == 0
}

// Release returns the connection to the pool after the whole body of res has
// been read, or closes it if it can't be reused.
func (c *Conn) Release(res *http.Response) {
	now := c.pool.now()
	keep := keepAlive(res.Header.Get("Keep-Alive"), c.pool.settings.IdleTimeout)
	if !c.Reusable(res) || keep <= 0 {
		c.discard()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.discard()
		return
	}
	c.reuseBefore = now.Add(keep)
	c.pool.mu.Lock()
	full := len(c.pool.idle[c.key]) >= c.pool.settings.MaxIdlePerUpstream
	if !full {
		c.pool.idle[c.key] = append(c.pool.idle[c.key], c)
	}
	c.pool.mu.Unlock()
	if full {
		c.discard()
	}
}

// discard closes the connection. The error of Close is ignored because it adds
// nothing to the outcome of the exchange.
func (c *Conn) discard() { _ = c.Conn.Close() }

// Abort resets the connection, so that undelivered bytes of an abandoned request
// are discarded. Otherwise they would arrive after the end of a network
// partition and the request would run late.
func (c *Conn) Abort() {
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0) // fails on a closed connection only
	}
	c.discard()
}

// keepAlive returns how long a connection may be kept according to the value
// of a Keep-Alive header, at most limit.
func keepAlive(header string, limit time.Duration) time.Duration {
	for _, p := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(value); err == nil {
				limit = min(limit, time.Duration(n)*time.Second-keepAliveMargin)
			}
		}
	}
	return limit
}

// CloseIdle closes the idle connections to upstreams for which keep returns
// false, and those that have expired.
func (p *Pool) CloseIdle(keep func(key string) bool) {
	now := p.now()
	var drop []*Conn
	p.mu.Lock()
	for key, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if keep(key) && now.Before(c.reuseBefore) {
				kept = append(kept, c)
			} else {
				drop = append(drop, c)
			}
		}
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.discard()
	}
}
