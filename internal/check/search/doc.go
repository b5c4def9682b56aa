// Package search explores the states of a small specification exhaustively.
//
// A Model has a start state and a function that lists the successors of a
// state. Run visits every reachable state breadth first, so that a reported
// counterexample has the smallest number of steps. States are comparable
// values; a visited state is kept as a 128-bit hash and a link to its parent.
// With 10 million states the probability that any two hashes collide, which
// would hide a state, is below 1e-24.
//
// No library in the Go registries explores a specification exhaustively:
// porcupine checks recorded histories and rapid samples runs. The search is
// therefore kept small. It needs no reduction, because the models bound the
// number of each kind of event.
package search
