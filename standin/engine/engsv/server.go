package engsv

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	// Config describes an engine. Zero fields take their defaults.
	Config struct {
		Name string
		// MemoryBytes is the accelerator memory. Default 80 GB.
		MemoryBytes int64
		// Sequences is the number of sequences decoded concurrently. Default 8.
		Sequences int
		// TokensPerSecond is the total token rate over all sequences. Default 800.
		TokensPerSecond float64
		// IgnoresFencing makes the engine accept orders with an outdated fencing
		// number.
		IgnoresFencing bool
		// Store is the base URL of the weight store. If it is empty, remote loads
		// take RemoteLoad and adapter loads AdapterLoad.
		Store                   string
		RemoteLoad, AdapterLoad time.Duration
		// MemoryLoad and DiskLoad are the durations of loads from the cache tiers.
		MemoryLoad, DiskLoad time.Duration
		// MemoryCheckpoints and DiskCheckpoints are the capacities of the
		// checkpoint cache tiers. Defaults 2 and 8.
		MemoryCheckpoints, DiskCheckpoints int
		// InitialDisk lists the checkpoints, as model@version, that are on disk at
		// the start.
		InitialDisk []string
		// PrefixCacheSize is the capacity of the prompt prefix cache. Default 64.
		PrefixCacheSize int
		// ReportLag is the delay of reports behind the current state.
		ReportLag time.Duration
		// CacheEventLag delays cache events. If CacheEventDropInterval is not 0,
		// every event whose offset is a multiple of it is dropped.
		CacheEventLag          time.Duration
		CacheEventDropInterval uint64
		// StreamRetention is the time after its end during which a stream can be
		// resumed. Default 1 min.
		StreamRetention time.Duration
		// Poison is a text that crashes the engine when a prompt that contains it
		// starts to run.
		Poison string
		// Exit, if set, is called when the engine crashes, instead of a restart
		// within the process.
		Exit func()
	}

	// Faults are the injected faults. POST /admin/faults changes the fields that
	// its body names.
	Faults struct {
		// Mode is empty or one of garbage, half, cut, foreign-id, duplicate and
		// skip. It applies to the next Times streamed responses, or to all if
		// Times is 0.
		Mode  string `json:"mode"`
		Times int    `json:"times"`
		// Slowdown divides the token rate; 0 means 1.
		Slowdown float64 `json:"slowdown"`
		// Leaving makes the engine refuse new requests and loads.
		Leaving bool `json:"leaving"`
		// Poison replaces Config.Poison.
		Poison string `json:"poison"`
	}

	// Entry is one entry of the engine's event log.
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
		// From and To are the token range [From, To) that was generated or sent.
		From int64 `json:"from,omitempty"`
		To   int64 `json:"to,omitempty"`
		// MemoryBytes is the memory in use after the event.
		MemoryBytes int64 `json:"memory-bytes,omitempty"`
	}

	// Records is the response to GET /admin/records.
	Records struct {
		Name        string  `json:"name"`
		Incarnation int64   `json:"incarnation"`
		PeakBytes   int64   `json:"peak-bytes"`
		Entries     []Entry `json:"entries"`
	}

	// Server is a simulated engine. Use Start to create one.
	Server struct {
		*serve.Server
		cfg Config

		mu sync.Mutex
		// The fencing number, faults, entries, peak memory and disk checkpoints
		// survive a crash.
		fencing         uint64
		faults          Faults
		entries         []Entry
		peakBytes       int64
		diskCheckpoints []string
		// st is the state that a crash discards.
		st *state
	}

	// state is what a crash discards.
	state struct {
		incarnation int64
		// ctx is cancelled when a crash discards the state.
		ctx               context.Context
		cancel            context.CancelFunc
		enqueued          chan struct{}
		role              string
		replicas          map[string]*replica
		orders            map[string]*pendingOrder
		lastSequence      map[string]uint64
		streams           map[string]*stream
		queue             []*stream
		running           []*stream
		memoryCheckpoints []string
		prefixCache       []string
		events            []cacheEvent
		nextEventOffset   uint64
		reports           []report
	}
)

// leavingHeader is set on refusals by an engine that is leaving.
const leavingHeader = "X-Upstream-Leaving"

// orDefault returns v, or d if v is zero.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Start serves an engine on addr. An empty addr means 127.0.0.1 with a free port.
func Start(addr string, cfg Config) (*Server, error) {
	cfg.MemoryBytes = orDefault(cfg.MemoryBytes, 80e9)
	cfg.Sequences = orDefault(cfg.Sequences, 8)
	cfg.TokensPerSecond = orDefault(cfg.TokensPerSecond, 800)
	cfg.MemoryCheckpoints = orDefault(cfg.MemoryCheckpoints, 2)
	cfg.DiskCheckpoints = orDefault(cfg.DiskCheckpoints, 8)
	cfg.PrefixCacheSize = orDefault(cfg.PrefixCacheSize, 64)
	cfg.StreamRetention = orDefault(cfg.StreamRetention, time.Minute)
	s := &Server{cfg: cfg, diskCheckpoints: append([]string{}, cfg.InitialDisk...)}
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

// reset replaces the state by that of a new incarnation. The caller holds s.mu
// or has the only reference to s.
func (s *Server) reset() {
	if s.st != nil {
		s.st.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.st = &state{
		incarnation: time.Now().UnixMicro(), ctx: ctx, cancel: cancel, enqueued: make(chan struct{}, 1),
		role: "mixed", replicas: map[string]*replica{}, orders: map[string]*pendingOrder{},
		lastSequence: map[string]uint64{}, streams: map[string]*stream{}, nextEventOffset: 1,
	}
	s.faults.Leaving = false
	go s.decodeLoop(s.st)
	if s.cfg.ReportLag > 0 {
		s.st.reports = []report{s.currentReport(s.st)}
		go s.sampleReports(s.st)
	}
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
	if f.Leaving != s.faults.Leaving {
		s.record(Entry{Kind: "leaving", Code: map[bool]string{true: "on", false: "off"}[f.Leaving]})
	}
	s.faults = f
}

// Records returns the event log so far.
func (s *Server) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Records{
		Name: s.cfg.Name, Incarnation: s.st.incarnation, PeakBytes: s.peakBytes,
		Entries: append([]Entry{}, s.entries...),
	}
}

// Crash closes all connections and discards the state. The engine serves again
// immediately as a new incarnation. Config.Exit, if set, is called first.
func (s *Server) Crash() {
	s.mu.Lock()
	s.record(Entry{Kind: "crash"})
	if s.cfg.Exit != nil {
		s.cfg.Exit()
	}
	s.reset()
	s.mu.Unlock()
	s.CloseConnections()
}

// Kill closes all connections, discards the state and stops listening until
// Restart.
func (s *Server) Kill() {
	s.Server.Kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(Entry{Kind: "crash"})
	s.reset()
}

// record appends e to the event log with the current time and incarnation. The
// caller holds s.mu.
func (s *Server) record(e Entry) {
	e.TimeUS, e.Incarnation = time.Now().UnixMicro(), s.st.incarnation
	s.entries = append(s.entries, e)
}

// lockState locks s.mu and returns the state. If the request is new work and the
// engine is leaving, it writes a refusal and returns nil with s.mu unlocked.
func (s *Server) lockState(w http.ResponseWriter, newWork bool) *state {
	s.mu.Lock()
	if newWork && s.faults.Leaving {
		s.record(Entry{Kind: "leaving-refused"})
		s.mu.Unlock()
		w.Header().Set(leavingHeader, "true")
		serve.Error(w, http.StatusServiceUnavailable, "leaving", "the engine is leaving")
		return nil
	}
	return s.st
}
