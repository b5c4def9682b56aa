// Package pacer keeps one daemon within its share of the limits that all
// daemons have in common: the rate and concurrency of loads from the weight
// store, and the concurrency of adapter loads.
//
// Owners exchange how many loads they run and have queued. A Pacer divides the
// free slots among the owners with queued loads, those with urgent loads first,
// in an order that all owners compute alike from a hash. The exchange takes
// time, so an owner that is not the only one starts one load at a time and waits
// for StartInterval before the next. Several owners that start at the same
// moment can still exceed the limit for a while; that slows loads down but is
// not an error.
//
// Durations that grow relative to the best one seen mean that the store is slow
// or overcommitted. The Pacer then reduces the concurrency, so that the urgent
// loads end first, and raises it step by step when loads are fast again
// (additive increase, multiplicative decrease, Chiu and Jain 1989).
//
// Each failure domain has a static share of the slots. The shares of unreachable
// failure domains are not used by others, and a daemon whose own failure domain
// is partitioned off uses only that domain's share. If there are fewer slots
// than failure domains, the slots rotate by the clock.
//
// A Pacer is not safe for concurrent use; the caller serializes all calls.
package pacer
