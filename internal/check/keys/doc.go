// Package keys is a specification of at-most-once claims of idempotency keys for
// the model checker. The state transitions of the claims stream are those of the
// production code in internal/core/claims. The servers, which own partitions (see
// internal/node/dedup), and the attempts to run a request are specified here.
//
// # Rules
//
//   - A server that owns the partition, according to the records that it has
//     read, appends claims for the attempts that ask it. It grants a claim when
//     it has read it back as the valid claim of the key. It refuses an attempt at
//     its deadline and never grants that claim afterwards, but may withdraw it.
//   - An attempt runs once, after it has learned of its grant and unless it was
//     refused before. It withdraws its claim only if it did not run and will not.
//   - After an outage longer than the retention, or as a new process, a server
//     starts at the oldest retained record.
//
// A grant never depends on the response to an append, so an append whose response
// is lost is an ordinary append here. Appends that take effect later are bounded by
// Delayed, and repeated ones by Copies. A server that reads late represents a
// paused process, a network partition from the log, and a log outage.
//
// # Abstractions
//
// There is one partition and one key, because keys do not affect each other.
// Attempts 0 and 1 have the same digest, and attempt 2 has another one. There are
// two servers, each of which may crash and return as a new process. The log time
// takes the values in logMinutes. The time of the key, the window and the retention
// are such that a claim made at the first value is still retained when the key
// expires, and is dropped afterwards. The statement "run: no" is about the attempt,
// but in a mismatch it is about every attempt with that digest.
package keys
