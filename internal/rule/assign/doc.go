// Package assign decides at the holder which daemon may run a request under which
// upstreams have crashed: one of its repetitions at a time, its trial (package trial has
// the daemons' part).
//
// The holder names to all daemons the keys that are contested: those of which more than one
// run has ended with its upstream, or for which a daemon asks for the right. It names none
// of the others, of which there are as many as requests in progress on crashed upstreams.
// A key is no longer contested once a request with it has been answered.
//
// The right goes to the daemon that has asked for the longest time. It ends when the
// daemon reports so, or when the daemon hasn't reported for Settings.TTL. At the beginning
// of a tenure, rights that the former holder assigned may be in use: for that time, only
// those that daemons report are known, and none is assigned.
//
// Locking: the caller serialises all calls.
package assign
