// Package head checks the heads of HTTP/1.1 responses as they are read.
//
// Malformed is a head with a status outside 100 to 599, with a field name that is no token
// directly before its colon, with a field that is folded over several lines, or with a
// transfer coding in another version than HTTP/1.1, and that of an interim response that
// announces content. net/http accepts these: it takes a status below 100 for that of an
// interim response, and a field that frames the content for another one, so that other
// bytes than the content would be taken for the response. Its parsed response no longer
// shows such faults in full, so a Scanner works on the bytes: those of a malformed head are
// withheld, and nothing that depends on the response can be decided from it. A head that a
// Scanner accepts may still be rejected by net/http.
//
// The format is that of RFC 9112, sections 4 to 6; the valid statuses are those of
// RFC 9110, section 15.
package head
