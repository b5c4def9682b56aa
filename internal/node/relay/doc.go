// Package relay forwards callers' requests to upstreams and returns their
// responses.
//
// A request is queued until an upstream can run it, or refused at once if none
// will be available in time. A failed attempt is retried on another upstream if
// the request certainly did not run, or if its route allows it to run more than
// once; a retry budget is shared by all daemons. A resumable stream that is
// interrupted continues from another upstream within the same response.
//
// Status 503 guarantees that the request did not run and never will. Every
// other failure is a 502 or 504 status, or closes the connection in the middle
// of a stream, and does not say whether the request ran.
package relay
