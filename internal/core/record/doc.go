// Package record defines the records of the control stream and their codec.
//
// A record is gzip-compressed JSON with kebab-case keys; the key "type" holds its
// type. Offsets start at 1, so 0 stands for "none". A daemon's name consists of
// its host's name, a slash and a number that is unique to the process, so a
// restarted process is a different daemon.
package record
