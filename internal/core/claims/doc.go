// Package claims is the fold of one claims stream: which idempotency keys are
// claimed, by which claim, and with which stored answer.
//
// A non-idempotent request runs only under a granted claim. A claim record is
// valid if its epoch is the offset of the last ownership record before it and
// its key's time fits its log time. The first valid claim of a key holds the
// key until it is withdrawn. Apply is a deterministic function of the state
// and the next record, and log time is the only clock.
//
// # Ownership
//
// Every take-ownership record is accepted, and the last one before a claim
// decides. Comparing Previous with the current epoch would make the outcome
// depend on all earlier ownership records, so a reader that starts after
// retention has dropped some of them could accept a record that complete
// readers refuse. With the rule used here any reader that has seen one
// ownership record agrees with all others. Previous is kept for diagnosis.
//
// # Withdrawal
//
// A withdraw record names the claim. It frees the key only if that claim
// holds it without an answer, and it voids every later copy of the same claim
// record. It can therefore be delayed, repeated, or arrive before the claim.
// It is safe because a claim is withdrawn only by who knows that the claim
// was never run and will not be run.
//
// A withdraw record of a key that is too far ahead has no effect. Otherwise it
// could be dropped while claims of the key are still valid, and readers would
// disagree on whether a late copy of the claim is void.
//
// # Retention
//
// Let W be the acceptance window, A the time that a key may be ahead of the
// log's clock, and R the retention; W + A < R is required. A valid claim of
// key k has a log time T with time(k) - A <= T <= time(k) + W. If a reader
// starts at log time S, a dropped claim of k has T < S - R, so time(k) + W <=
// T + A + W < S - R + A + W < S. Every claim of k appended after the reader
// started is therefore expired, and no second run is possible. The state of
// k is dropped by the same rule once a record's log time is after time(k) + W.
//
// Records that were in the stream when the reader started need more care: a
// retained claim may be void only because of a dropped record (an earlier
// claim of the key, or a newer ownership record). The reader marks such an
// entry as uncertain: it answers Unknown, can't be granted, and a withdraw
// does not free it. An entry is uncertain if no ownership record was seen
// before it, or if its key could have been claimed before the oldest retained
// record. A record appended after the reader started can't have the second
// problem, by the inequality above.
//
// The reasoning needs log times that do not decrease with the offset. A lower
// log time counts as the highest one seen.
package claims
