// Package qlog stores the requests in quarantine in the log, so that they are
// refused even after all daemons that saw the crashes have ended.
//
// A daemon writes the history of a request once that is quarantined and the daemon
// has seen one of its crashes itself. The holder compares the topic with what it
// knows at intervals; it writes what is missing and deletes what has expired. Every
// daemon reads the topic when it starts, and while it has no contact with the
// holder, which otherwise tells it of changes.
package qlog
