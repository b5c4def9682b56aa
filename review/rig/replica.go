package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// replica is a replica of a service. It registers itself in the store and serves
	// requests on plain connections, so that a case can decide about each byte.
	replica struct {
		id, service, version, address string
		engine                        bool
		slots                         int
		born                          int64
		store                         *store
		rec                           *record
		listener                      net.Listener
		// serve answers a request and reports whether the connection is kept. It is
		// called for all but reports and orders.
		serve func(c *conn, q *request) bool

		mu     sync.Mutex
		models []string
		// loading is the model that is being loaded, and onDisk are those that are loaded from
		// the disk of the engine.
		loading string
		onDisk  []string
		orders  int64
		runs    map[string]int
		conns   map[net.Conn]bool
		beats   bool
		closed  bool
	}

	// conn is a connection to a replica.
	conn struct {
		net.Conn
		replica *replica
	}

	// request is a request that has reached a replica.
	request struct {
		*http.Request
		id   string
		body []byte
	}
)

// beatInterval is the interval of status reports, heartbeatMs in the settings.
const beatInterval = 1200 * time.Millisecond

func newReplica(s *store, rec *record, id, service string, slots int, models []string, serve func(c *conn, q *request) bool) (*replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, version: "v1", address: l.Addr().String(), engine: models != nil, slots: slots, born: time.Now().UnixMilli(), store: s, rec: rec,
		listener: l, serve: serve, models: models, onDisk: models, runs: map[string]int{}, conns: map[net.Conn]bool{}, beats: true,
	}
	r.beat("ready")
	go r.accept(l)
	go func() {
		for range time.Tick(beatInterval) {
			r.mu.Lock()
			beats := r.beats
			r.mu.Unlock()
			if beats {
				r.beat("ready")
			}
		}
	}()
	return r, nil
}

func (r *replica) held() []map[string]any {
	held := []map[string]any{}
	for _, m := range r.models {
		held = append(held, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return held
}

// entry returns the replica's entry in the register.
func (r *replica) entry(state string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": r.version, "slots": r.slots, "state": state,
		"coldRemainingMs": 0, "stage": "both", "models": r.held(), "sequence": r.orders, "born": r.born,
		"atHand": map[string]any{"inMemory": []string{}, "onDisk": r.onDisk},
	})
	return b
}

func (r *replica) beat(state string) { r.store.put(registerTopic, r.id, r.entry(state)) }

// leaveRegister has the entry removed and ends the status reports.
func (r *replica) leaveRegister() {
	r.mu.Lock()
	r.beats = false
	r.mu.Unlock()
	r.store.put(registerTopic, r.id, nil)
}

// restart ends the replica and starts it again after a while, under the same id and at the
// same address, without models, with a version of its software.
func (r *replica) restart(down time.Duration, version string) error {
	r.mu.Lock()
	beats := r.beats
	r.beats = false
	r.mu.Unlock()
	r.end()
	time.Sleep(down)
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.version, r.born, r.models, r.loading, r.orders, r.beats = l, version, time.Now().UnixMilli(), []string{}, "", 0, beats
	r.conns = map[net.Conn]bool{}
	r.mu.Unlock()
	go r.accept(l)
	r.beat("ready")
	return nil
}

func (r *replica) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[nc] = true
		r.mu.Unlock()
		go r.handle(&conn{nc, r})
	}
}

// end ends the replica: it closes all connections.
func (r *replica) end() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats = false
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *replica) handle(c *conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c.Conn)
		r.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		hr, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(hr.Body)
		if err != nil {
			return
		}
		q := &request{hr, hr.Header.Get("X-Request-Id"), body}
		if want := hr.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
			c.writeWhole(421, "X-Instance-Id: "+r.id+"\r\n", "")
			continue
		}
		switch hr.URL.Path {
		case "/-/report":
			r.mu.Lock()
			b, _ := json.Marshal(map[string]any{"born": r.born, "stage": "both", "models": r.held(), "sequence": r.orders, "busy": r.loading != "", "atHand": map[string]any{"inMemory": []string{}, "onDisk": r.onDisk}, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 120000, "handles": 0})
			r.mu.Unlock()
			c.writeWhole(200, "Content-Type: application/json\r\n", string(b))
		case "/-/order":
			c.writeWhole(r.order(body), "", "")
		default:
			if m := hr.Header.Get("X-Model"); r.engine && !r.holds(m) {
				c.writeWhole(421, "X-Instance-Id: "+r.id+"\r\n", "")
				continue
			}
			if !r.serve(c, q) {
				return
			}
		}
	}
}

// diskLoad is the time of a load from the disk, diskS in the configuration.
const diskLoad = 570 * time.Millisecond

// order carries out an order: unloads at once, loads as from the disk.
func (r *replica) order(body []byte) int {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expect                            *int64
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" {
		return 400
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Expect != nil && *o.Expect != r.orders {
		return 409
	}
	if r.loading != "" {
		return 409
	}
	r.orders++
	at := slices.Index(r.models, o.Model)
	switch {
	case o.Operation == "loading" && at < 0:
		born := r.born
		r.loading = o.Model
		time.AfterFunc(diskLoad, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.born == born {
				r.models, r.loading = append(r.models, o.Model), ""
				r.rec.logf("replica %s: has loaded %s", r.id, o.Model)
			}
		})
	case o.Operation == "unloading" && at >= 0:
		r.models = slices.Delete(r.models, at, at+1)
	}
	return 202
}

// holds reports whether an engine holds a model.
func (r *replica) holds(m string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.models, m)
}

// ran counts a run of a request and returns how often it has run here.
func (r *replica) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	return r.runs[id]
}

// stamp returns the headers of an answer to a request that has run.
func (q *request) stamp(c *conn) string {
	return "X-Request-Id: " + q.id + "\r\nX-Server-Stamp: " + c.replica.id + "." + q.id + "\r\n"
}

// writeWhole writes an answer with a length.
func (c *conn) writeWhole(status int, headers, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+headers+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// writeChunk writes a chunk of an answer.
func (c *conn) writeChunk(s string) error {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s)
	return err
}

// event returns an event of a stream.
func event(q *request, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, q.id, n) }

// streamHead is the head of a stream in chunks, with further headers.
func (q *request) streamHead(c *conn, more ...string) string {
	return "HTTP/1.1 200 OK\r\n" + q.stamp(c) + strings.Join(more, "") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// after returns the event from which the stream is to go on.
func (q *request) after() int {
	n, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	return n
}

// writeStream runs a request and writes its events with a pause before each, as a sound
// engine does: the head comes with the first one. more are further headers.
func (c *conn) writeStream(q *request, events int, gap time.Duration, more ...string) bool {
	return c.writeEvents(q, events, gap, q.streamHead(c, more...), event)
}

// writeStreamOf is writeStream with the software version in each event.
func (c *conn) writeStreamOf(q *request, events int, gap time.Duration, version string) bool {
	return c.writeEvents(q, events, gap, q.streamHead(c), func(q *request, n int) string {
		return fmt.Sprintf("id: %d\ndata: %s piece %d of %s\n\n", n, q.id, n, version)
	})
}

func (c *conn) writeEvents(q *request, events int, gap time.Duration, head string, event func(q *request, n int) string) bool {
	for n := q.after() + 1; n <= events; n++ {
		time.Sleep(gap)
		if n == q.after()+1 {
			if _, err := io.WriteString(c, head); err != nil {
				return false
			}
		}
		if c.writeChunk(event(q, n)) != nil {
			return false
		}
	}
	if q.after() >= events {
		_, _ = io.WriteString(c, head)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
