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
// made.
//
// Which versions may have begun streams is decided by the holder, not by what a daemon
// sees of the register, which may be old. The holder announces a version in the log when
// the first model is being loaded at one of its upstreams, or, in a service without
// models, when one registers. At ttl or more after that is written it opens the version,
// and daemons begin streams only at versions that the log has as open. So for a stream
// that began at b at a version announced at a, and a State that held at h,
//
//	b >= a + ttl, and a > h if the State doesn't list the version,
//
// hence b > h + ttl: a State that is no older than ttl has announced all versions at
// which streams have begun. One that held after a request arrived that resumes a stream
// lists the stream's version as open. A daemon that resumes a stream needs such a State from
// the holder or from the log; how old its view of the register is doesn't matter.
//
// Only the holder announces versions, and it learns from the log what the former holder has
// announced before it decides anything. Times are those of clocks that count suspensions,
// and are compared on one machine only.
package origin
