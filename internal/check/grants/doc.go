// Package grants specifies ownership, grants and orders for the model check.
// The transitions of the control stream are those of internal/core/ledger;
// engines, orders and the owner's rules are specified here.
//
// # Rules of an owner
//
// A daemon acts only on records that it has read:
//
//   - It orders a load only for a grant that it has read, under the epoch of
//     its own ownership record, and not after it appended the grant's release
//     until it has read that record. A release under another epoch says
//     nothing about its own.
//   - It has at most one order outstanding for each upstream. It may give an
//     order up without an answer; the order can then still be executed later.
//   - It releases a grant only after an engine has confirmed an unload that it
//     ordered under its current epoch, even if the model is not loaded,
//     because an engine learns the fencing number only from an order.
//   - On an engine that ignores fencing numbers it does not release a grant
//     of which it gave up a load, and does not acknowledge its loss then.
//   - On such an engine an unload counts only if it was ordered after every
//     acknowledgement of a former owner was read. The former owner could
//     otherwise have loaded the model again between the unload and its
//     acknowledgement.
//   - It acknowledges the loss of ownership, or resigns, with no order
//     outstanding, and orders nothing afterwards.
//
// A daemon acts on the log only by reading it, so the answer to an append is
// never used: an append whose answer is lost is an ordinary append here. A
// daemon that reads late stands for a paused daemon, a daemon that is cut off
// from the log, and a log outage, because these differ only in how long the
// daemon does not read. Time limits play no role in the protocol.
//
// # Engines
//
// An engine that checks fencing refuses an order with a lower fencing number
// than the highest it has seen, or with the same fencing number and a lower
// sequence number, and keeps both numbers over a restart. An engine executes
// an order at the moment it accepts it. After the host list reports a host
// gone, no order of its daemons is executed.
//
// # Abstractions
//
// Two or three daemons, two upstreams, two models with one version and one
// replica each; each replica fills an upstream. The configuration does not
// change, and engines do not check their memory. Each kind of event is bounded by Bounds. Host names are not reused.
package grants
