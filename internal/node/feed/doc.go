// Package feed follows a keyed topic of the log: it starts from the newest record
// of each key, then reads on, and starts again from the newest records if the
// log has deleted records that it hasn't read.
//
// A Feed reports the outcome of each call to its Sink, which knows therefore how
// long the log has been unreachable. The Sink keeps its last state during an
// outage.
package feed
