// Package router takes a request from its admission to its answer.
//
// A chat completion is routed to a loaded replica; if there is none, the
// request waits for a wake. When an engine fails, the answer continues on the
// same engine if it still keeps the stream, and otherwise on another replica
// with the delivered text as prefix. A call of a plain service is sent to one
// upstream; a non-idempotent one runs only under a claim of its key.
//
// Every wait ends at the request's deadline at the latest, with a fault that
// states whether the request was run.
package router
