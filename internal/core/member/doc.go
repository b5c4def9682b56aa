// Package member implements a SWIM-style membership table: what a daemon knows
// about other daemons and about upstreams, and which facts it sends to which
// peer.
//
// A fact has a subject, a counter and a status. Of two facts about one subject,
// the one with the higher counter takes precedence; at equal counters, the one
// with the more severe status. A daemon increments its own counter to refute a
// suspicion; for other subjects, any daemon with newer information increments
// the counter. Each fact is sent a number of times that is logarithmic in the
// number of daemons. Comparing digests of buckets of facts finds facts that were
// missed (anti-entropy).
//
// Reference: A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly
// consistent infection-style process group membership protocol", DSN 2002.
// Unlike in SWIM, an exchange of facts also serves as the probe.
//
// A Set is not safe for concurrent use.
package member
