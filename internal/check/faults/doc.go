// Package faults runs failure scenarios: daemons as separate processes behind
// relays, a platform and upstreams whose records outlive their crashes, load
// from callers, faults, and an independent check of all records at the end.
//
// The stand-ins run inside the program that runs the scenarios. The crash of
// an engine drops its connections, stops its listener and loses its state as
// the end of its process would, and its records of what ran before stay.
package faults
