// Package calls defines the requests, responses and token streams that pass
// between the caller interface, the router and the engine client of one daemon.
package calls
