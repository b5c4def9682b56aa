package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// store is the platform's metadata store: a log with keyed topics of one partition,
	// as PROTOCOL.md describes it. It answers at once and is never in disturbance.
	store struct {
		address string
		server  *http.Server

		mu      sync.Mutex
		topics  map[string][]entry
		changed chan struct{}
	}

	// door is another address of the store, for one machine. While it is shut, its channels
	// hang. In the values that are read through it, an address is replaced by another, so
	// that the machine reaches a daemon through a relay.
	door struct {
		store   *store
		address string
		replace *strings.Replacer
		gate    *gate
	}

	// entry is a record of a keyed topic; one without a value drops the key.
	entry struct {
		key   string
		value []byte
	}
)

const (
	configTopic   = "keyed.op"
	registerTopic = "keyed.servers"
)

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: map[string][]entry{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put appends a record, as the operator and the replicas do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, entry{key, value})
}

// append adds a record and wakes the reads that wait. The caller holds mu.
func (s *store) append(topic string, e ...entry) {
	s.topics[topic] = append(s.topics[topic], e...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// newDoor opens a door.
func newDoor(s *store, g *gate) (*door, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{store: s, address: l.Addr().String(), replace: strings.NewReplacer(), gate: g}
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(l) }()
	return d, nil
}

type replacerKey struct{}

// ServeHTTP passes a call to the store unless the door is shut, now or when the answer is
// due: the machine then gets none.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.gate.wait(r.Context())
	b := httptest.NewRecorder()
	d.store.ServeHTTP(b, r.WithContext(context.WithValue(r.Context(), replacerKey{}, d.replace)))
	d.gate.wait(r.Context())
	for k, v := range b.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(b.Code)
	_, _ = w.Write(b.Body.Bytes())
}

// seen returns a value as the machine that has sent the call sees it.
func seen(r *http.Request, value []byte) []byte {
	if x, ok := r.Context().Value(replacerKey{}).(*strings.Replacer); ok {
		return []byte(x.Replace(string(value)))
	}
	return value
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/-/log-append":
		s.serveAppend(w, r, topic)
	case "/-/log-newest":
		s.serveNewest(w, r, topic)
	case "/-/log-read":
		s.serveRead(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err != nil {
		return
	}
	if topic == configTopic || topic == registerTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var added []entry
	for b := body; len(b) >= 5; {
		n, k := int(binary.BigEndian.Uint32(b)), int(b[4])
		if n > len(b)-4 || 1+k > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		added = append(added, entry{string(b[5 : 5+k]), append([]byte{}, b[5+k:4+n]...)})
		b = b[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		answer(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	s.append(topic, added...)
	answer(w, http.StatusOK, map[string]int{"offset": end, "end": end + len(added)})
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]item{}
	for i, e := range s.topics[topic] {
		delete(newest, e.key)
		if len(e.value) > 0 {
			newest[e.key] = item{e.key, base64.StdEncoding.EncodeToString(seen(r, e.value)), i}
		}
	}
	items := []item{}
	for _, it := range newest {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "end": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for from >= len(s.topics[topic]) && ctx.Err() == nil {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.mu.Lock()
	}
	all := s.topics[topic]
	if from > len(all) {
		answer(w, http.StatusGone, map[string]int{"first": 0})
		return
	}
	b := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, e := range all[from:] {
		value := seen(r, e.value)
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(e.key)+len(value)))
		b = append(append(append(b, byte(len(e.key))), e.key...), value...)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	_, _ = w.Write(b)
}
