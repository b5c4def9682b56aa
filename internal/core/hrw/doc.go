// Package hrw implements rendezvous (highest random weight) hashing, by which
// all daemons with the same list of names agree on one of them for a key.
//
// Reference: D. Thaler and C. V. Ravishankar, "Using name-based mappings to
// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
package hrw
