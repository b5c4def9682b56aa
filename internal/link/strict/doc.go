// Package strict has a transport for net/http that rejects responses with a malformed head.
//
// The check is that of package head, on the bytes of the connection, so that net/http
// neither makes a response of such a head, nor follows it as a redirect, nor uses its
// connection again.
package strict
