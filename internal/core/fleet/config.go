package fleet

import (
	"sort"
	"strings"
	"time"
)

type (
	// Kind says what may be repeated on a route.
	Kind uint8

	// Config is one version of the operator's configuration. It isn't changed
	// once it has been indexed.
	Config struct {
		Version  int64
		Routes   []Route
		Services map[string]Service
		Limits   Limits

		byHost map[string][]*Route
	}

	// Route sends requests of one host name and path prefix to services.
	Route struct {
		Name, Host, Prefix string
		Kind               Kind
		// Timeout is the longest time that a request may be kept waiting for
		// its complete answer.
		Timeout time.Duration
		// Target is the time within which an answer, or the first event of a
		// stream, earns its full worth.
		LatencyTarget time.Duration
		// Gap is the longest pause between events of a punctual stream.
		MaxEventGap time.Duration
		// Rank orders routes by urgency; 0 is the most urgent.
		Rank int
		// Targets are the services and their weights; at least one.
		Targets []Target
		// MaxAttempts bounds the upstreams to which one request may be sent.
		MaxAttempts int
		// Resumable streams may go on at another upstream.
		Resumable bool
	}

	// Target is a service with its share of a route's requests.
	Target struct {
		Service string
		Weight  int
	}

	// Service is a group of interchangeable upstreams.
	Service struct {
		Name string
		// Connections bounds the connections of all callers to one upstream.
		MaxConnections int
		// Engine is nil for a plain service.
		Engine *Engine
	}

	// Engine describes the model engines of a service.
	Engine struct {
		// Slots run at once on one upstream.
		Slots int
		// CacheTokens is the memory for prompts and answers.
		CacheTokens int
		// MemoryMB holds weights and adapters together.
		MemoryMB float64
		// AdapterPlaces bounds the adapters that one upstream holds.
		MaxAdapters int
		// StoreLoadsPerSecond is the rate of the weight store over all
		// upstreams.
		StoreLoadsPerSecond float64
		Models              map[string]Model
	}

	// Model is a model that an engine may load.
	Model struct {
		Name     string
		WeightMB float64
		// Adapters are the names of its adapters; AdapterMB is the size of
		// one.
		Adapters  []string
		AdapterMB float64
		// FromStore, FromDisk and FromMemory are the load times by where the
		// weights are.
		StoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	}

	// Limits bound what a caller may send.
	Limits struct {
		HeaderBytes, BodyBytes     int
		HeaderTimeout, IdleTimeout time.Duration
	}
)

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream is a request whose answer is a series of events. It runs at most
	// once unless its route is resumable.
	Stream
)

// String returns the name of k for logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	}
	return "stream"
}

// Repeatable reports whether a request of the route may be sent to a second
// upstream after it may have run on a first one.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request with the given hash. Equal hashes
// pick the same service, so that a repeated request stays where it was.
func (r *Route) Pick(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	at := int(hash % uint64(total))
	for _, t := range r.Targets {
		if at -= max(t.Weight, 0); at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Index prepares c for Match and returns it.
func (c *Config) Index() *Config {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		h := strings.ToLower(r.Host)
		c.byHost[h] = append(c.byHost[h], r)
	}
	for _, rs := range c.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	return c
}

// Match returns the route of host with the longest prefix of path, nil if
// there is none.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
