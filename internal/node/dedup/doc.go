// Package dedup owns claims partitions on behalf of one daemon and answers the
// claim requests of all daemons for them, so that a non-idempotent request with
// an idempotency key runs at most once.
//
// A Server reads the stream of each partition that it is assigned or owns. It
// takes ownership by appending a record and reading it back. A claim is granted
// only after the Server has read its own claim record back as the first valid
// one of the key. A former owner therefore can't grant a claim: its record
// follows the new owner's ownership record and is invalid for all readers.
//
// # Refusals and withdrawal
//
// Each claim is settled once, under the partition's lock: granted or refused.
// A refused claim is never granted later, so "run: no" is true even if its
// record takes effect afterwards. Only refused claims, and claims that their
// claimant withdraws, are withdrawn. A claimant withdraws a claim only if it has
// not sent the request to an upstream or has proof that the request did not
// reach one, and it never runs the request under that claim afterwards. Withdraw
// refuses a claim whose response was reported. If the process dies between the
// refusal and the withdrawal, the outcome of the key stays unknown until the key
// expires, which is safe.
//
// The statement "run: no" is about the refused attempt, not about earlier
// attempts with the same key.
//
// # Appends
//
// One goroutine per partition appends the queued records in batches, each as one
// log record, so the number of log calls depends on the log's latency and not on
// the rate of claims. After an append with an unknown result, it reads the
// stream to its end and appends again the records that it did not find. The
// copies carry the same claim identifiers, and readers ignore the second one.
package dedup
