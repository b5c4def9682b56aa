// Package route chooses the replica that runs a request.
//
// A Table holds what one daemon knows about the loaded replicas: engine
// reports, which arrive late; the requests that this daemon has sent and
// finished since the report was taken; and hints about prompt prefixes in
// engine caches, which arrive late and incompletely. Pick applies these rules:
//
//   - An upstream that is leaving, down or excluded is never chosen.
//   - A replica whose latency is far above the median of its peers is ejected
//     for a while. Ejected and suspect replicas are used only if there are no
//     others.
//   - The expected wait in the engine's queue is 0 if a sequence is free.
//   - Fixed costs are added for another failure domain, for loading the
//     adapter, and subtracted for a cached prompt prefix.
//
// All daemons see the same late reports. If all of them took the replica that
// looks best, they would overload it. Replicas whose costs differ by less than
// the age of the reports therefore count as equal, and two draws weighted by
// free sequences decide between those with the least fixed cost (the power of
// two choices, Mitzenmacher 2001).
//
// A plain service has a Table of its own, in which the service's name stands
// for the model.
//
// A Table is not safe for concurrent use; the caller serializes all calls,
// including Pick, which uses buffers of the Table to avoid allocations.
package route
