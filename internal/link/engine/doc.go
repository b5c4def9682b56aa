// Package engine is the client of model engines: orders, load reports, cache
// events and token streams. The protocol is described in docs/design.md
// section 5.
//
// An upstream is known by its name and reached at its address, an IP number
// and port. A stream checks every event of an engine: it drops a repeated
// token, and fails on a foreign request identifier, a gap in the token
// indices, malformed data, and an end without a finish reason. A failed
// stream can be resumed from the token that its Error names.
package engine
