// Package spread decides from whom a daemon gets a state that the holder has for all of
// them and that is large: from the holder, as far as its network link allows, else from a
// daemon that has it already. The number of daemons that have it grows with each round, so
// that the time until all do grows with its logarithm, and the load of no link with the
// number of daemons.
package spread
