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
// A request may come again in a form that differs in what its caller can change, such
// as the query, and so under another fingerprint. Its variants have a history of their
// own (VariantsKey), which is judged as that of a request is. Of each request it has
// the first crash only: a request that crashes upstreams as it is, is found by its own
// history, and its sound variants are not refused for it.
//
// A history may also be that of a part of prompts (PartKey), which package blame
// judges.
//
// Daemons exchange histories: each merges what it is told into what it knows, so
// that neither the order of messages nor a sender that knows less takes a crash
// away. Cursor and Since give the changes that another daemon lacks.
package poison
