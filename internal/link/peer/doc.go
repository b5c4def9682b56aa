// Package peer carries calls between daemons by net/rpc over TCP.
//
// A connection begins with a mutual challenge-response handshake by HMAC-SHA-256
// with the deployment's shared secret; no call is served before it. With TLS
// settings the connection is encrypted as well. The handshake does not protect
// the data that follows, so TLS is required on a network where others can
// inject traffic.
package peer
