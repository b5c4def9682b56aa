// Package idle decides when a replica that runs nothing is unloaded, and when
// a model is loaded before its first request.
//
// A Keeper holds a small history for each model: histograms of the times that
// its first, second, … replica was idle between requests, and for each hour of
// the day (UTC) the share of days with a request and when in the hour the
// first one came.
//
// Keeping a replica costs idle accelerator time until the next request.
// Unloading costs the load at the next request: the time that the accelerator
// loads, and the wait of the caller. The cold-start weight w in [0, 1] is the
// exchange rate: a second of a caller's wait counts as Rate × w / (1 - w)
// seconds of idle accelerator time. At w = 0 only accelerator time counts; at
// w = 1 a replica is kept until its memory is needed. Decide unloads if no
// further time is worth keeping it, given how long it has been idle: the
// ski rental problem with a known distribution (Karlin et al. 1990).
//
// min-replicas and wake-at of the configuration take precedence.
//
// Locking: the caller serialises all calls.
package idle
