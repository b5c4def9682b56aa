// Package config is a specification of the publication of configurations for the
// model checker. The production code in internal/core/ctrl decides which
// publication is accepted. The operators and the ways in which records reach
// daemons are specified here.
//
// # Rules
//
//   - An operator publishes against the version that it has read. It learns the
//     outcome only by reading its record in the stream.
//   - A daemon applies records in the order of their offsets, whether they
//     come from the log or from a peer. It restores a peer's snapshot only if
//     that has a higher offset than its own state.
//   - A daemon that restarts begins with an empty state, and reads the log or
//     restores a peer's snapshot.
//
// A log outage and a network partition are covered by runs in which daemons read
// from peers and not from the log.
//
// # Abstractions
//
// There are two operators and two daemons. Configurations differ only in their
// version. The numbers of publications, delayed appends and restarts are bounded.
package config
