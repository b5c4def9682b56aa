// Package grants is a specification of ownership, grants and orders for the model
// checker. The state transitions of the control stream are those of the production
// code in internal/core/ctrl. Engines, orders and the rules of an owner are
// specified here.
//
// # Rules of an owner
//
// A daemon acts only on records that it has read:
//
//   - It orders a load only for a grant that it has read, under the epoch of
//     its own ownership record, and not between the append of the release of
//     that grant and the reading of its record. A release under another epoch
//     says nothing about its own release.
//   - It has at most one order outstanding for each upstream. It may give up
//     an order without an answer. The order can still be executed later.
//   - It releases a grant only after an engine has confirmed an unload that it
//     ordered under its current epoch, even if the model is not loaded,
//     because an engine learns the fencing number only from an order.
//   - On an engine that ignores fencing numbers, it does not release a grant if
//     it gave up a load for it, and then does not acknowledge its loss either.
//   - On such an engine, an unload counts only if it was ordered after every
//     acknowledgement of a former owner was read. The former owner could
//     otherwise have loaded the model again between the unload and its
//     acknowledgement.
//   - It acknowledges the loss of ownership, or resigns, only while no order is
//     outstanding, and sends no order afterwards.
//
// A daemon acts only on records that it has read and never on the response to an
// append, so an append whose response is lost is an ordinary append here. A daemon
// that reads late represents a paused daemon, a network partition from the log, and
// a log outage, because these differ only in how long the daemon does not read. The
// protocol has no time limits.
//
// # Engines
//
// An engine that checks fencing refuses an order whose fencing number is lower than
// the highest that it has seen, or whose fencing number is the same and whose
// sequence number is lower. It keeps both numbers across a restart. An engine
// executes an order at the moment it accepts it. After the host list has reported a
// host gone, no order of its daemons is executed.
//
// # Abstractions
//
// There are two or three daemons, two upstreams, and two models with one version
// and one replica each. A replica needs all memory of an upstream. The configuration
// does not change, and engines do not check their memory. Bounds limits the number
// of events of each kind. Host names are not reused.
package grants
