// Package fleet starts daemons and simulated platforms and upstreams as separate
// processes that listen on free loopback ports, for the demo and the
// fault-injection scenarios. It stops only processes that it started.
package fleet
