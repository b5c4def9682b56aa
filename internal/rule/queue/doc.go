// Package queue orders the requests that wait in one daemon.
//
// Requests that can still start in time for their targets go before those that
// are late already: under overload, serving in the order of arrival makes all
// of them late. Within each, a more urgent rank goes first, then the request
// that must start soonest. A late request whose last moment is near takes every
// second place, so that it isn't starved.
//
// Locking: the caller serialises all calls.
package queue
