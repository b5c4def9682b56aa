// Package http1 holds connections to upstreams, one request at a time on each.
//
// net/http's client repeats some requests by itself and doesn't say whether
// anything was written. Here the caller owns each exchange: it is told whether
// the connection was new, whether bytes were written, and whether the answer
// is whole, and a request is never repeated. Answers are parsed by net/http.
//
// A connection is kept only after a complete answer that allows it, with no
// bytes left over, and for less than the upstream's idle timeout.
package http1
