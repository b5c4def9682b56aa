// Package lease implements the lease that allows one daemon, the holder, to
// order loads.
//
// The lease is stored in a keyed topic of the log. A daemon acquires or renews
// it with a conditional append: the record is written only if the topic ends at
// the position that the daemon expects, so of several candidates one succeeds.
// The position of the record that began a tenure is the tenure's fencing token.
//
// A holder may send orders until TTL after it sent its last successful renewal.
// A candidate waits TTL and Margin after it has read the last record, so its
// tenure begins after the previous one has ended, regardless of clock skew: only
// durations on the local clock are compared, and that clock includes the time in
// which a machine is suspended. Orders begin a further Pause later, because
// engines that don't check fencing tokens require it between two holders. A
// released lease, or one that the same machine held before a restart, is
// acquired without waiting for TTL.
//
// The log may come back from an older copy, without the newest records, in a new
// era. Then the condition of an append can hold by chance, and a record of an older
// era doesn't show who holds the lease: its successor may be lost. A holder whose
// tenure lasts sends no orders until it has written its record again in the new
// era, which begins a tenure with a greater fencing token but without Pause. All
// others, also one whose own or released record is the newest, wait TTL and Margin
// from when they noticed the era, since a holder whose record is lost renewed it
// before. At the system's first start, an empty topic counts as such: a return of the
// log during these seconds isn't covered.
//
// Lease is a pure state machine of state, event and current time; it makes no
// calls.
package lease
