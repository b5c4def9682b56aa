package engine

import "github.com/azurespan/azurespan/declare"

type (
	// OrderKind names what an order does.
	OrderKind string

	// Order tells an engine to change what it has loaded, or its role.
	Order struct {
		// ID is unique; an order sent again under the same ID is one order.
		ID string `json:"order-id"`
		// Fencing is the epoch of the upstream's owner.
		Fencing uint64 `json:"fencing"`
		// Sequence increases with each order of one owner. The engine
		// refuses an order with a lower sequence than an earlier one for the
		// same model version or adapter; 0 is not compared.
		Sequence uint64    `json:"sequence"`
		Kind     OrderKind `json:"kind"`
		Model    string    `json:"model,omitempty"`
		Version  string    `json:"version,omitempty"`
		Adapter  string    `json:"adapter,omitempty"`
		// MemoryBytes is the whole reservation of a replica, or the size of
		// an adapter.
		MemoryBytes int64 `json:"memory-bytes,omitempty"`
		// AdapterBytes is the part of a replica's reservation in which its
		// adapters are loaded.
		AdapterBytes int64 `json:"adapter-bytes,omitempty"`
		// Priority orders loads at the engine.
		Priority declare.Class `json:"priority,omitempty"`
		// Drain lets an unload wait for running streams instead of being
		// refused as busy; new requests for the model are refused meanwhile.
		Drain bool `json:"drain,omitempty"`
		// Role is the new role of a set-role order.
		Role string `json:"role,omitempty"`
	}
)

// Kinds of order.
const (
	Load          OrderKind = "load"
	Unload        OrderKind = "unload"
	LoadAdapter   OrderKind = "load-adapter"
	UnloadAdapter OrderKind = "unload-adapter"
	SetRole       OrderKind = "set-role"
)
