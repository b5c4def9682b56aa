// Package rest makes the HTTP calls of the clients under internal/link: it
// bounds the size of an answer, and tells whether a failed request may have
// reached the server.
package rest
