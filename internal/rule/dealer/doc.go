// Package dealer shares the rate limit of an upstream among daemons: they ask the
// holder for permits, one for each request that waits for the upstream.
//
// In any time t, permits for at most limit x (t + 0.25 s) + 1 requests are given,
// however many daemons there are and whichever of them have requests.
package dealer
