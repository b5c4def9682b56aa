// Package trace replays recorded traces of the core and compares what happens
// with stated outcomes.
//
// A trace is a file of JSON lines with kebab-case keys. Each line is one event
// with the key "event" and, beside it, the outcome that was recorded or that
// the author of the trace states:
//
//	control   a control record at an offset; "expect" is "accepted" or a reason
//	snapshot  the control state goes through a snapshot and is restored
//	state     states the version, owners, replicas, reserved memory or formers
//	reader    a reader of a claims stream starts; it forgets an earlier reader
//	claims    claims records at one offset; "expect" has one outcome for each
//	query     a question about a key; "expect" is the kind of the answer
//
// Empty lines and lines that start with # are skipped. The core is the real
// code of internal/core/ledger and internal/core/claims. Replay stops at the
// first difference.
package trace
