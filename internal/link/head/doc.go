// Package head checks the heads of HTTP/1.1 responses as they are read.
//
// net/http accepts any status of three digits, and takes one below 100 for that of an
// interim response. It accepts blanks in the names of fields, so that a field which frames
// the content is taken for another one, and joins a line that begins with a blank to the
// field before. Its parsed response no longer shows such faults in full, so a Scanner works
// on the bytes: those of a malformed head are withheld, and nothing that depends on the
// response can be decided from it. A head that a Scanner accepts may still be rejected
// by net/http.
//
// The format is that of RFC 9112, sections 4 and 5; the valid statuses are those of
// RFC 9110, section 15.
package head
