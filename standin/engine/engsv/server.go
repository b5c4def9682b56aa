package engsv

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	// Config describes an engine. A zero field stands for its default.
	Config struct {
		Name string
		// MemoryBytes is the accelerator memory; default 80 GB.
		MemoryBytes int64
		// Sequences decoded at once; default 8.
		Sequences int
		// TokensPerSecond over all sequences; default 800.
		TokensPerSecond float64
		// IgnoresFencing accepts orders with an old fencing number.
		IgnoresFencing bool
		// Store is the base URL of the weight store. Without one, a remote
		// load takes RemoteLoad and an adapter load takes AdapterLoad.
		Store                   string
		RemoteLoad, AdapterLoad time.Duration
		// MemoryLoad and DiskLoad are the load times from the cache tiers.
		MemoryLoad, DiskLoad time.Duration
		// InMemory and OnDisk are the numbers of checkpoints kept in the
		// cache tiers; default 2 and 8.
		MemoryCheckpoints, DiskCheckpoints int
		// Disk lists the checkpoints, as model@version, on disk at the start.
		InitialDisk []string
		// Prefixes is the number of prompt prefixes cached; default 64.
		PrefixCacheSize int
		// ReportLag is the age of the state that a report shows.
		ReportLag time.Duration
		// CacheLag delays cache events; every CacheGap-th event is lost.
		CacheEventLag          time.Duration
		CacheEventDropInterval uint64
		// Keep is the time a finished stream can be resumed; default 1 min.
		StreamRetention time.Duration
		// Poison is a text that crashes the engine when a prompt with it
		// starts to run.
		Poison string
		// Exit is called in place of a restart when the engine crashes.
		Exit func()
	}

	// Faults are the faults in force. POST /admin/faults changes the fields
	// that its body names.
	Faults struct {
		// Mode is empty or one of the modes garbage, half, cut, foreign-id,
		// duplicate and skip, applied to the next Times answers, or to all
		// if Times is 0.
		Mode  string `json:"mode"`
		Times int    `json:"times"`
		// Slowdown divides the token rate; 0 stands for 1.
		Slowdown float64 `json:"slowdown"`
		// Leaving refuses new work.
		Leaving bool `json:"leaving"`
		// Poison replaces the configured poison text.
		Poison string `json:"poison"`
	}

	// Entry is one line of the stand-in's own log.
	Entry struct {
		TimeUS      int64  `json:"time-us"`
		Incarnation int64  `json:"incarnation"`
		Kind        string `json:"kind"`
		Order       string `json:"order,omitempty"`
		Fencing     uint64 `json:"fencing,omitempty"`
		Model       string `json:"model,omitempty"`
		Version     string `json:"version,omitempty"`
		Adapter     string `json:"adapter,omitempty"`
		Request     string `json:"request,omitempty"`
		Priority    string `json:"priority,omitempty"`
		Code        string `json:"code,omitempty"`
		// From and To are the token range [From, To) that was run or sent.
		From int64 `json:"from,omitempty"`
		To   int64 `json:"to,omitempty"`
		// MemoryBytes is the memory in use after the step.
		MemoryBytes int64 `json:"memory-bytes,omitempty"`
	}

	// Records is the answer of GET /admin/records.
	Records struct {
		Name        string  `json:"name"`
		Incarnation int64   `json:"incarnation"`
		PeakBytes   int64   `json:"peak-bytes"`
		Entries     []Entry `json:"entries"`
	}

	// Server is an engine. See Start.
	Server struct {
		*serve.Server
		cfg Config

		mu sync.Mutex
		// The fencing number, faults, entries, the peak of memory and the
		// disk outlive a crash.
		fencing uint64
		faults  Faults
		entries []Entry
		peak    int64
		disk    []string
		// st is the state that a crash loses.
		st *state
	}

	state struct {
		incarnation int64
		// ctx ends when the state is lost.
		ctx       context.Context
		lose      context.CancelFunc
		wakes     chan struct{}
		role      string
		replicas  map[string]*replica
		orders    map[string]*pending
		sequences map[string]uint64
		runs      map[string]*run
		queue     []*run
		running   []*run
		memory    []string
		prefixes  []string
		events    []cacheEvent
		nextEvent uint64
		reports   []report
	}
)

// leavingHeader marks a refusal by an engine that is leaving.
const leavingHeader = "X-Upstream-Leaving"

func or[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Start serves an engine on addr; an empty addr stands for 127.0.0.1 port 0.
func Start(addr string, cfg Config) (*Server, error) {
	cfg.MemoryBytes = or(cfg.MemoryBytes, 80e9)
	cfg.Sequences = or(cfg.Sequences, 8)
	cfg.TokensPerSecond = or(cfg.TokensPerSecond, 800)
	cfg.MemoryCheckpoints = or(cfg.MemoryCheckpoints, 2)
	cfg.DiskCheckpoints = or(cfg.DiskCheckpoints, 8)
	cfg.PrefixCacheSize = or(cfg.PrefixCacheSize, 64)
	cfg.StreamRetention = or(cfg.StreamRetention, time.Minute)
	s := &Server{cfg: cfg, disk: append([]string{}, cfg.InitialDisk...)}
	s.faults.Poison = cfg.Poison
	s.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.postCompletion)
	mux.HandleFunc("GET /streams/{id}", s.getStream)
	mux.HandleFunc("DELETE /streams/{id}", s.deleteStream)
	mux.HandleFunc("GET /streams/{id}/kv", s.getKV)
	mux.HandleFunc("PUT /streams/{id}/kv", s.putKV)
	mux.HandleFunc("POST /orders", s.postOrder)
	mux.HandleFunc("GET /report", s.getReport)
	mux.HandleFunc("GET /cache-events", s.getCacheEvents)
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults()
		if serve.ReadJSON(w, r, &f) {
			s.SetFaults(f)
			serve.WriteJSON(w, http.StatusOK, f)
		}
	})
	mux.HandleFunc("GET /admin/records", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Records())
	})
	var err error
	s.Server, err = serve.Start(addr, mux)
	return s, err
}

// reset replaces the state. The caller holds s.mu or is the only user.
func (s *Server) reset() {
	if s.st != nil {
		s.st.lose()
	}
	ctx, lose := context.WithCancel(context.Background())
	s.st = &state{
		incarnation: time.Now().UnixMicro(), ctx: ctx, lose: lose, wakes: make(chan struct{}, 1),
		role: "mixed", replicas: map[string]*replica{}, orders: map[string]*pending{},
		sequences: map[string]uint64{}, runs: map[string]*run{}, nextEvent: 1,
	}
	s.faults.Leaving = false
	go s.decode(s.st)
	if s.cfg.ReportLag > 0 {
		s.st.reports = []report{s.current(s.st)}
		go s.snapshot(s.st)
	}
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
	if f.Leaving != s.faults.Leaving {
		s.note(Entry{Kind: "leaving", Code: map[bool]string{true: "on", false: "off"}[f.Leaving]})
	}
	s.faults = f
}

// Records returns the stand-in's own log so far.
func (s *Server) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Records{
		Name: s.cfg.Name, Incarnation: s.st.incarnation, PeakBytes: s.peak,
		Entries: append([]Entry{}, s.entries...),
	}
}

// Crash drops all connections and loses the state; the engine is up again at
// once as a new incarnation. With Config.Exit set, that is called first.
func (s *Server) Crash() {
	s.mu.Lock()
	s.note(Entry{Kind: "crash"})
	if s.cfg.Exit != nil {
		s.cfg.Exit()
	}
	s.reset()
	s.mu.Unlock()
	s.CloseConnections()
}

// Kill drops all connections, loses the state and stops listening until
// Restart.
func (s *Server) Kill() {
	s.Server.Kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(Entry{Kind: "crash"})
	s.reset()
}

// note records e with the present time. The caller holds s.mu.
func (s *Server) note(e Entry) {
	e.TimeUS, e.Incarnation = time.Now().UnixMicro(), s.st.incarnation
	s.entries = append(s.entries, e)
}

// begin locks s.mu and returns the state. If work is new and the engine is
// leaving, it unlocks, refuses and returns nil.
func (s *Server) begin(w http.ResponseWriter, work bool) *state {
	s.mu.Lock()
	if work && s.faults.Leaving {
		s.note(Entry{Kind: "leaving-refused"})
		s.mu.Unlock()
		w.Header().Set(leavingHeader, "true")
		serve.Error(w, http.StatusServiceUnavailable, "leaving", "the engine is leaving")
		return nil
	}
	return s.st
}
