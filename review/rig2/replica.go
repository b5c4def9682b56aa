package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// replica stands in for a replica of a plain service. It runs as many requests at once as
	// it has slots, keeps a few more waiting, and answers with bodyBytes bytes.
	replica struct {
		id, address string
		server      *http.Server
		// slots and places have an element for each request that runs, or is held.
		slots, places chan struct{}
		// work is how long a run takes.
		work time.Duration

		mu sync.Mutex
		// runs counts the runs by the request's ID.
		runs map[string]int
	}
)

const (
	// heartbeat is the interval at which a replica registers.
	heartbeat = 1200 * time.Millisecond
	// bodyBytes is the size of an answer.
	bodyBytes = 800
	// service is the name of the plain service.
	service = "desk"
	// slotCount and placeCount are the requests that a replica runs, and holds, at once.
	slotCount, placeCount = 6, 30
)

// newReplica starts a replica that registers in the store until ctx ends.
func newReplica(ctx context.Context, s *store, id, zone string, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &replica{id: id, address: l.Addr().String(), runs: map[string]int{}, slots: make(chan struct{}, slotCount), places: make(chan struct{}, placeCount), work: work}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), MaxHeaderBytes: 1 << 20}
	go func() { _ = p.server.Serve(l) }()
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": p.address, "zone": zone, "version": "v1", "slots": slotCount, "state": "ready",
		"coldRemainingMs": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	s.put("keyed.servers", id, entry)
	go func() {
		for t := time.NewTicker(heartbeat); ctx.Err() == nil; <-t.C {
			s.put("keyed.servers", id, entry)
		}
	}()
	return p, nil
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Instance-Id", p.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	select {
	case p.places <- struct{}{}:
		defer func() { <-p.places }()
	default:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-r.Context().Done():
		return
	}
	time.Sleep(p.work)
	p.mu.Lock()
	p.runs[id]++
	p.mu.Unlock()
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("stamp-%s-%s", p.id, id))
	_, _ = w.Write(make([]byte, bodyBytes))
}
