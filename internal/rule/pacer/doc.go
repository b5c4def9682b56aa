// Package pacer keeps one daemon within its share of the limits that all
// daemons have in common: the weight store's rate and concurrency, and the
// concurrency of adapter loads.
//
// Owners tell each other the loads that they run and wait for. A Pacer gives
// the free places to the owners that wait, those with urgent loads first, in
// an order that all of them compute alike from a hash. News is late, so an
// owner that is not alone starts one load at a time and waits for Settle
// before the next. Several owners that start at the same moment can still
// exceed the limit for a while; that makes loads slower, and is no error.
//
// Durations that grow against the best one seen mean that the store is slow or
// overcommitted. The Pacer then lowers its idea of the concurrency, so that
// the urgent loads end first, and raises it step by step when they are fast
// again (additive increase, multiplicative decrease, Chiu and Jain 1989).
//
// Each failure domain has a static share. The shares of the failure domains
// that can't be heard are left to them; a daemon whose own failure domain is
// cut off uses its own share. If there are fewer places than failure domains,
// the places rotate by the clock.
//
// Locking: the caller serialises all calls.
package pacer
