// Package claims implements the state machine of one claims stream: which
// idempotency keys are claimed, by which claim, and with which stored response.
//
// A non-idempotent request runs only under a granted claim. A claim record is
// valid if its epoch is the offset of the last ownership record before it and
// the time in its key is within the allowed range around its log time. The
// first valid claim of a key holds the key until it is withdrawn. Apply is a
// deterministic function of the state and the next record, and log time is the
// only clock.
//
// # Ownership
//
// Every take-ownership record is accepted; a claim is checked against the last
// one that precedes it. If a record were accepted only when Previous equals the
// current epoch, the result would depend on all earlier ownership records, so a
// reader that starts after retention has dropped some of them could accept a
// record that readers of the complete stream reject. With the rule used here,
// any reader that has seen one ownership record agrees with all others.
// Previous is kept for diagnosis.
//
// # Withdrawal
//
// A withdraw record names a claim. It frees the key only if that claim holds
// the key and has no response, and it invalidates every later copy of the same
// claim record. A withdraw record can therefore be delayed, be repeated, or
// arrive before its claim. Withdrawal is safe because a claim is withdrawn only
// by a process that knows that no request ran or will run under it.
//
// A withdraw record whose key is too far ahead has no effect. Otherwise its
// state could be dropped while claims of the key are still valid, and readers
// would disagree on whether a late copy of the claim is valid.
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
// For records that were in the stream when the reader started, a retained claim
// may be invalid only because of a dropped record: an earlier claim of the key
// or a newer ownership record. The reader marks such an entry as uncertain: the
// result of a query is Unknown, the claim can't be granted, and a withdraw
// record does not free the key. An entry is uncertain if no ownership record
// was seen before it, or if its key could have been claimed before the oldest
// retained record. The second case can't occur for a record appended after the
// reader started, by the inequality above.
//
// These arguments require log times that do not decrease with the offset. A
// log time lower than the highest one seen counts as that highest one.
package claims
