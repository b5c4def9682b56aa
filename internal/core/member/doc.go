// Package member holds what a daemon knows about other daemons and about
// upstreams, and decides what to tell which peer.
//
// Knowledge consists of facts. A fact has a subject, a counter and a status.
// Of two facts about one subject the one with the higher counter wins, and at
// equal counters the more severe status. A daemon raises its own counter to
// refute a suspicion; for other subjects, whoever has newer information
// raises it. Facts are passed on a number of times that is logarithmic in the
// number of daemons; digests of buckets of facts find what was missed.
//
// Reference: A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly
// consistent infection-style process group membership protocol", DSN 2002.
// Unlike SWIM, an exchange of facts serves as the probe.
//
// A Set is not safe for concurrent use.
package member
