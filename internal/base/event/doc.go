// Package event writes azurespan's numbered log events.
//
// Every log line of a daemon is an Event from the catalogue in this package:
// a stable number, a name, what it means and what the operator should do.
// docs/events.md is the same catalogue for readers, and a test compares both.
// Numbers are allotted by area: 1000 base and settings, 2000 callers and
// routing, 3000 ownership, loads and placement, 4000 claims, 5000 membership,
// 6000 configuration and log, 7000 shutdown and supervision.
package event
