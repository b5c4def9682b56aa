// Package front is the HTTP interface of a daemon to its callers.
//
// It checks a request, gives it an identifier, hands it to a Backend and
// writes the answer: an OpenAI-style chat completion, whole or as server-sent
// events, the answer of a plain service, or a problem document (RFC 9457).
//
// Terms: an exchange is one HTTP request with its answer; an event id is the
// signed place in a streamed answer after which a caller can resume it.
//
// References: the WHATWG HTML standard, section 9.2 (server-sent events);
// RFC 9457 (problem details); RFC 9110, section 10.2.3 (Retry-After).
package front
