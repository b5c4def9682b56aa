// Package engine is the client of inference engines: orders, load reports,
// cache events and token streams. docs/design.md section 5 describes the
// protocol.
//
// An upstream is identified by its name and reached at its address, an IP
// address and port. A stream validates every event of an engine: it drops
// duplicate tokens, and fails on another request's identifier, a gap in the
// token indices, malformed data, and an end without a finish reason. A failed
// stream can be resumed from the NextToken of its Error.
package engine
