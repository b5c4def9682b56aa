package servsv

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	// Config describes a service.
	Config struct {
		Name string
		// Latency is the time between the arrival of a call and its run.
		Latency time.Duration
		// Exit is called in place of dropping all connections when the
		// service crashes.
		Exit func()
	}

	// Faults are the faults in force. POST /admin/faults changes the fields
	// that its body names. A count applies to the next so many calls.
	Faults struct {
		LatencyMS int64 `json:"latency-ms"`
		// CrashBefore and CrashAfter crash the service before or after a run.
		CrashBefore int `json:"crash-before"`
		CrashAfter  int `json:"crash-after"`
		// DropAfter closes the connection after a run, without an answer.
		DropAfter int `json:"drop-after"`
		// Fail answers 500 without a run.
		Fail int `json:"fail"`
		// Leaving refuses new calls.
		Leaving bool `json:"leaving"`
	}

	// Entry is one line of the stand-in's own log.
	Entry struct {
		TimeUS int64 `json:"time-us"`
		// Kind is run, refused, failed or crash.
		Kind    string `json:"kind"`
		Method  string `json:"method,omitempty"`
		Path    string `json:"path,omitempty"`
		Request string `json:"request,omitempty"`
		Key     string `json:"key,omitempty"`
		// Run counts the runs of this service from 1.
		Run int `json:"run,omitempty"`
	}

	// Server is a plain service. See Start.
	Server struct {
		*serve.Server
		cfg Config

		mu      sync.Mutex
		faults  Faults
		runs    int
		entries []Entry
	}
)

// Start serves a plain service on addr; an empty addr stands for 127.0.0.1
// port 0.
func Start(addr string, cfg Config) (*Server, error) {
	s := &Server{cfg: cfg, faults: Faults{LatencyMS: cfg.Latency.Milliseconds()}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.call)
	mux.HandleFunc("POST /engravings", s.call)
	mux.HandleFunc("GET /availability", s.call)
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults()
		if serve.ReadJSON(w, r, &f) {
			s.SetFaults(f)
			serve.WriteJSON(w, http.StatusOK, f)
		}
	})
	mux.HandleFunc("GET /admin/records", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, map[string]any{"name": cfg.Name, "entries": s.Entries()})
	})
	var err error
	s.Server, err = serve.Start(addr, mux)
	return s, err
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Entries returns the stand-in's own log so far.
func (s *Server) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry{}, s.entries...)
}

// note records what happened to r. The caller holds s.mu.
func (s *Server) note(kind string, r *http.Request) {
	e := Entry{
		TimeUS: time.Now().UnixMicro(), Kind: kind, Method: r.Method, Path: r.URL.Path,
		Request: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"),
	}
	if kind == "run" {
		s.runs++
		e.Run = s.runs
	}
	s.entries = append(s.entries, e)
}

// take uses up one of a count of faults.
func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return false
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var body any
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	s.mu.Lock()
	if s.faults.Leaving {
		s.note("refused", r)
		s.mu.Unlock()
		w.Header().Set("X-Upstream-Leaving", "true")
		serve.Error(w, http.StatusServiceUnavailable, "leaving", "the service is leaving")
		return
	}
	latency := time.Duration(s.faults.LatencyMS) * time.Millisecond
	s.mu.Unlock()
	// The run takes place even if the caller leaves meanwhile.
	time.Sleep(latency)
	s.mu.Lock()
	if take(&s.faults.Fail) {
		s.note("failed", r)
		s.mu.Unlock()
		serve.Error(w, http.StatusInternalServerError, "failed", "the service failed before the run")
		return
	}
	crash := take(&s.faults.CrashBefore)
	drop := false
	if !crash {
		s.note("run", r)
		crash, drop = take(&s.faults.CrashAfter), take(&s.faults.DropAfter)
	}
	run := s.runs
	if crash {
		s.note("crash", r)
	}
	s.mu.Unlock()
	switch {
	case crash && s.cfg.Exit != nil:
		s.cfg.Exit()
	case crash:
		s.CloseConnections()
		panic(http.ErrAbortHandler)
	case drop:
		panic(http.ErrAbortHandler)
	case r.Method == http.MethodGet:
		serve.WriteJSON(w, http.StatusOK, map[string]any{"service": s.cfg.Name, "free": run % 7})
	default:
		serve.WriteJSON(w, http.StatusCreated, map[string]any{"service": s.cfg.Name, "number": fmt.Sprintf("%s-%06d", s.cfg.Name, run), "order": body})
	}
}
