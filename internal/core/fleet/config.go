package fleet

import (
	"sort"
	"strings"
	"time"
)

type (
	// Kind states whether requests of a route may be sent again.
	Kind uint8

	// Config is one version of the operator's configuration. It must not be
	// changed after Index.
	Config struct {
		Version  int64
		Routes   []Route
		Services map[string]Service
		Limits   Limits
		// Accounts are the client accounts. If there are none, requests need no
		// key.
		Accounts []Account

		byHost map[string][]*Route
		byKey  map[KeyHash]*Account
	}

	// Route maps requests of one host name and path prefix to services.
	Route struct {
		Name, Host, Prefix string
		Kind               Kind
		// Timeout bounds the time until a request's complete answer.
		Timeout time.Duration
		// LatencyTarget is the time within which an answer, or the first event
		// of a stream, has its full value to the caller.
		LatencyTarget time.Duration
		// MaxEventGap is the longest pause between events of a stream that
		// counts as on time.
		MaxEventGap time.Duration
		// Rank is the route's urgency; 0 is the most urgent.
		Rank int
		// Targets are the services and their weights. There is at least one.
		Targets []Target
		// MaxAttempts bounds the upstreams to which one request may be sent.
		MaxAttempts int
		// Resumable is set if streams may be continued by another upstream.
		Resumable bool
		// Anonymous is set if requests need no key.
		Anonymous bool
	}

	// Target is a service and the weight of its share of a route's requests.
	Target struct {
		Service string
		Weight  int
	}

	// Service is a group of interchangeable upstreams.
	Service struct {
		Name string
		// MaxConnections bounds the connections of all callers to one
		// upstream.
		MaxConnections int
		// Engine is nil for a plain service.
		Engine *Engine
	}

	// Engine describes the model engines of a service.
	Engine struct {
		// Slots is the number of requests that one upstream runs at a time.
		Slots int
		// CacheTokens is the memory for prompts and answers, in tokens.
		CacheTokens int
		// MemoryMB is the memory for weights and adapters together.
		MemoryMB float64
		// MaxAdapters bounds the adapters that one upstream holds.
		MaxAdapters int
		// StoreLoadsPerSecond is the rate limit of loads from the weight store,
		// summed over all upstreams.
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
		// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the load times
		// from the weight store, the upstream's disk and its memory.
		StoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	}

	// Limits bound the size and duration of what a caller sends.
	Limits struct {
		HeaderBytes, BodyBytes     int
		HeaderTimeout, IdleTimeout time.Duration
	}
)

// Kinds of routes.
const (
	// Safe is a request that may run more than once.
	Safe Kind = iota
	// Unsafe is a request that runs at most once.
	Unsafe
	// Stream is a request whose answer is a sequence of events. It runs at
	// most once unless its route is resumable.
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

// Repeatable reports whether a request of the route may be sent to another
// upstream although it may have run on a first one.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request with the given hash. Equal hashes pick
// the same service, so that repeated requests go to the same one.
func (r *Route) Pick(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	point := int(hash % uint64(total))
	for _, t := range r.Targets {
		if point -= max(t.Weight, 0); point < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Index prepares c for Match and AccountByKey, and returns it.
func (c *Config) Index() *Config {
	c.indexAccounts()
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c
}

// Match returns the route of host with the longest prefix that matches path, nil
// if there is none.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
