package front

import (
	"log"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
)

type (
	// limited is a listener with at most cap(slots) open connections. It
	// answers further ones with a refusal, because a connection that waits in
	// the kernel's queue would hear nothing until its own timeout.
	limited struct {
		net.Listener
		slots    chan struct{}
		refusing chan struct{}
	}

	limitedConn struct {
		net.Conn
		once  sync.Once
		slots chan struct{}
	}

	logWriter struct{}
)

const (
	// refusersAtOnce bounds the connections that are being refused; beyond
	// it they are closed without an answer.
	refusersAtOnce = 64
	refuseTimeout  = time.Second

	connectionRefusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Type: application/problem+json\r\nRetry-After: 2\r\nConnection: close\r\n\r\n" +
		`{"type":"urn:azurespan:refusal:queue-full","title":"Queue full","status":429,"detail":"the daemon has no free connection","run":"no"}`
)

// keepAlive finds callers that vanished without closing within half a minute.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3}

func limitListener(l net.Listener, n int) net.Listener {
	return &limited{Listener: l, slots: make(chan struct{}, n), refusing: make(chan struct{}, refusersAtOnce)}
}

// Accept returns the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetKeepAliveConfig(keepAlive) // the system's setting stays
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: c, slots: l.slots}, nil
		default:
			l.refuse(c)
		}
	}
}

// refuse answers the request on c with a refusal. It waits for the request to
// begin, because clients take an answer without a request for a broken
// connection, and it reads on afterwards, because closing with unread data
// would reset the connection and lose the answer.
func (l *limited) refuse(c net.Conn) {
	select {
	case l.refusing <- struct{}{}:
	default:
		_ = c.Close()
		return
	}
	go func() {
		defer func() { <-l.refusing }()
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refuseTimeout))
		b := make([]byte, 4<<10)
		if _, err := c.Read(b); err != nil {
			return
		}
		if _, err := c.Write([]byte(connectionRefusal)); err != nil {
			return
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		for range 16 {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}()
}

// Close closes the connection and frees its slot once.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.slots })
	return err
}

// CloseWrite closes the sending side, which net/http does before it closes a
// connection with unread data, so that the caller still gets the answer.
func (c *limitedConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// errorLog returns a logger that turns the lines of net/http into events.
func errorLog() *log.Logger { return log.New(logWriter{}, "", 0) }

// Write logs one line.
func (logWriter) Write(b []byte) (int, error) {
	event.CallerConnectionError.Log("detail", strings.TrimSpace(string(b)))
	return len(b), nil
}
