// Package verify checks the invariants I1 to I9 of docs/design.md against the
// stand-ins' own records and what the callers saw. It reads no daemon's state.
//
// The bound is zero violations. Times are those of one machine. A request has
// Grace beyond its deadline: the caller interface itself refuses one second
// after the deadline, and one more second is for scheduling on a busy machine.
package verify
