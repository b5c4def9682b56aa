package fleet

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/logpos"
)

type (
	// Upstream is one registered incarnation of an upstream.
	Upstream struct {
		// ID and Born together identify the incarnation; an address may be
		// reused by another upstream.
		ID string
		// Born is the start of the incarnation, in Unix milliseconds.
		Born int64
		// Offset is the position of its entry in the register. Its name is part of
		// the messages between daemons.
		Offset logpos.Position
		// Address is IP:port.
		Service, Address, FailureDomain string
		// Version is the version of its software. Streams that one version has
		// begun can't be continued by another.
		Version string
		Slots   int
		// Leaving is set if the upstream must get no new requests.
		Leaving bool
		// LeavesIn is the time left to an upstream that leaves at short notice,
		// 0 if unknown.
		LeavesIn time.Duration
		// ColdFor is how long the upstream will still be slow after its start.
		ColdFor time.Duration
		Holding Holding
	}

	// RateLimit is the limit that an upstream in need names for the requests of
	// all daemons together.
	RateLimit struct {
		// Upstream and Born identify the incarnation.
		Upstream string
		Born     int64
		// PerSecond is the number of requests a second.
		PerSecond float64
		// Lifted is set if the upstream no longer names a limit.
		Lifted bool
	}

	// NamedLimit is a RateLimit and the time since an answer last said so.
	NamedLimit struct {
		RateLimit
		Age time.Duration
	}

	// Holding is what an upstream reports to hold.
	Holding struct {
		Models []LoadedModel
		// InMemory and OnDisk are the models whose weights it caches in memory
		// and on disk.
		InMemory, OnDisk []string
		// Orders is the number of orders accepted since its start.
		Orders int64
	}

	// LoadedModel is a loaded model with its adapters.
	LoadedModel struct {
		Model    string
		Version  int64
		Adapters []string
	}

	// Report is the state of one engine, up to some hundred ms old.
	Report struct {
		Born    int64
		Holding Holding
		// Changing is set while a model is being loaded or unloaded.
		Changing bool
		// Pending are the adapters being loaded, as model/adapter.
		Pending         []string
		Queued, Running int
		// CacheUsed and CacheTotal are in tokens.
		CacheUsed, CacheTotal int
	}

	// Order instructs an engine to load or unload a model or an adapter.
	Order struct {
		Unload         bool
		Model, Adapter string
		// ExpectedOrders is the number of orders that the engine must have
		// accepted so far. The engine rejects the order otherwise, so a late
		// one has no effect.
		ExpectedOrders int64
		// Holder and Fence identify the sender and its tenure.
		Holder string
		Fence  int64
	}

	// Reply is an engine's reply to an Order.
	Reply uint8
)

// Replies to an order.
const (
	// Unknown: there was no reply; the order may still be executed, even later.
	Unknown Reply = iota
	// Accepted: the order is being executed.
	Accepted
	// Done: the engine is already in the ordered state.
	Done
	// Conflict: another order is in progress, or ExpectedOrders differs.
	Conflict
	// Fenced: the engine has seen the fencing token of a newer holder.
	Fenced
	// Invalid: the engine can't execute the order, or another upstream has the
	// address.
	Invalid
)

// String returns the name of r for logs.
func (r Reply) String() string {
	return [...]string{"unknown", "accepted", "done", "conflict", "fenced", "invalid"}[r]
}

// ModelName returns the qualified name of an adapter, or the name of the model if
// adapter is empty.
func ModelName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}
