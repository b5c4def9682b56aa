// Package origin knows at which software version streams began.
//
// Upstreams of several software versions may serve a service side by side. What
// two versions write doesn't fit together, so a stream goes on only at the version
// that began it, also if its caller resumes it at another daemon. A stream
// is identified by a hash of the ID of the request that brought its first event.
//
// A Table knows the streams that began at its daemon, and those of other daemons
// that were told to it or read from the log. As long as a service has a single
// version, the version of any of its streams is known without a record, and none is
// made. The Table says so only if it knows all versions of the last Retention: its
// view of the register must have been current since the versions were last read from
// the log, where daemons record them.
package origin
