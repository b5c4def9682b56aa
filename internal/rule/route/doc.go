// Package route chooses the replica that runs a request.
//
// A Table holds what one daemon knows about the loaded replicas: engine
// reports, which are late; what this daemon has sent and finished since the
// report was taken; and hints about prompt prefixes in engine caches, which
// are late and have gaps. Pick weighs four things:
//
//   - A leaving or down upstream, and an excluded one, is never chosen.
//   - An upstream whose latency is far above the median of its peers is set
//     aside for a while, and a suspected one is used only without others.
//   - The wait in the engine's queue, which is 0 with a free sequence.
//   - The fixed cost: leaving the own failure domain, loading the adapter,
//     and filling the cache if the prompt's prefix isn't there.
//
// Daemons see the same late reports. If all of them took the replica that
// looks best, they would overload it. Replicas whose wait differs by less than
// the age of the report therefore count as equal, and two draws weighted by
// free sequences decide between those with the least fixed cost (the power of
// two choices, Mitzenmacher 2001).
//
// A plain service has a Table of its own, in which the service's name stands
// for the model.
//
// Locking: the caller serialises all calls, including Pick, which uses buffers
// of the Table so that it allocates nothing.
package route
