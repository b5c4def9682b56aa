// Package poison finds requests that crash the upstreams that run them.
//
// A request is known by its fingerprint. When an upstream crashes, every
// request in flight on it becomes a suspect. A suspect is run again only
// where no other suspect runs. A request is quarantined after a second crash
// at which it was the only suspect, so that requests which ran beside it are
// not blamed. A crash counts less if the request had produced tokens on the
// upstream: a request that kills engines rarely gets that far, while a long
// answer may well see two engines end for other reasons. It then takes four
// crashes. A suspect that completes is cleared.
//
// A Table is not safe for concurrent use.
package poison
