// Package queue orders the requests that wait in one daemon.
//
// Requests that can still start in time for their targets go before those that
// are late already: under overload, first-come-first-served order makes all of
// them late. Within each group, the most urgent rank goes first, that of the
// account before that of the route.
//
// Beneath the ranks, accounts share the upstreams of a service by start-time fair
// queueing, each by its weight, with requests of their size. Requests without an
// account are one account. Within an account, the request whose latest start is
// nearest goes first. An account that sends less than its share waits for those
// alone that do so too, however much another one sends.
//
// A late request takes every second place of its model if its latest start is near,
// so that it isn't starved, or if its account has had less than others, since an
// account that sends without pause always has punctual ones. Such a place belongs to
// the account that is first in the fair order.
//
// What starts without waiting isn't counted: it took no place of those that wait.
//
// Locking: the caller serialises all calls.
package queue
