// Package retry decides whether a failed attempt is made again, and when.
//
// A Budget is a token bucket that holds retries to a share of the recent
// requests, so that an overload isn't multiplied by its own retries. Delays
// grow exponentially with full jitter: uniform between 0 and the bound
// (Brooker, "Exponential Backoff And Jitter", 2015).
//
// A non-idempotent request that may have reached an upstream is neither
// retried nor hedged, whatever else holds.
//
// Locking: the caller serialises all calls on a Budget. Policy is immutable.
package retry
