// Package follow keeps a daemon's copy of the control stream's fold current.
//
// A Follower reads the log service by long polling. While the log can't be
// reached it asks peers for the records it lacks, so that a failure domain
// that is cut off from the platform still hears of publications. Records are
// applied in the order of their offsets only, whatever their source.
//
// A new daemon starts from the newest snapshot in the stream, or from a
// peer's state while the log is down.
package follow
