// Package config specifies the publication of configurations for the model
// check. Which publication is accepted is decided by internal/core/ledger;
// operators and the way records reach daemons are specified here.
//
// # Rules
//
//   - An operator publishes against the version that it has read, and learns
//     the outcome only by reading its record in the stream.
//   - A daemon applies records in the order of their offsets, whether they
//     come from the log or from a peer. It takes over a peer's snapshot only
//     if that has a higher offset than its own state.
//   - A daemon that restarts begins empty, with the log or a peer's snapshot.
//
// A log outage and a cut are covered by daemons that do not read from the log
// while they read from peers.
//
// # Abstractions
//
// Two operators and two daemons. Configurations differ only in their version.
// The number of publications, delayed appends and restarts is bounded.
package config
