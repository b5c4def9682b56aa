// Package olog keeps the origins of streams in the log, for daemons that have just
// started and for those that the others don't reach.
//
// The holder writes for all daemons in contact with it; a daemon out of contact writes
// for itself. There are two kinds of records, both JSON: the versions of each service,
// under the key HOST/versions, whenever they change; and, while a service has several
// versions, the streams that began since the last record, under the key HOST/N. N goes
// round, so that the newest records of all keys cover origin.Retention at the full
// rate of writes.
package olog
