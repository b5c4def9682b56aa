// Package event writes azurespan's numbered log events.
//
// Every log line of a daemon is an Event from the catalogue in this package,
// which gives its stable number, its name, its meaning and the operator's
// action. docs/events.md is generated from the catalogue, and a test compares
// the two. Numbers are allotted by area: 1000 start-up, 2000 callers and
// routing, 3000 ownership, loads and placement, 4000 claims, 5000 membership,
// 6000 configuration and log, 7000 shutdown and supervision, 8000 entry hosts.
package event
