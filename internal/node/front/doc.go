// Package front is the HTTP server of a daemon for client requests.
//
// It validates a request, assigns it an identifier, passes it to a Backend and
// writes the response: an OpenAI-style chat completion, complete or as
// server-sent events, the response of a plain service, or a problem document
// (RFC 9457).
//
// An exchange is one HTTP request with its response. An event ID is a signed
// position in a streamed response, after which a client can resume it.
//
// References: the WHATWG HTML standard, section 9.2 (server-sent events);
// RFC 9457 (problem details); RFC 9110, section 10.2.3 (Retry-After).
package front
