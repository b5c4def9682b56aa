// Package guard bounds what the clients of a listener take of a daemon: connections, the
// memory of heads and bodies, and time without progress.
//
// A bound for each connection alone doesn't suffice, since clients open many. So a Guard
// counts what all connections of its listener hold, in a part of the daemon's memory account
// (base/ration). A client is turned away if nothing is left; before that, connections give
// way that keep the daemon waiting: those that have been quiet the longest within a request,
// those between requests, and those whose answers aren't read. A request that has been read
// completely is never ended in favour of another one, unless its answer isn't read.
//
// Ages count in ticks of Run, which pause while the process gets no processor, so that a
// client isn't taken for slow because the daemon was.
package guard
