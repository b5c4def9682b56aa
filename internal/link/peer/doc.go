// Package peer carries calls between daemons by net/rpc over TCP.
//
// A connection begins with a mutual challenge and response by HMAC-SHA-256
// under the deployment's shared secret; without it no call is served. With
// TLS settings the connection is encrypted as well. The handshake does not
// protect the data after it, so a network that others can write to needs TLS.
package peer
