package engine

import "github.com/azurespan/azurespan/declare"

type (
	// OrderKind names what an order does.
	OrderKind string

	// Order tells an engine to change what it has loaded, or its role.
	Order struct {
		// ID is unique. Sending an order again under the same ID does not
		// execute it twice.
		ID string `json:"order-id"`
		// Fencing is the fencing number, the epoch of the upstream's owner.
		Fencing uint64 `json:"fencing"`
		// Sequence increases with each order of one owner. The engine refuses
		// an order whose sequence is lower than that of an earlier order for
		// the same model version or adapter; 0 is not compared.
		Sequence uint64    `json:"sequence"`
		Kind     OrderKind `json:"kind"`
		Model    string    `json:"model,omitempty"`
		Version  string    `json:"version,omitempty"`
		Adapter  string    `json:"adapter,omitempty"`
		// MemoryBytes is the total memory reserved for a replica, or the size
		// of an adapter.
		MemoryBytes int64 `json:"memory-bytes,omitempty"`
		// AdapterBytes is the part of a replica's reserved memory that holds
		// its adapters.
		AdapterBytes int64 `json:"adapter-bytes,omitempty"`
		// Priority of a load among the loads of the engine.
		Priority declare.Class `json:"priority,omitempty"`
		// Drain makes an unload wait for running streams instead of being
		// refused as busy. New requests for the model are refused meanwhile.
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
