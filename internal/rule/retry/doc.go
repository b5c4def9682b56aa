// Package retry decides whether a failed attempt is retried, and when.
//
// A Budget is a token bucket that limits retries to a share of the recent
// requests, so that retries don't amplify an overload. Delays grow
// exponentially with full jitter: uniform between 0 and the bound (Brooker,
// "Exponential Backoff And Jitter", 2015).
//
// A non-idempotent request that may have reached an upstream is neither retried
// nor hedged, regardless of all other conditions.
//
// Locking: the caller serialises all calls on a Budget. Policy is immutable.
package retry
