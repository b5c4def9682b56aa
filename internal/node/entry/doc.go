// Package entry runs the daemon of an entry host: it connects the feeds of the
// log, the election of the holder, the exchange of state with the holder and the
// relay of requests, and listens for callers, readiness checks, other daemons and
// metrics.
package entry
