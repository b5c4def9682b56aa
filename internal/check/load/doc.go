// Package load sends seeded open-loop traffic to daemons or to an engine and
// measures the answers.
//
// Open loop means that requests begin at times that don't depend on the
// answers: the gaps between them are exponential with a fixed mean. A request
// that would begin while the allowed number is in progress is counted as held
// back and not sent, so that an overloaded target shows as such and the load
// stays bounded.
//
// Terms: the first token time runs from sending the request to the first event
// with text; the token gap is the time between two events of one answer as the
// reader sees them, so tokens that arrive in one packet have a gap of almost 0.
package load
