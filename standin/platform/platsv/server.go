package platsv

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	// Config describes the platform. Zero fields take their defaults.
	Config struct {
		// Retention is the age after which log records are dropped. Default
		// unlimited.
		Retention time.Duration
		// RetentionCount is the maximum number of records per stream. Default
		// unlimited.
		RetentionCount int
		// AppendsPerSecond is the maximum rate of append calls over all streams.
		// Default 400.
		AppendsPerSecond float64
		// HostListLag is the delay of changes to the host list.
		HostListLag time.Duration
		// StoreLoadsPerSecond is the maximum rate of weight load starts, and
		// StoreConcurrency the number of concurrent weight loads at full speed.
		// Defaults 4 and 4.
		StoreLoadsPerSecond float64
		StoreConcurrency    int
		// StoreBytesPerSecond is the full speed of one weight load. Default
		// 10 GB/s.
		StoreBytesPerSecond float64
		// AdapterLoadTime is the duration of an adapter load while at most
		// AdapterConcurrency adapter loads run. Defaults 5 ms and 32.
		AdapterLoadTime    time.Duration
		AdapterConcurrency int
		// Now is the clock of the platform. Default time.Now.
		Now func() time.Time
	}

	// Faults are the injected faults. POST /admin/faults changes the fields that
	// its body names.
	Faults struct {
		// LogOutage makes the log service respond to every call with 503.
		LogOutage bool `json:"log-outage"`
		// LogLatencyMS delays every call of the log service.
		LogLatencyMS int64 `json:"log-latency-ms"`
		// LoseAppendResponses is the number of following appends that take effect
		// but whose response is lost.
		LoseAppendResponses int `json:"lose-append-answers"`
		// HostListUnavailable makes reads of the host list fail with 503.
		HostListUnavailable bool `json:"hosts-missing"`
		// StoreSlowdown divides the speed of the weight store; 0 means 1.
		StoreSlowdown float64 `json:"store-slowdown"`
		// Truncate maps streams to offsets below which records are removed.
		Truncate map[string]uint64 `json:"truncate,omitempty"`
	}

	// Entry is one entry of the platform's event log.
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
		// InProgress is the number of loads in progress, including this one.
		InProgress int `json:"at-once,omitempty"`
	}

	// Server is a simulated platform. Use Start to create one.
	Server struct {
		*serve.Server
		cfg Config

		mu            sync.Mutex
		faults        Faults
		entries       []Entry
		streams       map[string]*logStream
		lastTimeMS    int64
		appendLimiter *rate.Limiter
		hosts         map[string]Host
		pendingHosts  []hostChange
		loadLimiter   *rate.Limiter
		weightLoads   loadPool
		adapterLoads  loadPool
	}
)

// orDefault returns v, or d if v is zero.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Start serves the platform on addr. An empty addr means 127.0.0.1 with a free
// port.
func Start(addr string, cfg Config) (*Server, error) {
	cfg.AppendsPerSecond = orDefault(cfg.AppendsPerSecond, 400)
	cfg.StoreLoadsPerSecond = orDefault(cfg.StoreLoadsPerSecond, 4)
	cfg.StoreConcurrency = orDefault(cfg.StoreConcurrency, 4)
	cfg.StoreBytesPerSecond = orDefault(cfg.StoreBytesPerSecond, 10e9)
	cfg.AdapterLoadTime = orDefault(cfg.AdapterLoadTime, 5*time.Millisecond)
	cfg.AdapterConcurrency = orDefault(cfg.AdapterConcurrency, 32)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{
		cfg: cfg, streams: map[string]*logStream{}, hosts: map[string]Host{},
		appendLimiter: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), max(1, int(cfg.AppendsPerSecond))),
		loadLimiter:   rate.NewLimiter(rate.Limit(cfg.StoreLoadsPerSecond), cfg.StoreConcurrency),
		weightLoads:   loadPool{fullSpeedLoads: cfg.StoreConcurrency}, adapterLoads: loadPool{fullSpeedLoads: cfg.AdapterConcurrency},
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

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults and truncates the streams named in
// f.Truncate.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, before := range f.Truncate {
		s.stream(name).truncate(before)
		s.record(Entry{Kind: "truncate", Stream: name, Offset: before})
	}
	f.Truncate = nil
	s.faults = f
	for _, l := range s.streams {
		l.notify()
	}
}

// Entries returns the event log so far.
func (s *Server) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry{}, s.entries...)
}

// record appends e to the event log with the current time. The caller holds
// s.mu.
func (s *Server) record(e Entry) {
	e.TimeUS = s.cfg.Now().UnixMicro()
	s.entries = append(s.entries, e)
}
