// Package follow applies the records of the control stream to a daemon's copy
// of the control state.
//
// A Follower reads the log service by long polling. While the log is
// unreachable, it asks peers for the records that it lacks, so that a failure
// domain that is partitioned from the platform still receives new
// configurations. Records are applied in the order of their offsets, whatever
// their source.
//
// A new daemon starts from a peer's state if the stream is long, if the log is
// unreachable, or if the stream's start has been deleted and it holds no usable
// snapshot. Otherwise it starts from the start of the stream or, if that has
// been deleted, from the newest snapshot.
package follow
