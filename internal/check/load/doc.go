// Package load is an open-loop load generator for daemons and engines, with seeded
// traffic. It measures the answers.
//
// Open loop means that the times at which requests are sent do not depend on the
// answers: the times between them are exponentially distributed with a fixed mean.
// A request that is due while the allowed number is in progress is skipped and
// counted, so that the overload of a target is visible and the load stays bounded.
//
// The first token time is the time from sending a request to the first event with
// text. The token gap is the time between two events of an answer as the reader
// gets them, so tokens that arrive in one packet have a gap of almost 0.
package load
