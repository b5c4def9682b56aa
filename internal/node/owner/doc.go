// Package owner orders loads and unloads on the upstreams that this daemon
// owns, and polls the reports of their engines.
//
// An Owner takes ownership through the control stream when the rendezvous
// hash over the live daemons of the upstream's failure domain assigns the
// upstream to it and the former owner is dead or has resigned. It orders a
// load only under a grant, and only after it has read the grant back from the
// control stream. An owner that has been replaced acknowledges the loss once
// none of its orders is in flight.
//
// The daemon that the hash assigns also polls the engine's reports and sends
// the results to its peers, even if the ownership record can't be written
// because the log is down.
package owner
