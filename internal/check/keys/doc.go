// Package keys specifies at-most-once claims for the model check. The
// transitions of the claims stream are those of internal/core/claims; keepers
// and claimants are specified here.
//
// # Rules
//
//   - A keeper that owns the partition in its view appends claims for the
//     attempts that ask it, and grants a claim when it has read it back as the
//     key's holder. It refuses an attempt at its deadline and never grants
//     that claim afterwards, but may withdraw it.
//   - An attempt runs once, after it learned of its grant and if it was not
//     refused before. It withdraws only if it did not run and will not.
//   - After an outage longer than the retention, or as a new process, a keeper
//     starts at the oldest retained record.
//
// The answer to an append is never used to grant, so an append whose answer is
// lost is an ordinary append here; one that takes effect later is bounded by
// Delayed, a repeated one by Copies. A keeper that reads late stands for a
// pause, a cut from the log, and a log outage.
//
// # Abstractions
//
// One partition and one key, because keys don't affect each other; attempts 0
// and 1 have the same digest, attempt 2 another one. Two keepers, each of
// which may crash and return as a new process. Log time takes the values in
// Times; the key's time, the window and the retention are chosen such that a
// claim made at the first value is still retained when the key expires and
// dropped afterwards. The statement "run: no" is about the attempt; a mismatch
// with "run: no" is about every attempt with that digest.
package keys
