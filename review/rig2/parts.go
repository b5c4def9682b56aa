package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// tally counts requests by what became of them.
	tally struct{ ok, refused, cut, slowest atomic.Int64 }

	// crowd is a number of uncontrolled clients, each with one connection.
	crowd struct {
		daemon *daemon
		tally  tally
		// requests is the number of requests of all clients, and sent that of those sent.
		requests int
		sent     atomic.Int64
		// parts returns the value of X-Prompt-Prefix for the request with a number.
		parts func(i int) string
		// clients is their number, and pause that between two requests of one.
		clients int
		pause   time.Duration
	}
)

const (
	// lookupConfig has the limits of the deployments and the route of look-ups.
	lookupConfig = `{"version":2,"routes":[{"name":"lookup","host":"a.example","pathPrefix":"/lookup/","kind":"safe","timeoutMs":1000,
 "targetLatencyMs":100,"priority":2,"service":"desk","maxAttempts":2}],
 "services":[{"name":"desk","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	// crowdClients is the number of uncontrolled clients, crowdRequests that of their
	// requests, and crowdPause a client's pause between two: together they send less than half
	// of what the link of the machine carries, 1,000 Mbit/s.
	crowdClients, crowdRequests = 16, 8400
	crowdPause                  = 20 * time.Millisecond
	// longPart is the size of the ID of a prompt part, in hexadecimal digits, which brings the
	// head above maxHeaderBytes; shortPart is that of an ordinary ID.
	longPart, shortPart = 60000, 8
	// callInterval is the interval of an ordinary caller's requests, and noteCalls the
	// number of them from one line of the record to the next.
	callInterval = 50 * time.Millisecond
	noteCalls    = 40
	// deskReplicas is the number of replicas.
	deskReplicas = 3
)

func init() { plays["parts"] = playParts }

// playParts has uncontrolled clients send requests with heads above the limit, each with a
// prompt part of its own that has a long ID, and looks at the daemon's memory.
func playParts(r *rig) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.store.put("keyed.op", "config", []byte(lookupConfig))
	for i := range deskReplicas {
		if _, err := newReplica(ctx, r.store, fmt.Sprintf("i-desk%d", i), "yeongcheon", deskWork); err != nil {
			return false, err
		}
	}
	d, err := r.add(machine{name: "frontend-yeongcheon-1", memoryMB: 284, fds: 4200, first: true})
	if err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	now, _ := d.residentKB()
	r.note("daemon ready, resident %d KB of %d KB", now, d.memoryMB<<10)
	size := shortPart
	if r.trouble {
		size = longPart
	}
	return r.watchMemory(d, &crowd{daemon: d, requests: crowdRequests, clients: crowdClients, pause: crowdPause, parts: func(i int) string {
		// Of its parts, the last one belongs to the request itself.
		digits := strconv.FormatInt(int64(i), 16)
		return digits + strings.Repeat("a", max(size-len(digits), 0)) + ":100," + digits + ":100"
	}}), nil
}

// watchMemory has a crowd send its requests beside an ordinary caller's, and reports whether
// the daemon took more than the memory of its machine or ended.
func (r *rig) watchMemory(d *daemon, c *crowd) bool {
	done := make(chan struct{})
	go func() { c.run(); close(done) }()
	var ordinary tally
	for n, going := 1, true; going && !d.ended(); n++ {
		select {
		case <-done:
			going = false
		case <-time.After(callInterval):
		}
		callOnce(d, n, &ordinary)
		if n%noteCalls == 0 {
			r.noteMemory(d, c, &ordinary)
		}
	}
	r.noteMemory(d, c, &ordinary)
	_, most := d.residentKB()
	if d.ended() {
		r.note("the process has ended")
	}
	return d.ended() || most > d.memoryMB<<10
}

// noteMemory records what was sent and answered, and the memory of the daemon.
func (r *rig) noteMemory(d *daemon, c *crowd, ordinary *tally) {
	now, most := d.residentKB()
	r.note("crowd: sent %d, answered %d, refused %d, connection ended %d; ordinary: answered %d, refused %d, connection ended %d, slowest %v; resident %d KB, most %d KB of %d KB",
		c.sent.Load(), c.tally.ok.Load(), c.tally.refused.Load(), c.tally.cut.Load(), ordinary.ok.Load(), ordinary.refused.Load(), ordinary.cut.Load(), time.Duration(ordinary.slowest.Load()).Round(time.Millisecond), now, most, d.memoryMB<<10)
}

// callOnce sends an ordinary request on a connection of its own.
func callOnce(d *daemon, n int, t *tally) {
	conn, err := net.Dial("tcp", d.callers)
	if err != nil {
		t.cut.Add(1)
		return
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	exchangeOnce(conn, bufio.NewReader(conn), fmt.Sprintf("plain-%d", n), "5c1e07a2:800,91bd3f06:410", t)
	if took := time.Since(began); took > time.Duration(t.slowest.Load()) {
		t.slowest.Store(int64(took))
	}
}

// exchangeOnce sends a request, reads its answer, and reports whether the connection may be
// used further.
func exchangeOnce(conn net.Conn, br *bufio.Reader, id, parts string, t *tally) bool {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(conn, "GET /lookup/docket HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Prompt-Prefix: %s\r\nX-Deadline-Ms: 1000\r\n\r\n", id, parts)
	var res *http.Response
	if err == nil {
		res, err = http.ReadResponse(br, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	switch {
	case err != nil:
		t.cut.Add(1)
	case res.StatusCode == http.StatusOK:
		t.ok.Add(1)
	default:
		t.refused.Add(1)
	}
	return err == nil && !res.Close
}

// run sends the requests of all clients.
func (c *crowd) run() {
	var clients sync.WaitGroup
	for n := range c.clients {
		clients.Go(func() { c.runOne(n) })
	}
	clients.Wait()
}

// runOne sends the requests of one client.
func (c *crowd) runOne(n int) {
	var conn net.Conn
	var br *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for i := n; i < c.requests && !c.daemon.ended(); i += c.clients {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", c.daemon.callers); err != nil {
				conn = nil
				time.Sleep(c.pause)
				continue
			}
			br = bufio.NewReader(conn)
		}
		c.sent.Add(1)
		if !exchangeOnce(conn, br, fmt.Sprintf("crowd-%d", i), c.parts(i), &c.tally) {
			_ = conn.Close()
			conn = nil
		}
		if i+c.clients < c.requests {
			time.Sleep(c.pause)
		}
	}
}
