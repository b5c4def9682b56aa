package platsv

import (
	"net/http"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	// loadPool shares a fixed bandwidth among loads: up to fullSpeedLoads loads
	// run at full speed; beyond that, each is proportionally slower.
	loadPool struct {
		fullSpeedLoads, running int
	}

	loadRequest struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		// Adapter is empty for a load of weights.
		Adapter string `json:"adapter"`
		Bytes   int64  `json:"bytes"`
		// Engine is the name of the engine that loads.
		Engine string `json:"by"`
	}
)

// loadStepInterval is the time after which the speed of a load is updated.
const loadStepInterval = 2 * time.Millisecond

// relativeSpeed returns the speed of each load as a fraction of full speed.
func (p *loadPool) relativeSpeed(slowdown float64) float64 {
	return min(1, float64(p.fullSpeedLoads)/float64(p.running)) / slowdown
}

// postLoad responds when the load is complete. The load is cancelled if the
// client disconnects.
func (s *Server) postLoad(w http.ResponseWriter, r *http.Request) {
	var l loadRequest
	if !serve.ReadJSON(w, r, &l) {
		return
	}
	p, work := &s.adapterLoads, s.cfg.AdapterLoadTime.Seconds()
	if l.Adapter == "" {
		p, work = &s.weightLoads, float64(l.Bytes)/s.cfg.StoreBytesPerSecond
		if err := s.loadLimiter.Wait(r.Context()); err != nil {
			return
		}
	}
	start := time.Now()
	e := Entry{Kind: "load", Model: l.Model, Version: l.Version, Adapter: l.Adapter, Engine: l.Engine}
	s.mu.Lock()
	p.running++
	e.InProgress = p.running
	s.record(e)
	s.mu.Unlock()
	for last := start; work > 0 && r.Context().Err() == nil; {
		time.Sleep(loadStepInterval)
		now := time.Now()
		s.mu.Lock()
		speed := p.relativeSpeed(orDefault(s.faults.StoreSlowdown, 1))
		s.mu.Unlock()
		work -= now.Sub(last).Seconds() * speed
		last = now
	}
	s.mu.Lock()
	p.running--
	e.Kind = "load-end"
	s.record(e)
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, map[string]int64{"took-ms": time.Since(start).Milliseconds()})
}
