// Package waker wakes models: it loads the models that requests wait for.
//
// In each failure domain one daemon, the first by rendezvous hash among the
// live ones, coordinates the wakes of a model. Requests at all daemons of the
// domain join the same wake and are notified when the load ends, so that a
// burst of first requests starts one load and no daemon polls. If the
// coordinator does not respond, a daemon coordinates the wake itself: grants
// enforce the limits even if two daemons coordinate at the same time.
package waker
