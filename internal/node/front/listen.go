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
	// limitedListener is a listener with at most cap(slots) open connections.
	// It sends a refusal on further ones, because a client whose connection
	// waits in the kernel's accept queue would get no response until its own
	// timeout.
	limitedListener struct {
		net.Listener
		slots        chan struct{}
		refusalSlots chan struct{}
	}

	// limitedConn is a connection that holds a slot until it is closed.
	limitedConn struct {
		net.Conn
		once  sync.Once
		slots chan struct{}
	}

	// keepAliveListener is a listener that notices clients that are gone.
	keepAliveListener struct{ net.Listener }

	// eventWriter logs each line written to it as an event.
	eventWriter struct{}
)

const (
	// maxConcurrentRefusals bounds the connections on which a refusal is being
	// sent; further ones are closed without a response.
	maxConcurrentRefusals = 64
	refusalTimeout        = time.Second
	// refusalReadBytes bounds each read on such a connection,
	// refusalDrainReads the number of reads after the refusal.
	refusalReadBytes  = 4 << 10
	refusalDrainReads = 16

	// ConnectionRefusal is the complete response to a client for whose connection there
	// is no room.
	ConnectionRefusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Type: application/problem+json\r\nRetry-After: 2\r\nConnection: close\r\n\r\n" +
		`{"type":"urn:azurespan:refusal:queue-full","title":"Queue full","status":429,"detail":"the daemon has no free connection","run":"no"}`
)

// keepAliveConfig detects within 30 s clients that are gone without closing
// their connection.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3}

func limitListener(l net.Listener, n int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, n), refusalSlots: make(chan struct{}, maxConcurrentRefusals)}
}

// Accept returns the next connection.
func (l keepAliveListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(keepAliveConfig) // on failure the system's setting stays in force
	}
	return c, err
}

// Accept returns the next connection within the limit and refuses those beyond
// it.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetKeepAliveConfig(keepAliveConfig) // on failure the system's setting stays in force
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: c, slots: l.slots}, nil
		default:
			l.refuse(c)
		}
	}
}

// refuse sends a refusal on c in a new goroutine. It first waits for the start of
// a request, because clients take a response without a request for a broken
// connection, and it reads on afterwards, because closing with unread data would
// reset the connection and lose the response.
func (l *limitedListener) refuse(c net.Conn) {
	select {
	case l.refusalSlots <- struct{}{}:
	default:
		_ = c.Close()
		return
	}
	go func() {
		defer func() { <-l.refusalSlots }()
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refusalTimeout))
		b := make([]byte, refusalReadBytes)
		if _, err := c.Read(b); err != nil {
			return
		}
		if _, err := c.Write([]byte(ConnectionRefusal)); err != nil {
			return
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		for range refusalDrainReads {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}()
}

// Close closes the connection and releases its slot on the first call.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.slots })
	return err
}

// CloseWrite closes the sending side. net/http calls it before it closes a
// connection with unread data, so that the client still gets the response.
func (c *limitedConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// errorLog returns a logger that logs the lines of net/http as events.
func errorLog() *log.Logger { return log.New(eventWriter{}, "", 0) }

// Write logs one line.
func (eventWriter) Write(b []byte) (int, error) {
	event.CallerConnectionError.Log("detail", strings.TrimSpace(string(b)))
	return len(b), nil
}
