// Package http1 pools HTTP/1.1 connections to upstreams, with one request at a
// time on each.
//
// The client of net/http retries some requests by itself and doesn't report
// whether anything was written. Here the caller controls each exchange: it can
// tell whether the connection is new, whether bytes were written, and whether
// the response is complete, and no request is ever retried. Heads of responses
// are checked by link/head, and responses are parsed by net/http.
//
// A connection is reused only after a complete response that allows it, if no
// bytes are left over, and for less than the upstream's idle timeout.
package http1
