package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	// store stands in for the platform's store: a log with keyed topics of one partition.
	store struct {
		mu      sync.Mutex
		topics  map[string][]storeRecord
		changed chan struct{}
		address string
	}

	storeRecord struct {
		key   string
		value []byte
	}
)

// maxReadWait is the longest time for which a read waits.
const maxReadWait = 30 * time.Second

// newStore starts a store.
func newStore() (*store, error) {
	s := &store{topics: map[string][]storeRecord{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/-/log-append", s.serveAppend)
	mux.HandleFunc("/-/log-read", s.serveRead)
	mux.HandleFunc("/-/log-newest", s.serveNewest)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes the record of a key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, storeRecord{key, value})
}

// add appends a record. s.mu must be held.
func (s *store) add(topic string, r storeRecord) {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic, at := r.URL.Query().Get("topic"), r.URL.Query().Get("at")
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(first) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": first})
		return
	}
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+n]
		size := int(record[0])
		s.add(topic, storeRecord{string(record[1 : 1+size]), record[1+size:]})
		body = body[4+n:]
	}
	reply(w, http.StatusOK, map[string]int{"offset": first, "end": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(min(time.Duration(wait)*time.Millisecond, maxReadWait))
	s.mu.Lock()
	for wait > 0 && from >= len(s.topics[topic]) {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	records := s.topics[topic]
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]item{}
	for i, rec := range s.topics[topic] {
		newest[rec.key] = item{rec.key, rec.value, i}
		if len(rec.value) == 0 {
			delete(newest, rec.key)
		}
	}
	items := make([]item, 0, len(newest))
	for _, it := range newest {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "end": len(s.topics[topic])})
}

// reply writes a response in JSON.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
