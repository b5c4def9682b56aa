package platsv

import (
	"net/http"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	// pool shares a fixed speed among loads: up to atOnce loads run at full
	// speed, beyond that each is proportionally slower.
	pool struct {
		atOnce, running int
	}

	load struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		// Adapter is empty for a load of weights.
		Adapter string `json:"adapter"`
		Bytes   int64  `json:"bytes"`
		// By names the engine.
		By string `json:"by"`
	}
)

// storeStep is the step in which the speed of a load is adjusted.
const storeStep = 2 * time.Millisecond

// speed returns the share of its full speed at which each load runs.
func (p *pool) speed(slowdown float64) float64 {
	return min(1, float64(p.atOnce)/float64(p.running)) / slowdown
}

// postLoad answers when the load is done. A caller that leaves ends it.
func (s *Server) postLoad(w http.ResponseWriter, r *http.Request) {
	var l load
	if !serve.ReadJSON(w, r, &l) {
		return
	}
	p, work := &s.adapters, s.cfg.AdapterLoadTime.Seconds()
	if l.Adapter == "" {
		p, work = &s.weights, float64(l.Bytes)/s.cfg.StoreBytesPerSecond
		if err := s.starts.Wait(r.Context()); err != nil {
			return
		}
	}
	start := time.Now()
	e := Entry{Kind: "load", Model: l.Model, Version: l.Version, Adapter: l.Adapter, Engine: l.By}
	s.mu.Lock()
	p.running++
	e.InProgress = p.running
	s.note(e)
	s.mu.Unlock()
	for last := start; work > 0 && r.Context().Err() == nil; {
		time.Sleep(storeStep)
		now := time.Now()
		s.mu.Lock()
		speed := p.speed(or(s.faults.StoreSlowdown, 1))
		s.mu.Unlock()
		work -= now.Sub(last).Seconds() * speed
		last = now
	}
	s.mu.Lock()
	p.running--
	e.Kind = "load-end"
	s.note(e)
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, map[string]int64{"took-ms": time.Since(start).Milliseconds()})
}
