// Package logsvc is the client of the platform's append-only log service.
//
// A stream keeps the records from its oldest to its end offset; the first
// record ever appended has offset 1. An append whose answer is lost may have
// taken effect: its Error is Ambiguous, and the caller reads the stream to
// find out. The protocol is described in docs/design.md section 5.
package logsvc
