package engsv

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	order struct {
		ID       string `json:"order-id"`
		Fencing  uint64 `json:"fencing"`
		Sequence uint64 `json:"sequence"`
		Kind     string `json:"kind"`
		Model    string `json:"model"`
		Version  string `json:"version"`
		Adapter  string `json:"adapter"`
		// MemoryBytes is the total memory reservation of a replica, of which
		// AdapterSpaceBytes is for adapters. For an adapter order it is the size
		// of the adapter.
		MemoryBytes       int64  `json:"memory-bytes"`
		AdapterSpaceBytes int64  `json:"adapter-bytes"`
		Priority          string `json:"priority"`
		Drain             bool   `json:"drain"`
		Role              string `json:"role"`
	}

	// orderResult is the HTTP status, error code and detail of a rejected or
	// failed order. Status 0 means success.
	orderResult struct {
		status       int
		code, detail string
	}

	// pendingOrder is an accepted order. done is closed once result is set.
	pendingOrder struct {
		done   chan struct{}
		result orderResult
	}

	// replica is a loaded model version.
	replica struct {
		model, version                 string
		state                          string // loading, failed, ready or draining
		memoryBytes, adapterSpaceBytes int64
		adapterBytes                   map[string]int64
		readyAdapters                  map[string]bool
	}
)

func (o *order) key() string { return o.Model + "@" + o.Version }

// usedBytes returns the memory in use: the reservation of each replica, plus
// the adapter bytes that exceed the reserved adapter space.
func (st *state) usedBytes() (n int64) {
	for _, r := range st.replicas {
		var a int64
		for _, b := range r.adapterBytes {
			a += b
		}
		n += r.memoryBytes + max(0, a-r.adapterSpaceBytes)
	}
	return n
}

// recordOrder adds an event log entry for o with the memory now in use.
func (s *Server) recordOrder(st *state, kind string, o *order, code string) {
	n := st.usedBytes()
	s.peakBytes = max(s.peakBytes, n)
	s.record(Entry{Kind: kind, Order: o.ID, Fencing: o.Fencing, Model: o.Model, Version: o.Version, Adapter: o.Adapter, Code: code, MemoryBytes: n})
}

// postOrder responds when the order has succeeded or failed. Execution continues
// if the client disconnects. A request with a known order-id waits for the
// existing order instead of executing it again.
func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if !serve.ReadJSON(w, r, &o) {
		return
	}
	st := s.lockState(w, o.Kind == "load" || o.Kind == "load-adapter")
	if st == nil {
		return
	}
	p := st.orders[o.ID]
	if p == nil || o.ID == "" {
		p = &pendingOrder{done: make(chan struct{})}
		if p.result = s.checkOrder(st, &o); p.result.status != 0 {
			s.recordOrder(st, "order-refused", &o, p.result.code)
			close(p.done)
		} else {
			st.orders[o.ID] = p
			go s.executeOrder(st, &o, p)
		}
	}
	s.mu.Unlock()
	select {
	case <-p.done:
	case <-r.Context().Done():
		return
	case <-st.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	if out := p.result; out.status != 0 {
		serve.Error(w, out.status, out.code, out.detail)
		return
	}
	serve.WriteJSON(w, http.StatusOK, map[string]string{"order-id": o.ID})
}

// checkOrder rejects an outdated order: one with a lower fencing number than a
// previous order, or with a lower sequence number than a previous order for the
// same model version and adapter.
func (s *Server) checkOrder(st *state, o *order) orderResult {
	if s.cfg.IgnoresFencing {
		return orderResult{}
	}
	if o.Fencing < s.fencing {
		return orderResult{http.StatusConflict, "fencing", fmt.Sprintf("fencing number %d is older than %d", o.Fencing, s.fencing)}
	}
	if o.Fencing > s.fencing {
		s.fencing = o.Fencing
		clear(st.lastSequence)
	}
	target := o.key() + "+" + o.Adapter
	if o.Sequence > 0 && o.Sequence < st.lastSequence[target] {
		return orderResult{http.StatusConflict, "sequence", fmt.Sprintf("sequence %d is older than %d", o.Sequence, st.lastSequence[target])}
	}
	st.lastSequence[target] = o.Sequence
	return orderResult{}
}

func (s *Server) executeOrder(st *state, o *order, p *pendingOrder) {
	switch o.Kind {
	case "load":
		p.result = s.load(st, o)
	case "unload":
		p.result = s.unload(st, o)
	case "load-adapter":
		p.result = s.loadAdapter(st, o)
	case "unload-adapter":
		p.result = s.unloadAdapter(st, o)
	case "set-role":
		s.mu.Lock()
		st.role = o.Role
		s.mu.Unlock()
	default:
		p.result = orderResult{http.StatusBadRequest, "bad-request", "unknown kind of order " + o.Kind}
	}
	s.mu.Lock()
	if p.result.status != 0 && s.st == st {
		s.recordOrder(st, "order-refused", o, p.result.code)
		delete(st.orders, o.ID)
	}
	s.mu.Unlock()
	close(p.done)
}

func (s *Server) load(st *state, o *order) orderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rep := st.replicas[o.key()]; rep != nil {
		if rep.state == "draining" {
			return orderResult{http.StatusLocked, "busy", "the model is being unloaded"}
		}
		out := s.waitUntil(st, func() bool { return rep.state != "loading" })
		if rep.state == "failed" {
			return orderResult{http.StatusBadGateway, "store", "the weight store failed"}
		}
		return out
	}
	if n := st.usedBytes(); n+o.MemoryBytes > s.cfg.MemoryBytes {
		return orderResult{http.StatusInsufficientStorage, "memory", fmt.Sprintf("%d of %d bytes are in use", n, s.cfg.MemoryBytes)}
	}
	rep := &replica{model: o.Model, version: o.Version, state: "loading", memoryBytes: o.MemoryBytes, adapterSpaceBytes: o.AdapterSpaceBytes, adapterBytes: map[string]int64{}, readyAdapters: map[string]bool{}}
	st.replicas[o.key()] = rep
	tier := s.tierOf(st, o.key())
	s.recordOrder(st, "load", o, tier)
	wait := s.cfg.RemoteLoad
	switch tier {
	case "memory":
		wait = s.cfg.MemoryLoad
	case "disk":
		wait = s.cfg.DiskLoad
	}
	s.mu.Unlock()
	ok := s.fetchCheckpoint(st, o, tier == "remote", wait)
	s.mu.Lock()
	if s.st != st {
		return orderResult{http.StatusServiceUnavailable, "crashed", "the engine crashed"}
	}
	if !ok {
		rep.state = "failed"
		delete(st.replicas, o.key())
		return orderResult{http.StatusBadGateway, "store", "the weight store failed"}
	}
	rep.state = "ready"
	s.cacheCheckpoint(st, o.key())
	s.recordOrder(st, "load-end", o, tier)
	return orderResult{}
}

// fetchCheckpoint waits until the data of o is transferred: from the weight
// store if remote is set and a store is configured, else for the given time. It
// reports whether the transfer succeeded.
func (s *Server) fetchCheckpoint(st *state, o *order, remote bool, wait time.Duration) bool {
	if remote && s.cfg.Store != "" {
		b, _ := json.Marshal(map[string]any{"model": o.Model, "version": o.Version, "adapter": o.Adapter, "bytes": o.MemoryBytes, "by": s.cfg.Name})
		req, err := http.NewRequestWithContext(st.ctx, http.MethodPost, s.cfg.Store+"/store/loads", bytes.NewReader(b))
		if err != nil {
			return false
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode == http.StatusOK
	}
	select {
	case <-time.After(wait):
	case <-st.ctx.Done():
	}
	return true
}

// waitUntil polls cond until it holds or a crash discards st. The caller holds
// s.mu, which is released between polls.
func (s *Server) waitUntil(st *state, cond func() bool) orderResult {
	for !cond() {
		if s.st != st {
			return orderResult{http.StatusServiceUnavailable, "crashed", "the engine crashed"}
		}
		s.mu.Unlock()
		time.Sleep(decodeInterval)
		s.mu.Lock()
	}
	return orderResult{}
}

func (s *Server) unload(st *state, o *order) orderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := st.replicas[o.key()]
	if rep == nil {
		return orderResult{}
	}
	busy := func() bool { return st.activeStreams(o.Model, o.Version, "") > 0 }
	switch {
	case rep.state == "loading":
		return orderResult{http.StatusLocked, "busy", "the model is being loaded"}
	case !busy():
	case !o.Drain:
		return orderResult{http.StatusLocked, "busy", "streams of the model are running"}
	default:
		rep.state = "draining"
		if out := s.waitUntil(st, func() bool { return !busy() }); out.status != 0 {
			return out
		}
		if st.replicas[o.key()] != rep {
			return orderResult{}
		}
	}
	delete(st.replicas, o.key())
	s.recordOrder(st, "unload", o, "")
	return orderResult{}
}

// activeStreams returns the number of running and queued streams of a model
// version. An empty adapter matches all adapters.
func (st *state) activeStreams(model, version, adapter string) (n int) {
	for _, r := range slices.Concat(st.running, st.queue) {
		if t := r.completion; t.Model == model && t.Version == version && (adapter == "" || t.Adapter == adapter) {
			n++
		}
	}
	return n
}

func (s *Server) loadAdapter(st *state, o *order) orderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := st.replicas[o.key()]
	if rep == nil || rep.state != "ready" {
		return orderResult{http.StatusNotFound, "model-not-loaded", o.key()}
	}
	if _, ok := rep.adapterBytes[o.Adapter]; ok {
		return s.waitUntil(st, func() bool { _, there := rep.adapterBytes[o.Adapter]; return !there || rep.readyAdapters[o.Adapter] })
	}
	rep.adapterBytes[o.Adapter] = o.MemoryBytes
	if n := st.usedBytes(); n > s.cfg.MemoryBytes {
		delete(rep.adapterBytes, o.Adapter)
		return orderResult{http.StatusInsufficientStorage, "memory", fmt.Sprintf("%d bytes would be needed", n)}
	}
	s.recordOrder(st, "load-adapter", o, "")
	s.mu.Unlock()
	ok := s.fetchCheckpoint(st, o, true, s.cfg.AdapterLoad)
	s.mu.Lock()
	if !ok {
		delete(rep.adapterBytes, o.Adapter)
		return orderResult{http.StatusBadGateway, "store", "the weight store failed"}
	}
	rep.readyAdapters[o.Adapter] = true
	return orderResult{}
}

func (s *Server) unloadAdapter(st *state, o *order) orderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := st.replicas[o.key()]
	if rep == nil {
		return orderResult{}
	}
	if _, ok := rep.adapterBytes[o.Adapter]; !ok {
		return orderResult{}
	}
	if !rep.readyAdapters[o.Adapter] || st.activeStreams(o.Model, o.Version, o.Adapter) > 0 {
		return orderResult{http.StatusLocked, "busy", "the adapter is in use"}
	}
	delete(rep.adapterBytes, o.Adapter)
	delete(rep.readyAdapters, o.Adapter)
	s.recordOrder(st, "unload-adapter", o, "")
	return orderResult{}
}
