// Package record defines the records of the control stream and their codec.
//
// A record is JSON with kebab-case keys, compressed with gzip, with its type
// in the key "type". Offsets start at 1, so 0 stands for "none". A daemon is
// named by its host's name, a slash and a unique number of the process, so
// that a restarted process is a different daemon.
package record
