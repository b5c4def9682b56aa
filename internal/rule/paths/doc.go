// Package paths decides how a daemon connects to an upstream: over its own network
// path, or through another daemon that forwards the connection.
//
// A daemon can lose its path to all upstreams or to some, while callers, the log and
// the other daemons still reach it. That an upstream didn't accept a connection then
// says nothing about the upstream. A Table holds the results of connection attempts
// over both ways and the daemons that forward, which the holder names.
package paths
