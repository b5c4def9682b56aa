// Package calls defines the request and the token stream that pass between the
// caller interface, the dispatcher and the engine client of one daemon.
package calls
