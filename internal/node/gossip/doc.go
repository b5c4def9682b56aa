// Package gossip exchanges facts about daemons and upstreams with peers.
//
// Every interval a daemon exchanges news with one daemon of its own failure
// domain, in turn, and every fourth interval with a contact in another. A change of
// status is sent on at once. Seeds from the settings and the host list, and
// daemons believed dead, are tried now and then, so that the parts of a
// healed network find each other again.
package gossip
