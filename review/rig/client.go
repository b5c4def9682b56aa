package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

type (
	// client keeps one connection to a daemon, and opens a new one after a failure.
	client struct {
		address string
		nc      net.Conn
		br      *bufio.Reader
		// uses is the number of requests on the connection.
		uses int
	}

	// ask is what a client sends.
	ask struct {
		id, method, path string
		deadline         time.Duration
		headers          []string
		body             string
		// onHead is called with the head of the answer, unless it is nil.
		onHead func(h http.Header)
	}

	// reply is what a client gets. status is 0 if no head came, and err is set unless the
	// answer is whole.
	reply struct {
		status int
		header http.Header
		body   string
		err    error
		// kept is set if the connection had carried a request before.
		kept bool
		took time.Duration
	}
)

// host is the host of all routes.
const host = "a.example"

var lastID atomic.Int64

// newID returns an id that no other request has.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), lastID.Add(1)) }

func (c *client) close() {
	if c.nc != nil {
		_ = c.nc.Close()
	}
	c.nc, c.br, c.uses = nil, nil, 0
}

// send sends a request and reads its answer.
func (c *client) send(a ask) (r reply) {
	began := time.Now()
	defer func() { r.took = time.Since(began) }()
	if c.nc == nil {
		nc, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return reply{err: err}
		}
		c.nc, c.br, c.uses = nc, bufio.NewReader(nc), 0
	}
	c.uses++
	r.kept = c.uses > 1
	_ = c.nc.SetDeadline(began.Add(a.deadline + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, host, a.id, a.deadline.Milliseconds())
	for _, h := range a.headers {
		head += h + "\r\n"
	}
	if a.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	if _, err := io.WriteString(c.nc, head+"\r\n"+a.body); err != nil {
		c.close()
		r.err = err
		return r
	}
	res, err := http.ReadResponse(c.br, &http.Request{Method: a.method})
	if err != nil {
		c.close()
		r.err = err
		return r
	}
	if a.onHead != nil {
		a.onHead(res.Header)
	}
	b, err := io.ReadAll(res.Body)
	r.status, r.header, r.body, r.err = res.StatusCode, res.Header, string(b), err
	if err != nil || res.Close {
		c.close()
	}
	return r
}

// outcome describes a reply for the record.
func (r reply) outcome() string {
	switch {
	case r.status == 0:
		return "no answer: " + r.err.Error()
	case r.err != nil:
		return fmt.Sprintf("%d, broken off after %d bytes: %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("%d, whole, %d bytes, %s", r.status, len(r.body), strings.TrimSpace(r.header.Get("X-Server-Stamp")))
}
