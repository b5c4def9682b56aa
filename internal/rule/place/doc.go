// Package place chooses the upstream on which a model version is loaded, and
// the replicas that are evicted to make room.
//
// A Chooser rates the candidates by the time until the replica is ready and by
// the cost of the load to other models:
//
//   - load time from the fastest tier that has the checkpoint (memory, disk,
//     remote), after the loads that are pending on the upstream;
//   - the expected cost of loading evicted models again: their load time times
//     the probability that they are needed again soon, which decreases with the
//     time that they have been idle;
//   - the cost of crossing to another failure domain.
//
// An existing grant needs no log record and no room, so it is the only choice
// in a log outage and at the replica limit. ctrl.State enforces the limits on
// replicas and memory; this package only avoids requesting grants that it would
// refuse.
//
// Choose is a function of its arguments: two coordinators with the same view
// make the same choice. Candidates of equal cost are ordered by rendezvous hash
// of model and upstream, so that different models spread over the upstreams.
//
// Locking: a Chooser keeps buffers between calls; the caller serialises them.
package place
