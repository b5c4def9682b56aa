// Package ctrl implements the state machine of the control stream: the
// configuration in force, the owner of each upstream, and the granted replicas.
//
// Apply is a deterministic function of the state and the next record, so all
// daemons that have applied the same offset agree. It enforces the replica and
// memory limits: a grant that exceeds them is rejected, whichever daemon
// appended it.
//
// A grant counts from its record until its release, whether or not the engine
// has loaded the model. An owner therefore appends a grant before it orders a
// load, and a release after the engine has confirmed the unload.
//
// On an upstream that ignores fencing numbers, a replaced owner may still send
// orders for the grants that it knew. Such a grant can't be released until that
// owner has acknowledged its loss of ownership or its host is gone.
package ctrl
