// Package router routes requests to upstreams and retries them after failures.
//
// A chat completion is routed to a loaded replica; if there is none, the
// request waits for a wake, the load of a replica. When an engine fails, the
// completion resumes on the same engine if that still has the stream, and
// otherwise continues on another replica with the delivered text as prefix. A
// call of a plain service is sent to one upstream; a non-idempotent one runs
// only after its idempotency key has been claimed.
//
// Every wait ends at the request's deadline at the latest, with a fault that
// states whether the request was run.
package router
