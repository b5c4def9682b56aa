// Package queue orders the requests that wait in one daemon.
//
// Requests that can still start in time for their targets go before those that
// are late already: under overload, first-come-first-served order makes all of
// them late. Within each group, the most urgent rank goes first, then the
// request whose latest start is nearest. A late request whose latest start is
// near takes every second place, so that it isn't starved.
//
// Locking: the caller serialises all calls.
package queue
