// Package faults runs fault-injection scenarios. A scenario starts daemons as
// separate processes behind TCP relays, simulates the platform and the
// upstreams, applies request load, injects faults, and finally checks all
// records against the invariants, independently of the daemons.
//
// The platform and the upstreams run inside the program that runs the
// scenarios. The crash of an engine drops its connections, closes its listener
// and discards its state, as the end of its process would, but its records of
// earlier requests and loads are kept for the check.
package faults
