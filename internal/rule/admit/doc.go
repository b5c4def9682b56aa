// Package admit decides which requests wait, in which order they are served,
// and which are refused.
//
// A Queue has a lane for each model, because a request for a loaded model
// must not wait behind one whose model is loading. Within a lane urgent
// requests go before background ones, each class by the latest time at which
// it must start (deadline less the time that it needs; earliest deadline
// first, Liu and Layland 1973). A background request whose slack gets short is
// promoted: it competes with the urgent ones by its latest start, but for at
// most every other place, so that late background work can't displace urgent
// work altogether.
//
// A request that probably can't be met is refused when it is offered. Every
// admitted request leaves the Queue through Next, Remove or Expire, and Expire
// returns a request before its deadline, so that its refusal arrives in time.
//
// Locking: the caller serialises all calls.
package admit
