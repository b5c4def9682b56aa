// Package qlog stores crash histories in the log, so that a request that crashes
// upstreams is refused even after all daemons that saw the crashes have ended, and
// while no holder passes on what each of them sees.
//
// Each daemon has one record, which is written when a history that it has observed
// itself is missing in the topic: that of a request in quarantine always, that of a
// suspect only while the daemon has no contact with the holder. The holder compares
// the topic with what it knows at intervals; it writes what is missing and deletes
// records that have expired. Every daemon reads the topic when it starts, and while
// it has no contact with the holder, which otherwise tells it of changes.
package qlog
