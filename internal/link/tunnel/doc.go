// Package tunnel carries a connection to an upstream through another daemon.
//
// The daemon that wants the connection sends the other one, the forwarder, an HTTP
// CONNECT request with the upstream's address and ID. A response of 200
// means that the upstream has accepted the connection; from then on bytes to the
// upstream are sent as they are. Those from the upstream come in frames of one byte for
// the kind, two bytes for the length and the data, and the last frame says how the
// upstream ended the connection: a response may end with its connection, so the end of
// the upstream's has to differ from that of the forwarder.
//
// A tunnel carries one request: the forwarder decides for each whether the upstream
// may get it.
package tunnel
