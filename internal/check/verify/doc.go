// Package verify checks the invariants I1 to I9 of docs/design.md against the
// records of the stand-in engines and services and the observations of the
// callers. It uses no state of a daemon.
//
// No violation is tolerated. All times are from the clock of one machine. A
// request may end up to DeadlineGrace after its deadline: the caller interface
// itself refuses one second after the deadline, and one more second is for
// scheduling on a busy machine.
package verify
