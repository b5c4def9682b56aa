// Command rig2 plays the scripted cases of the second review: it starts the daemon of the
// deploy file as processes on loopback, beside its own stand-ins for the platform's store,
// replicas and clients.
//
//	rig2 CASE DIR
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// couldn't run. With TROUBLE=0 in the environment it leaves the disruption out.
package main
