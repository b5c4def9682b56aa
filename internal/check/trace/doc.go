// Package trace replays traces of control and claims records through the core
// and compares the outcomes with those that the trace expects.
//
// A trace is a file of JSON lines with kebab-case keys. Each line is one event.
// The key "event" has its name, and other keys hold the expected outcome, which
// was either recorded or written by the author of the trace:
//
//	control   a control record at an offset; "expect" is "accepted" or a reason
//	snapshot  the control state is encoded as a snapshot and restored from it
//	restore   the control state is replaced by the snapshot in "state"
//	state     the expected version, owners, replicas, reserved memory, or former
//	          owners; absent fields are not compared
//	reader    a new reader of a claims stream, which replaces an earlier one
//	claims    claims records at one offset; "expect" has one outcome for each
//	query     a query for a key; "expect" is the kind of the result
//
// Empty lines and lines that start with # are skipped. The core is the
// production code of internal/core/ctrl and internal/core/claims. Replay stops at
// the first difference.
package trace
