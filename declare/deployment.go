package declare

import "time"

type (
	// Kind distinguishes model services from plain services.
	Kind string

	// Class is the priority of a request: urgent before background.
	Class string

	// Deployment is one complete configuration.
	Deployment struct {
		// Name is in kebab case.
		Name string `json:"name"`
		// ColdStartWeight in [0, 1] balances tail cold-start time (1) against
		// idle accelerator hours (0).
		ColdStartWeight float64 `json:"cold-start-weight"`
		// FailureDomains lists the names of all failure domains.
		FailureDomains []string `json:"failure-domains"`
		// Limits are shared by the whole deployment.
		Limits Limits `json:"limits"`
		// Services, Upstreams, Models and Adapters are unique by name.
		Services  []Service  `json:"services"`
		Upstreams []Upstream `json:"upstreams"`
		Models    []Model    `json:"models"`
		Adapters  []Adapter  `json:"adapters"`
		// Accounts are the client accounts, unique by name. Without any, requests
		// need no key.
		Accounts []Account `json:"accounts,omitempty"`
	}

	// Limits holds the limits of the platform that all daemons share. A zero
	// field stands for its default.
	Limits struct {
		// StoreLoadsPerSecond is the rate limit of loads from the weight
		// store; default 4.
		StoreLoadsPerSecond float64 `json:"store-loads-per-second,omitempty"`
		// StoreLoadsAtOnce is the number of concurrent loads that the weight
		// store serves at full speed; default 4.
		StoreLoadsAtOnce int `json:"store-loads-at-once,omitempty"`
		// AdapterLoadsAtOnce is the number of concurrent adapter loads that
		// run at full speed; default 32.
		AdapterLoadsAtOnce int `json:"adapter-loads-at-once,omitempty"`
		// RevokeMS is the time within which no daemon serves a key that has been
		// removed, whether or not it reaches the log, in milliseconds; default
		// 30,000. A daemon that is out of contact with the log for more than 0.6
		// of it refuses requests that need a key.
		RevokeMS int64 `json:"revoke-ms,omitempty"`
	}

	// Service is a set of upstreams that callers address under one name, with
	// the rules for its requests.
	Service struct {
		Name string `json:"name"`
		Kind Kind   `json:"kind"`
		// DefaultClass applies to a request without a class; default urgent.
		DefaultClass Class `json:"default-class,omitempty"`
		// DefaultDeadlineMS applies to a request without a deadline, in
		// milliseconds from receipt; default 60,000 for urgent and 600,000
		// for background requests. The deadline bounds the whole response.
		DefaultDeadlineMS int64 `json:"default-deadline-ms,omitempty"`
		// Anonymous is set for a service whose requests need no key.
		Anonymous bool `json:"anonymous,omitempty"`
		// Calls lists the calls of a plain service, matched by method and
		// longest path prefix. A call that matches none is refused.
		Calls []Call `json:"calls,omitempty"`
	}

	// Call is a kind of call to a plain service.
	Call struct {
		Method     string `json:"method"`
		PathPrefix string `json:"path-prefix"`
		// NonIdempotent calls require an Idempotency-Key and run at most once.
		NonIdempotent bool `json:"non-idempotent,omitempty"`
		// Class overrides the service's default class.
		Class Class `json:"class,omitempty"`
	}

	// Upstream is one engine or one instance of a plain service.
	Upstream struct {
		Name          string `json:"name"`
		Service       string `json:"service"`
		FailureDomain string `json:"failure-domain"`
		// Address is an IP address with a port.
		Address string `json:"address"`
		// MemoryBytes is the accelerator memory of an engine.
		MemoryBytes int64 `json:"memory-bytes,omitempty"`
		// Accelerators is the number of accelerators of an engine; idle time
		// is counted for each.
		Accelerators int `json:"accelerators,omitempty"`
		// Sequences is the number of sequences that an engine decodes
		// concurrently, or of calls that an instance of a plain service
		// handles concurrently; default 8.
		Sequences int `json:"sequences,omitempty"`
		// IgnoresFencing is set for an engine that accepts orders with an
		// outdated fencing number.
		IgnoresFencing bool `json:"ignores-fencing,omitempty"`
	}

	// Model is a base model that engines of its services may load.
	Model struct {
		Name string `json:"name"`
		// Services lists the services whose upstreams may load the model.
		Services []string `json:"services"`
		// Version is the version that serves requests.
		Version string `json:"version"`
		// Versions lists the versions that may be loaded, including Version.
		Versions []Version `json:"versions"`
		// KVBytes is the KV cache reserved for each replica.
		KVBytes int64 `json:"kv-bytes"`
		// AdapterSlots is the number of adapters that can be loaded on a replica
		// at the same time.
		AdapterSlots int `json:"adapter-slots,omitempty"`
		// Replicas is the maximum number of replicas over all failure domains
		// and versions.
		Replicas int `json:"replicas"`
		// MinReplicas is the number of replicas that stay loaded even when
		// idle; default 0.
		MinReplicas int `json:"min-replicas,omitempty"`
		// WakeAt lists recurring times of day (UTC, "15:04") at which the
		// model is loaded before the first request.
		WakeAt []string `json:"wake-at,omitempty"`
	}

	// Version is one set of weights of a model.
	Version struct {
		Name        string `json:"name"`
		WeightBytes int64  `json:"weight-bytes"`
	}

	// Adapter is a low-rank adapter of one model. Callers use its name as the
	// name of a model.
	Adapter struct {
		Name  string `json:"name"`
		Model string `json:"model"`
		Bytes int64  `json:"bytes"`
	}
)

// Kinds of service and classes of request.
const (
	ModelService Kind = "model"
	PlainService Kind = "plain"

	Urgent     Class = "urgent"
	Background Class = "background"
)

// Defaults for zero fields.
const (
	DefaultStoreLoadsPerSecond = 4.0
	DefaultStoreLoadsAtOnce    = 4
	DefaultAdapterLoadsAtOnce  = 32
	DefaultSequences           = 8
	DefaultUrgentDeadline      = 60 * time.Second
	DefaultBackgroundDeadline  = 10 * time.Minute
)
