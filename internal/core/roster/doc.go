// Package roster holds the upstreams known to one daemon, from the register
// that the upstreams write themselves.
//
// An upstream that reports that it is leaving stays leaving for its incarnation,
// whatever older entries arrive later. An entry that is removed ends its upstream
// at once, except around an outage of the register: entries expire while it is
// unreachable, so a missing one is kept until Settle has passed since the
// register's return, and counts as removed from then on.
//
// One daemon reads the register for all. It sends the others the changes since
// an offset of the register. Offsets mean the same to all daemons, so each can
// continue from its own offset with another sender or by reading itself.
package roster
