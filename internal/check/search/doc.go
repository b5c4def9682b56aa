// Package search is an explicit-state model checker for small specifications.
//
// A Model has an initial state and a function that lists the successors of a
// state. Run visits every reachable state breadth first, so a reported
// counterexample has the smallest possible number of steps. States are comparable
// values. Of a visited state only a 128-bit hash, the index of its parent and the
// label of the step are kept. With 10 million states the probability that any two
// hashes collide, which would hide a state, is below 1e-24.
//
// The search is implemented here because no Go library explores a specification
// exhaustively: porcupine checks recorded histories, and rapid samples runs. It
// needs no state space reduction, because the models bound the number of each
// kind of event.
package search
