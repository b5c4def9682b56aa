// Package hub implements the calls between the daemons and the holder, the one
// that may order loads: daemons report demand and crashes, and the holder returns
// what engines hold, how busy upstreams are, and which requests crash upstreams.
//
// The calls are net/rpc over TCP. A daemon connects to the holder, whose address is in
// the log, and for the complete state to daemons that the holder names; there is no list
// of daemons. All messages may be lost: a daemon without contact continues with what
// upstreams register.
package hub
