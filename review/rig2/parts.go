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
	tally struct{ ok, refused, cut atomic.Int64 }

	// crowd is a number of uncontrolled clients, each with one connection.
	crowd struct {
		daemon *daemon
		// tally is of the crowd's requests, and ordinary of the ordinary caller's beside it.
		tally, ordinary tally
		sent            atomic.Int64
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
	// crowdClients is the number of uncontrolled clients of a machine, and crowdPause a
	// client's pause between two requests: together they send less than half of what the link
	// of the machine carries, 1,000 Mbit/s.
	crowdClients = 16
	crowdPause   = 20 * time.Millisecond
	// dialPause is a client's pause after a connection was refused.
	dialPause = 20 * time.Millisecond
	// machines is the number of machines, both of the size that a zone of figtray-coop has
	// two of, and endsPerMachine that of the ends of a process which the rule takes.
	machines, endsPerMachine = 2, 3
	// playTime bounds a play.
	playTime = 105 * time.Second
	// memoryInterval is the interval at which the platform looks at the memory of a process,
	// and restartDelay its delay before it starts one again.
	memoryInterval = 10 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	noteInterval   = 4 * time.Second
	// longPart is the size of the ID of a prompt part, in hexadecimal digits, which brings the
	// head above maxHeaderBytes; shortPart is that of an ordinary ID.
	longPart, shortPart = 60000, 8
	// callInterval is the interval of an ordinary caller's requests.
	callInterval = 50 * time.Millisecond
	// deskReplicas is the number of replicas.
	deskReplicas = 3
)

func init() { plays["parts"] = playParts }

// playParts has uncontrolled clients send requests with heads above the limit, each with a
// prompt part of its own that has a long ID.
func playParts(r *rig) (bool, error) {
	size := shortPart
	if r.trouble {
		size = longPart
	}
	return r.playCrowds(func(d *daemon) *crowd {
		return &crowd{daemon: d, clients: crowdClients, pause: crowdPause, parts: func(i int) string {
			// Of its parts, the last one belongs to the request itself.
			digits := strconv.FormatInt(int64(i), 16)
			return digits + strings.Repeat("a", max(size-len(digits), 0)) + ":100," + digits + ":100"
		}}
	})
}

// playCrowds starts the two small machines of the deployment, sends a crowd to each beside an
// ordinary caller, and reports whether the processes ended by themselves so often that the
// rule is broken: three times on each of the two. It ends then, or after playTime.
func (r *rig) playCrowds(newCrowd func(d *daemon) *crowd) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	r.store.put("keyed.op", "config", []byte(lookupConfig))
	var replicas []*replica
	for i := range deskReplicas {
		p, err := newReplica(ctx, r.store, fmt.Sprintf("i-desk%d", i), "yeongcheon", deskWork)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, p)
	}
	for i := range machines {
		if _, err := r.add(machine{name: fmt.Sprintf("frontend-yeongcheon-%d", i+1), memoryMB: 284, fds: 4200, first: true}); err != nil {
			return false, err
		}
	}
	for _, d := range r.daemons {
		if err := d.awaitReady(); err != nil {
			return false, err
		}
	}
	var users, hosts sync.WaitGroup
	var ended atomic.Int64
	for _, d := range r.daemons {
		c := newCrowd(d)
		users.Go(func() { c.run(ctx) })
		users.Go(func() {
			for n := 1; ctx.Err() == nil; n++ {
				callOnce(d, n, &c.ordinary)
				time.Sleep(callInterval)
			}
		})
		hosts.Go(func() {
			if r.host(ctx, d, c) >= endsPerMachine && ended.Add(1) == machines {
				cancel()
			}
		})
	}
	hosts.Wait()
	cancel()
	users.Wait()
	runs := map[string]int{}
	for _, p := range replicas {
		p.mu.Lock()
		for id, n := range p.runs {
			kind, _, _ := strings.Cut(id, "-")
			runs[kind] += n
		}
		p.mu.Unlock()
	}
	r.note("replicas ran %d requests of the crowds and %d ordinary ones", runs["crowd"], runs["plain"])
	return ended.Load() == machines, nil
}

// host does with a daemon what the platform does: it kills the process once it takes more than
// the memory of its machine, and starts it again. It returns after endsPerMachine ends of the
// process, or when ctx ends, with their number.
func (r *rig) host(ctx context.Context, d *daemon, c *crowd) (ends int) {
	for noted := time.Now(); ctx.Err() == nil && ends < endsPerMachine; time.Sleep(memoryInterval) {
		now, most := d.residentKB()
		if time.Since(noted) > noteInterval {
			noted = time.Now()
			r.noteCrowd(d, c, now, most)
		}
		if now <= d.memoryMB<<10 && !d.ended() {
			continue
		}
		ends++
		r.noteCrowd(d, c, now, most)
		r.note("%s: resident %d KB, limit %d KB: the process ends, for the %d. time", d.name, now, d.memoryMB<<10, ends)
		d.kill()
		if ends == endsPerMachine {
			return ends
		}
		time.Sleep(restartDelay)
		if err := d.start(false); err != nil {
			r.note("%s: not started: %v", d.name, err)
			return ends
		}
	}
	now, most := d.residentKB()
	r.noteCrowd(d, c, now, most)
	return ends
}

// noteCrowd records what was sent and answered, and the memory of the daemon.
func (r *rig) noteCrowd(d *daemon, c *crowd, now, most int) {
	r.note("%s: crowd: sent %d, answered %d, refused %d, connection ended %d; ordinary: answered %d, refused %d, connection ended %d; resident %d KB, most %d KB of %d KB",
		d.name, c.sent.Load(), c.tally.ok.Load(), c.tally.refused.Load(), c.tally.cut.Load(), c.ordinary.ok.Load(), c.ordinary.refused.Load(), c.ordinary.cut.Load(), now, most, d.memoryMB<<10)
}

// callOnce sends an ordinary request on a connection of its own.
func callOnce(d *daemon, n int, t *tally) {
	conn, err := net.Dial("tcp", d.callers)
	if err != nil {
		t.cut.Add(1)
		return
	}
	defer func() { _ = conn.Close() }()
	exchangeOnce(conn, bufio.NewReader(conn), fmt.Sprintf("plain-%s-%d", d.name, n), "5c1e07a2:800,91bd3f06:410", t)
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

// run sends the requests of all clients until ctx ends.
func (c *crowd) run(ctx context.Context) {
	var clients sync.WaitGroup
	for n := range c.clients {
		clients.Go(func() { c.runOne(ctx, n) })
	}
	clients.Wait()
}

// runOne sends the requests of one client.
func (c *crowd) runOne(ctx context.Context, n int) {
	var conn net.Conn
	var br *bufio.Reader
	for i := n; ctx.Err() == nil; i += c.clients {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", c.daemon.callers); err != nil {
				conn = nil
				time.Sleep(dialPause)
				continue
			}
			br = bufio.NewReader(conn)
		}
		c.sent.Add(1)
		if !exchangeOnce(conn, br, fmt.Sprintf("crowd-%s-%d", c.daemon.name, i), c.parts(i), &c.tally) {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(c.pause)
	}
	if conn != nil {
		_ = conn.Close()
	}
}
