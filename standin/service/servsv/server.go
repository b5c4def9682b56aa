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
		// Latency is the time from the arrival of a call to its execution.
		Latency time.Duration
		// Exit, if set, is called when the service crashes, instead of closing
		// all connections.
		Exit func()
	}

	// Faults are the injected faults. POST /admin/faults changes the fields that
	// its body names. Each count is the number of following calls affected.
	Faults struct {
		LatencyMS int64 `json:"latency-ms"`
		// CrashBefore and CrashAfter crash the service before or after it executes
		// the call.
		CrashBefore int `json:"crash-before"`
		CrashAfter  int `json:"crash-after"`
		// DropAfter closes the connection after the execution, without a
		// response.
		DropAfter int `json:"drop-after"`
		// Fail makes the service respond with 500 without executing the call.
		Fail int `json:"fail"`
		// Leaving makes the service refuse new calls.
		Leaving bool `json:"leaving"`
	}

	// Entry is one entry of the service's event log.
	Entry struct {
		TimeUS int64 `json:"time-us"`
		// Kind is run, refused, failed or crash.
		Kind    string `json:"kind"`
		Method  string `json:"method,omitempty"`
		Path    string `json:"path,omitempty"`
		Request string `json:"request,omitempty"`
		Key     string `json:"key,omitempty"`
		// Run is the number of this execution, counted from 1.
		Run int `json:"run,omitempty"`
	}

	// Server is a simulated plain service. Use Start to create one.
	Server struct {
		*serve.Server
		cfg Config

		mu      sync.Mutex
		faults  Faults
		runs    int
		entries []Entry
	}
)

// freeRange limits the free capacity in responses: 0 to freeRange-1.
const freeRange = 7

// Start serves a plain service on addr. An empty addr means 127.0.0.1 with a
// free port.
func Start(addr string, cfg Config) (*Server, error) {
	s := &Server{cfg: cfg, faults: Faults{LatencyMS: cfg.Latency.Milliseconds()}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveCall)
	mux.HandleFunc("POST /engravings", s.serveCall)
	mux.HandleFunc("GET /availability", s.serveCall)
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

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Entries returns the event log so far.
func (s *Server) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry{}, s.entries...)
}

// record appends an entry about r to the event log. The caller holds s.mu.
func (s *Server) record(kind string, r *http.Request) {
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

// consume decrements a fault count and reports whether it was positive.
func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return false
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	var body any
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	s.mu.Lock()
	if s.faults.Leaving {
		s.record("refused", r)
		s.mu.Unlock()
		w.Header().Set("X-Upstream-Leaving", "true")
		serve.Error(w, http.StatusServiceUnavailable, "leaving", "the service is leaving")
		return
	}
	latency := time.Duration(s.faults.LatencyMS) * time.Millisecond
	s.mu.Unlock()
	// The call is executed even if the client disconnects during the latency.
	time.Sleep(latency)
	s.mu.Lock()
	if consume(&s.faults.Fail) {
		s.record("failed", r)
		s.mu.Unlock()
		serve.Error(w, http.StatusInternalServerError, "failed", "the service failed before the run")
		return
	}
	crash := consume(&s.faults.CrashBefore)
	drop := false
	if !crash {
		s.record("run", r)
		crash, drop = consume(&s.faults.CrashAfter), consume(&s.faults.DropAfter)
	}
	run := s.runs
	if crash {
		s.record("crash", r)
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
		serve.WriteJSON(w, http.StatusOK, map[string]any{"service": s.cfg.Name, "free": run % freeRange})
	default:
		serve.WriteJSON(w, http.StatusCreated, map[string]any{"service": s.cfg.Name, "number": fmt.Sprintf("%s-%06d", s.cfg.Name, run), "order": body})
	}
}
