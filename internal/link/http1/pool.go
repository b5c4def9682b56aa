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
		// Dial bounds a new connection.
		DialTimeout time.Duration
		// Idle bounds how long a connection is kept unused, whatever the
		// upstream allows.
		IdleTimeout time.Duration
		// PerUpstream bounds the idle connections to one upstream.
		MaxIdlePerUpstream int
	}

	// Pool keeps connections. It is safe for concurrent use.
	Pool struct {
		set Settings
		now func() time.Time

		mu   sync.Mutex
		idle map[string][]*Conn
	}

	// Conn is a connection to one upstream.
	Conn struct {
		pool *Pool
		key  string
		net.Conn
		br *bufio.Reader
		// until is when the upstream may close it.
		until time.Time
		// Reused is set if it has carried a request before.
		Reused bool
	}

	// DialError states that no connection could be made: nothing was sent.
	DialError struct {
		Address string
		// Refused is set if the address answered that nobody listens.
		Refused bool
		Cause   error
	}
)

const (
	// readBuffer of a connection in bytes holds the head of an answer and
	// several events.
	readBuffer = 4 << 10
	// unacknowledged is how long written bytes may stay unacknowledged, in
	// ms, before the connection fails.
	unacknowledged = 2000
	// keepMargin is kept from the upstream's idle timeout for the way there.
	keepMargin = 300 * time.Millisecond
)

// Error names the address and the cause.
func (e *DialError) Error() string { return "connect to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// New returns an empty Pool. now is the clock.
func New(set Settings, now func() time.Time) *Pool {
	return &Pool{set: set, now: now, idle: map[string][]*Conn{}}
}

// Get returns a connection to the upstream with the given key at address. The
// key names the incarnation, because addresses are used again. fresh asks for
// a new connection, for requests that must not be lost to one that the upstream
// is about to close.
func (p *Pool) Get(ctx context.Context, key, address string, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.take(key); c != nil {
			return c, nil
		}
	}
	d := net.Dialer{Timeout: p.set.DialTimeout, KeepAlive: -1, Control: Control}
	nc, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, &DialError{Address: address, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	return &Conn{pool: p, key: key, Conn: nc, br: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// Control is a net.Dialer's Control that makes a connection fail whose bytes
// aren't acknowledged: a peer without power or behind a cut answers nothing.
func Control(_, _ string, c syscall.RawConn) error {
	var err error
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7)
	if e := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unacknowledged)
	}); e != nil {
		return e
	}
	return err
}

// take returns the idle connection that was used last, nil if there is none
// that is still good.
func (p *Pool) take(key string) *Conn {
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
		if now.Before(c.until) && c.quiet() {
			c.Reused = true
			return c
		}
		c.discard()
	}
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *Conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Head reads the head of the answer to a request with the given method.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, merry.Wrap(err)
		}
		if res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			return res, nil
		}
	}
}

// Release gives the connection back after the whole body of res was read. It
// is closed if it can't be used again.
func (c *Conn) Release(res *http.Response) {
	now := c.pool.now()
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	keep := keepAlive(res.Header.Get("Keep-Alive"), c.pool.set.IdleTimeout)
	if res.Close || !framed || keep <= 0 || c.br.Buffered() > 0 {
		c.discard()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.discard()
		return
	}
	c.until = now.Add(keep)
	c.pool.mu.Lock()
	full := len(c.pool.idle[c.key]) >= c.pool.set.MaxIdlePerUpstream
	if !full {
		c.pool.idle[c.key] = append(c.pool.idle[c.key], c)
	}
	c.pool.mu.Unlock()
	if full {
		c.discard()
	}
}

// discard closes the connection. An error of Close says nothing that the
// exchange hasn't shown already.
func (c *Conn) discard() { _ = c.Conn.Close() }

// Abort resets the connection, so that bytes of a request that was given up
// and that are still on their way are dropped: after a cut has healed they
// would run late.
func (c *Conn) Abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a closed connection only
	}
	c.discard()
}

// keepAlive returns how long a connection may be kept by the header of that
// name, at most limit.
func keepAlive(header string, limit time.Duration) time.Duration {
	for _, p := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(value); err == nil {
				limit = min(limit, time.Duration(n)*time.Second-keepMargin)
			}
		}
	}
	return limit
}

// Forget closes the idle connections of upstreams for which keep is false, and
// those that have become too old.
func (p *Pool) CloseIdle(keep func(key string) bool) {
	now := p.now()
	var drop []*Conn
	p.mu.Lock()
	for key, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if keep(key) && now.Before(c.until) {
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
