// Package sse splits a text/event-stream (WHATWG HTML, section 9.2) into
// complete events, so that an interrupted stream can be resumed after the last
// event that was forwarded.
package sse
