// Package fleet starts daemons and stand-ins as separate processes on loopback
// ports that are free, for the demo and the failure scenarios. It ends only
// processes that it started.
package fleet
