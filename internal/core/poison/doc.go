// Package poison finds requests that crash the upstreams that run them.
//
// A request is identified by its fingerprint. When an upstream crashes, every
// request in flight on it becomes a suspect. A suspect is run again only on an
// upstream that runs no other suspect. A request is quarantined after a second
// crash at which it was the only suspect, so that requests which merely ran
// beside it are not blamed. If the request had produced tokens on the upstream,
// the crash is weaker evidence: a request that crashes engines rarely gets that
// far, while a long response may well lose two engines for other reasons. The
// quarantine then takes four crashes. A suspect that completes is cleared.
//
// A history may also be that of something that requests have in common, such as a part
// of their prompts (PartKey), which package blame judges.
//
// Daemons exchange histories: each merges what it is told into what it knows, so
// that neither the order of messages nor a sender that knows less takes a crash
// away. Cursor and Since give the changes that another daemon lacks.
package poison
