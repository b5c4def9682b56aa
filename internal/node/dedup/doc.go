// Package dedup owns claims partitions on behalf of one daemon and answers
// the claim requests of all daemons for them.
//
// A Keeper follows the stream of each partition that it is assigned or owns.
// It takes ownership by appending a record and reading it back. A claim is
// granted only after the Keeper has read its own claim record back as the
// valid first one, so a former owner can't grant: its record comes after the
// new owner's ownership record and is void for all readers.
//
// # Refusals and withdrawal
//
// Each claim is settled once, under the partition's lock: granted or refused.
// A claim that was refused is never granted later, so "run: no" is true even
// if its record takes effect afterwards. Only such claims, and claims that
// their claimant withdraws, are withdrawn. A claimant withdraws a claim only
// if it has not sent the request to an upstream, or has proof that the request
// did not reach one, and it never runs the claim afterwards; Withdraw refuses
// a claim whose answer was reported. If the process dies between the refusal
// and the withdrawal, the key stays unknown until it expires, which is safe.
//
// The statement "run: no" is about the attempt that is refused, not about
// earlier attempts with the same key.
//
// # Appends
//
// One goroutine per partition appends everything that waits as one log record,
// so the number of log calls depends on the log's latency and not on the rate
// of claims. After an ambiguous failure it reads the stream to its end, and
// appends again what it did not find. The copies carry the same claim
// identifiers, and the fold ignores the second one.
package dedup
