// Package gossip exchanges facts about daemons and upstreams with peers.
//
// In each interval, a daemon exchanges facts with one daemon of its own failure
// domain, in turn, and in every CrossDomainInterval with a contact in another
// failure domain. A change of status is sent at once. Seeds from the settings
// and the host list, and daemons that count as dead, are tried periodically, so
// that the parts of a healed network partition find each other again.
package gossip
