// Package rest makes the HTTP calls of the clients under internal/link. It
// limits the size of responses and reports whether a failed request may have
// reached the server.
package rest
