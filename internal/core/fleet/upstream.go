package fleet

import "time"

type (
	// Upstream is one registered incarnation of an upstream.
	Upstream struct {
		// ID and Born together identify the incarnation; an address is used
		// again by others.
		ID string
		// Born is the start of the incarnation, in Unix milliseconds.
		Born int64
		// Offset of its entry in the register.
		Offset int64
		// Service, Address (IP:port) and FailureDomain say where it is.
		Service, Address, FailureDomain string
		Slots                           int
		// Leaving upstreams get no new requests.
		Leaving bool
		// LeavesIn is the time left at short notice, 0 if unknown.
		LeavesIn time.Duration
		// ColdFor is how much longer it is slow after its start.
		ColdFor time.Duration
		Holding Holding
	}

	// Holding is what an upstream says that it holds.
	Holding struct {
		Models []LoadedModel
		// InMemory and OnDisk name the models whose weights it keeps.
		InMemory, OnDisk []string
		// Orders is the number of orders accepted since its start.
		Orders int64
	}

	// Held is a loaded model with its adapters.
	LoadedModel struct {
		Model    string
		Version  int64
		Adapters []string
	}

	// Report is the state of one engine, some hundred ms old.
	Report struct {
		Born    int64
		Holding Holding
		// Changing is set while a model is being loaded or unloaded.
		Changing bool
		// Pending adapters are on their way, as model/adapter.
		Pending         []string
		Queued, Running int
		// CacheUsed and CacheTotal are in tokens.
		CacheUsed, CacheTotal int
	}

	// Order changes what an engine holds.
	Order struct {
		Unload         bool
		Model, Adapter string
		// Expect is the number of orders that the engine must have accepted
		// so far; an order that arrives later is void.
		ExpectedOrders int64
		// Holder and Fence identify who orders.
		Holder string
		Fence  int64
	}

	// Reply is an engine's reply to an Order.
	Reply uint8
)

// Replies to an order.
const (
	// Unknown: no reply; the order may still be carried out, even later.
	Unknown Reply = iota
	// Accepted: the order is being carried out.
	Accepted
	// Done: the order already holds.
	Done
	// Conflict: another order is in progress, or Expect differs.
	Conflict
	// Fenced: a newer holder was seen.
	Fenced
	// Invalid: the engine can't do it, or another upstream has the address.
	Invalid
)

// String returns the name of r for logs.
func (r Reply) String() string {
	return [...]string{"unknown", "accepted", "done", "conflict", "fenced", "invalid"}[r]
}

// Name returns the name of an adapter of a model, or of the model itself.
func ModelName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}
