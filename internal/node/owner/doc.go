// Package owner orders loads and unloads on the upstreams that this daemon
// owns, and watches them.
//
// An Owner takes ownership through the control stream when the rendezvous
// hash over the live daemons of the upstream's failure domain assigns the
// upstream to it and the former owner is dead or has resigned. It orders only
// what a grant of the control stream covers, and reads its own grant back
// before the order. An owner that finds itself replaced acknowledges the loss
// once no order of its own is in flight.
//
// The daemon that the hash assigns also polls the engine's reports and tells
// its peers, even if the ownership record can't be written because the log is
// down.
package owner
