// Package plan decides which models and adapters the engines hold.
//
// A Planner belongs to the daemon that may order loads. Its inputs are the
// configuration, the registered engines, their reports, the replies to its own
// orders, and the demand that all daemons send: arrivals, waiting requests and
// requests in progress. Decide returns the next orders.
//
// Models. Each requested model gets one copy. The offered load of a model, in
// slots, is its arrival rate times the time for which a request occupies a slot,
// which daemons measure. Package alloc divides it over the engines that hold the
// model. A model gets further copies if load isn't served in time that another
// copy would serve, on the engine where it serves the most; a copy is worth what
// isn't served without it. While no daemon has measured a slot time of the
// service, further copies follow the requests in progress and the arrival rate,
// and the load of engines doesn't count. Free memory is filled with
// models that have no copy. A copy is evicted only if the loss is smaller than
// the gain: the gain counts the waiting requests of the new model, the loss the
// arrivals of the old one times the time to load it again from the engine's
// memory or disk. Requests in progress count against an eviction.
//
// Streams that only engines of one software version can go on with are demand for a copy at
// that version, if it has none. It is worth their waiting alone, so that no copy is evicted
// for it that earns more.
//
// Adapters. A missing adapter with waiting requests is loaded beside a copy of
// its model. If all adapter slots of the engine are taken, the adapter with the
// lowest arrival rate is evicted.
//
// Safety. Each engine has at most one order in flight. An order states how many
// orders the engine must have accepted before it, so that a late order is void.
// After an order without reply, the engine gets no other order until that one
// has been repeated and answered, at increasing intervals, or a report or the
// register shows that it is done or void. Without a report, an engine receives
// at most maxUnreportedOrders orders that it doesn't accept. Memory accounting includes loads in progress
// and, until a report shows that they have ended, unloads. Loads from the
// weight store are limited to its rate over a sliding window, and to a
// concurrency that is adjusted by measured load times.
//
// Locking: the caller serialises all calls.
package plan
