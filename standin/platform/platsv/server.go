package platsv

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	// Config describes the platform. A zero field stands for its default.
	Config struct {
		// Retain drops log records after this time; default never.
		Retention time.Duration
		// RetainCount is the number of records kept per stream; default all.
		RetentionCount int
		// AppendsPerSecond is the number of append calls accepted a second,
		// over all streams; default 400.
		AppendsPerSecond float64
		// HostLag is the time until a change shows in the host list.
		HostListLag time.Duration
		// StoreLoadsPerSecond and StoreAtOnce limit the weight store;
		// default 4 and 4.
		StoreLoadsPerSecond float64
		StoreConcurrency    int
		// StoreBytesPerSecond is the full speed of one load; default 10 GB/s.
		StoreBytesPerSecond float64
		// AdapterTime is the full-speed time of an adapter load, default
		// 5 ms, while at most AdaptersAtOnce run, default 32.
		AdapterLoadTime    time.Duration
		AdapterConcurrency int
		// Now is the platform's clock; default time.Now.
		Now func() time.Time
	}

	// Faults are the faults in force. POST /admin/faults changes the fields
	// that its body names.
	Faults struct {
		// LogOutage answers every call of the log service with 503.
		LogOutage bool `json:"log-outage"`
		// LogLatencyMS delays every call of the log service.
		LogLatencyMS int64 `json:"log-latency-ms"`
		// LoseAppendAnswers is the number of next appends that take effect
		// and whose answer is lost.
		LoseAppendResponses int `json:"lose-append-answers"`
		// HostsMissing answers reads of the host list with 503.
		HostListUnavailable bool `json:"hosts-missing"`
		// StoreSlowdown divides the weight store's speed; 0 stands for 1.
		StoreSlowdown float64 `json:"store-slowdown"`
		// Truncate drops the records below the given offset, by stream.
		Truncate map[string]uint64 `json:"truncate,omitempty"`
	}

	// Entry is one line of the stand-in's own log.
	Entry struct {
		TimeUS int64 `json:"time-us"`
		// Kind is append, append-refused, truncate, host, load or load-end.
		Kind         string `json:"kind"`
		Stream       string `json:"stream,omitempty"`
		Offset       uint64 `json:"offset,omitempty"`
		Data         []byte `json:"data,omitempty"`
		ResponseLost bool   `json:"lost,omitempty"`
		Host         *Host  `json:"host,omitempty"`
		Model        string `json:"model,omitempty"`
		Version      string `json:"version,omitempty"`
		Adapter      string `json:"adapter,omitempty"`
		Engine       string `json:"by,omitempty"`
		// AtOnce is the number of loads in progress, this one included.
		InProgress int `json:"at-once,omitempty"`
	}

	// Server is the platform. See Start.
	Server struct {
		*serve.Server
		cfg Config

		mu       sync.Mutex
		faults   Faults
		entries  []Entry
		streams  map[string]*logStream
		lastMS   int64
		appends  *rate.Limiter
		hosts    map[string]Host
		pending  []hostChange
		starts   *rate.Limiter
		weights  pool
		adapters pool
	}
)

func or[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Start serves the platform on addr; an empty addr stands for 127.0.0.1
// port 0.
func Start(addr string, cfg Config) (*Server, error) {
	cfg.AppendsPerSecond = or(cfg.AppendsPerSecond, 400)
	cfg.StoreLoadsPerSecond = or(cfg.StoreLoadsPerSecond, 4)
	cfg.StoreConcurrency = or(cfg.StoreConcurrency, 4)
	cfg.StoreBytesPerSecond = or(cfg.StoreBytesPerSecond, 10e9)
	cfg.AdapterLoadTime = or(cfg.AdapterLoadTime, 5*time.Millisecond)
	cfg.AdapterConcurrency = or(cfg.AdapterConcurrency, 32)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{
		cfg: cfg, streams: map[string]*logStream{}, hosts: map[string]Host{},
		appends: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), max(1, int(cfg.AppendsPerSecond))),
		starts:  rate.NewLimiter(rate.Limit(cfg.StoreLoadsPerSecond), cfg.StoreConcurrency),
		weights: pool{atOnce: cfg.StoreConcurrency}, adapters: pool{atOnce: cfg.AdapterConcurrency},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/records", s.postRecords)
	mux.HandleFunc("GET /streams/{name}/records", s.getRecords)
	mux.HandleFunc("GET /hosts", s.getHosts)
	mux.HandleFunc("PUT /admin/hosts/{name}", s.putHost)
	mux.HandleFunc("DELETE /admin/hosts/{name}", s.putHost)
	mux.HandleFunc("POST /store/loads", s.postLoad)
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults()
		if serve.ReadJSON(w, r, &f) {
			s.SetFaults(f)
			serve.WriteJSON(w, http.StatusOK, s.Faults())
		}
	})
	mux.HandleFunc("GET /admin/records", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, map[string][]Entry{"entries": s.Entries()})
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

// SetFaults replaces the faults in force and truncates the streams that f
// names.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, before := range f.Truncate {
		s.stream(name).truncate(before)
		s.note(Entry{Kind: "truncate", Stream: name, Offset: before})
	}
	f.Truncate = nil
	s.faults = f
	for _, l := range s.streams {
		l.wake()
	}
}

// Entries returns the stand-in's own log so far.
func (s *Server) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry{}, s.entries...)
}

// note records e with the present time. The caller holds s.mu.
func (s *Server) note(e Entry) {
	e.TimeUS = s.cfg.Now().UnixMicro()
	s.entries = append(s.entries, e)
}
