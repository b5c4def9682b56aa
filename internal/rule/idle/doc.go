// Package idle decides when an idle replica is unloaded, and when a model is
// loaded ahead of its first request.
//
// A Policy keeps a small history for each model: histograms of the times that
// its first, second, … replica was idle between requests, and for each hour of
// the day (UTC) the share of days with a request and the time of the first one
// within the hour.
//
// Keeping a replica costs idle accelerator time until the next request.
// Unloading costs a load at the next request: the time that the accelerator
// loads, and the time that the caller waits. The cold-start weight w in [0, 1]
// is the exchange rate: a second of a caller's wait counts as WaitExchangeRate
// × w / (1 - w) seconds of idle accelerator time. At w = 0 only accelerator
// time counts; at w = 1 a replica is kept until its memory is needed. Decide
// unloads a replica if, given how long it has been idle, keeping it for any
// further time has a higher expected cost: the ski rental problem with a known
// distribution (Karlin et al. 1990).
//
// min-replicas and wake-at of the configuration take precedence.
//
// Locking: the caller serialises all calls.
package idle
