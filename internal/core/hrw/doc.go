// Package hrw implements rendezvous (highest random weight) hashing, with which
// all daemons that have the same list of names choose the same name for a key.
//
// Reference: D. Thaler and C. V. Ravishankar, "Using name-based mappings to
// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
package hrw
