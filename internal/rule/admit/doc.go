// Package admit decides which requests wait, in which order they are served,
// and which are refused.
//
// A Queue has a lane for each model, because a request for a loaded model
// must not wait behind one whose model is loading. Within a lane urgent
// requests go before background ones, and each class is ordered by the latest
// time at which a request must start, which is the deadline less its minimum
// duration (earliest deadline first, Liu and Layland 1973). A background request
// with little slack left is promoted: it competes with the urgent ones by its
// latest start. At most every other request served ahead of a waiting urgent one
// is promoted, so that late background requests can't displace urgent ones
// altogether.
//
// A request that is unlikely to meet its deadline is refused when it is offered.
// Every admitted request leaves the Queue through Next, Remove or Expire. Expire
// returns a request before its deadline, so that the caller gets the refusal in
// time.
//
// A Queue is not safe for concurrent use; the caller serializes all calls.
package admit
