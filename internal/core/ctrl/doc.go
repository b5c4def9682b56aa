// Package ctrl is the fold of the control stream: the configuration in
// force, who owns each upstream, and which replicas are granted.
//
// Apply is a deterministic function of the state and the next record, so all
// daemons that have applied the same offset agree. It enforces the limits on
// replicas and memory: a grant beyond them is refused whoever appended it.
//
// A grant is counted from its record until its release, whether or not the
// engine has the model loaded. An owner therefore appends a grant before it
// orders a load and a release after the engine has confirmed the unload.
//
// On an upstream that ignores fencing numbers, an owner that was replaced may
// still send orders for the grants it knew. Such a grant can't be released
// until that owner has acknowledged its loss or its host is gone.
package ctrl
