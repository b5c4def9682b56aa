// Package waker loads models that requests wait for.
//
// In each failure domain one daemon, the first by rendezvous hash among the
// live ones, coordinates the wakes of a model. Requests at all daemons of the
// domain join its call and hear of the end of the load at once, so that a
// burst of first requests starts one load and nobody polls. If the coordinator
// does not answer, the daemon coordinates itself: grants keep the limits even
// if two daemons coordinate at the same time.
package waker
