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
		// Memory is the whole reservation of a replica, of which AdapterSpace
		// is for adapters; for an adapter it is the adapter's size.
		Memory       int64  `json:"memory-bytes"`
		AdapterSpace int64  `json:"adapter-bytes"`
		Priority     string `json:"priority"`
		Drain        bool   `json:"drain"`
		Role         string `json:"role"`
	}

	// refusal says why an order was not carried out; status 0 means done.
	refusal struct {
		status       int
		code, detail string
	}

	// pending is an order in progress or carried out.
	pending struct {
		done    chan struct{}
		outcome refusal
	}

	// replica is a loaded model version.
	replica struct {
		model, version string
		state          string // loading, failed, ready or draining
		memory, space  int64
		adapters       map[string]int64
		ready          map[string]bool
	}
)

func (o *order) key() string { return o.Model + "@" + o.Version }

// used returns the memory in use: each replica's reservation, and adapters
// that do not fit into the space reserved for them.
func (st *state) used() (n int64) {
	for _, r := range st.replicas {
		var a int64
		for _, b := range r.adapters {
			a += b
		}
		n += r.memory + max(0, a-r.space)
	}
	return n
}

// noteOrder records a step of o and the memory after it.
func (s *Server) noteOrder(st *state, kind string, o *order, code string) {
	n := st.used()
	s.peak = max(s.peak, n)
	s.note(Entry{Kind: kind, Order: o.ID, Fencing: o.Fencing, Model: o.Model, Version: o.Version, Adapter: o.Adapter, Code: code, MemoryBytes: n})
}

// postOrder answers when the order is done or refused. An order goes on when
// its sender leaves, and a repeated order-id joins the order in progress.
func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if !serve.ReadJSON(w, r, &o) {
		return
	}
	st := s.begin(w, o.Kind == "load" || o.Kind == "load-adapter")
	if st == nil {
		return
	}
	p := st.orders[o.ID]
	if p == nil || o.ID == "" {
		p = &pending{done: make(chan struct{})}
		if p.outcome = s.check(st, &o); p.outcome.status != 0 {
			s.noteOrder(st, "order-refused", &o, p.outcome.code)
			close(p.done)
		} else {
			st.orders[o.ID] = p
			go s.carryOut(st, &o, p)
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
	if out := p.outcome; out.status != 0 {
		serve.Error(w, out.status, out.code, out.detail)
		return
	}
	serve.WriteJSON(w, http.StatusOK, map[string]string{"order-id": o.ID})
}

// check refuses an order that is older than one seen before: by its fencing
// number, or by its sequence among the orders for the same target.
func (s *Server) check(st *state, o *order) refusal {
	if s.cfg.IgnoresFencing {
		return refusal{}
	}
	if o.Fencing < s.fencing {
		return refusal{http.StatusConflict, "fencing", fmt.Sprintf("fencing number %d is older than %d", o.Fencing, s.fencing)}
	}
	if o.Fencing > s.fencing {
		s.fencing = o.Fencing
		clear(st.sequences)
	}
	target := o.key() + "+" + o.Adapter
	if o.Sequence > 0 && o.Sequence < st.sequences[target] {
		return refusal{http.StatusConflict, "sequence", fmt.Sprintf("sequence %d is older than %d", o.Sequence, st.sequences[target])}
	}
	st.sequences[target] = o.Sequence
	return refusal{}
}

func (s *Server) carryOut(st *state, o *order, p *pending) {
	switch o.Kind {
	case "load":
		p.outcome = s.load(st, o)
	case "unload":
		p.outcome = s.unload(st, o)
	case "load-adapter":
		p.outcome = s.loadAdapter(st, o)
	case "unload-adapter":
		p.outcome = s.unloadAdapter(st, o)
	case "set-role":
		s.mu.Lock()
		st.role = o.Role
		s.mu.Unlock()
	default:
		p.outcome = refusal{http.StatusBadRequest, "bad-request", "unknown kind of order " + o.Kind}
	}
	s.mu.Lock()
	if p.outcome.status != 0 && s.st == st {
		s.noteOrder(st, "order-refused", o, p.outcome.code)
		delete(st.orders, o.ID)
	}
	s.mu.Unlock()
	close(p.done)
}

func (s *Server) load(st *state, o *order) refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rep := st.replicas[o.key()]; rep != nil {
		if rep.state == "draining" {
			return refusal{http.StatusLocked, "busy", "the model is being unloaded"}
		}
		out := s.await(st, func() bool { return rep.state != "loading" })
		if rep.state == "failed" {
			return refusal{http.StatusBadGateway, "store", "the weight store failed"}
		}
		return out
	}
	if n := st.used(); n+o.Memory > s.cfg.MemoryBytes {
		return refusal{http.StatusInsufficientStorage, "memory", fmt.Sprintf("%d of %d bytes are in use", n, s.cfg.MemoryBytes)}
	}
	rep := &replica{model: o.Model, version: o.Version, state: "loading", memory: o.Memory, space: o.AdapterSpace, adapters: map[string]int64{}, ready: map[string]bool{}}
	st.replicas[o.key()] = rep
	tier := s.tier(st, o.key())
	s.noteOrder(st, "load", o, tier)
	wait := s.cfg.RemoteLoad
	switch tier {
	case "memory":
		wait = s.cfg.MemoryLoad
	case "disk":
		wait = s.cfg.DiskLoad
	}
	s.mu.Unlock()
	ok := s.transfer(st, o, tier == "remote", wait)
	s.mu.Lock()
	if s.st != st {
		return refusal{http.StatusServiceUnavailable, "crashed", "the engine crashed"}
	}
	if !ok {
		rep.state = "failed"
		delete(st.replicas, o.key())
		return refusal{http.StatusBadGateway, "store", "the weight store failed"}
	}
	rep.state = "ready"
	s.keepCheckpoint(st, o.key())
	s.noteOrder(st, "load-end", o, tier)
	return refusal{}
}

// transfer waits for the data of o, from the weight store if remote. It
// returns false if the store fails.
func (s *Server) transfer(st *state, o *order, remote bool, wait time.Duration) bool {
	if remote && s.cfg.Store != "" {
		b, _ := json.Marshal(map[string]any{"model": o.Model, "version": o.Version, "adapter": o.Adapter, "bytes": o.Memory, "by": s.cfg.Name})
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

// await waits, with s.mu released meanwhile, until cond holds or the state is
// lost.
func (s *Server) await(st *state, cond func() bool) refusal {
	for !cond() {
		if s.st != st {
			return refusal{http.StatusServiceUnavailable, "crashed", "the engine crashed"}
		}
		s.mu.Unlock()
		time.Sleep(decodeStep)
		s.mu.Lock()
	}
	return refusal{}
}

func (s *Server) unload(st *state, o *order) refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := st.replicas[o.key()]
	if rep == nil {
		return refusal{}
	}
	busy := func() bool { return st.streamsOf(o.Model, o.Version, "") > 0 }
	switch {
	case rep.state == "loading":
		return refusal{http.StatusLocked, "busy", "the model is being loaded"}
	case !busy():
	case !o.Drain:
		return refusal{http.StatusLocked, "busy", "streams of the model are running"}
	default:
		rep.state = "draining"
		if out := s.await(st, func() bool { return !busy() }); out.status != 0 {
			return out
		}
		if st.replicas[o.key()] != rep {
			return refusal{}
		}
	}
	delete(st.replicas, o.key())
	s.noteOrder(st, "unload", o, "")
	return refusal{}
}

// streamsOf counts the streams in progress or queued; an empty adapter counts
// those of all adapters.
func (st *state) streamsOf(model, version, adapter string) (n int) {
	for _, r := range slices.Concat(st.running, st.queue) {
		if t := r.text; t.Model == model && t.Version == version && (adapter == "" || t.Adapter == adapter) {
			n++
		}
	}
	return n
}

func (s *Server) loadAdapter(st *state, o *order) refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := st.replicas[o.key()]
	if rep == nil || rep.state != "ready" {
		return refusal{http.StatusNotFound, "model-not-loaded", o.key()}
	}
	if _, ok := rep.adapters[o.Adapter]; ok {
		return s.await(st, func() bool { _, there := rep.adapters[o.Adapter]; return !there || rep.ready[o.Adapter] })
	}
	rep.adapters[o.Adapter] = o.Memory
	if n := st.used(); n > s.cfg.MemoryBytes {
		delete(rep.adapters, o.Adapter)
		return refusal{http.StatusInsufficientStorage, "memory", fmt.Sprintf("%d bytes would be needed", n)}
	}
	s.noteOrder(st, "load-adapter", o, "")
	s.mu.Unlock()
	ok := s.transfer(st, o, true, s.cfg.AdapterLoad)
	s.mu.Lock()
	if !ok {
		delete(rep.adapters, o.Adapter)
		return refusal{http.StatusBadGateway, "store", "the weight store failed"}
	}
	rep.ready[o.Adapter] = true
	return refusal{}
}

func (s *Server) unloadAdapter(st *state, o *order) refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := st.replicas[o.key()]
	if rep == nil {
		return refusal{}
	}
	if _, ok := rep.adapters[o.Adapter]; !ok {
		return refusal{}
	}
	if !rep.ready[o.Adapter] || st.streamsOf(o.Model, o.Version, o.Adapter) > 0 {
		return refusal{http.StatusLocked, "busy", "the adapter is in use"}
	}
	delete(rep.adapters, o.Adapter)
	delete(rep.ready, o.Adapter)
	s.noteOrder(st, "unload-adapter", o, "")
	return refusal{}
}
