// Package dialer connects a daemon to upstreams, over its own network path or through
// another daemon, as package paths decides.
package dialer
