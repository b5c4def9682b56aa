// Package logsvc is the client of the platform's append-only log service.
//
// A stream retains the records from its oldest to its end offset; the first
// record ever appended has offset 1. An append whose response is lost may have
// taken effect: its Error is Ambiguous, and the caller reads the stream to find
// out. docs/design.md section 5 describes the protocol.
package logsvc
