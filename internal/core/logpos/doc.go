// Package logpos defines positions in a topic of the log.
//
// The log may come back from a copy that is some seconds old. What was written
// since is gone, and its offsets are given out again. The log counts such returns,
// and a position is the era, the number of returns, with the offset of a record in
// that era. Positions are ordered by era first, so that a later one is always
// greater, whatever became of the offsets.
package logpos
