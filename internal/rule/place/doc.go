// Package place chooses the upstream on which a model version is loaded, and
// what is evicted to make room.
//
// A Chooser weighs the candidates by the time until the replica is ready and
// by what the load takes away from others:
//
//   - load time from the nearest tier that has the checkpoint (memory, disk,
//     remote), behind the loads that are pending on the upstream;
//   - the expected cost of loading evicted models again: their load time
//     times the chance that they are needed soon, which falls with the time
//     that they have been idle;
//   - the cost of crossing to another failure domain.
//
// An existing grant needs no log record and no room, so it is the only choice
// in a log outage and at the replica limit. The ledger enforces the limits on
// replicas and memory; this package only avoids offers that it would refuse.
//
// Choose is a function of its arguments. Two coordinators with the same view
// make the same choice. Equal candidates are ordered by rendezvous hash of
// model and upstream, so that different models spread.
//
// Locking: a Chooser keeps buffers between calls; the caller serialises them.
package place
