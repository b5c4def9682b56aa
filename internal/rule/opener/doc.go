// Package opener decides from when on streams may begin at a software version.
//
// An Opener belongs to the holder. A version is announced once one of its upstreams may
// serve before long (Serve): the log has to have the announcement, and daemons record
// the streams of a service with several announced versions. It is opened, and daemons
// begin streams there, once all of this holds:
//
//   - the announcement has stood in the log for the wait that package origin relies on;
//   - each daemon that the holder has heard within absenceLimit knows the announcement,
//     so that the streams which began there at the other versions are recorded;
//   - the tenure has lasted absenceLimit: a former holder may have heard more daemons.
//
// A daemon that stands still or is cut off holds up the second for absenceLimit at most,
// in which the callers of its streams come to other daemons. Loading a model takes about
// as long, so that upstreams of a new version rarely wait for it.
//
// The first version of a service opens at once: no daemon can take another one's streams
// for its own. A version that no upstream is registered with any more is forgotten after
// origin.Retention, when its streams can't be resumed.
//
// Locking: the caller serialises all calls. Times are on a clock that counts suspensions.
package opener
