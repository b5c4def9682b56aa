// Package serve runs the HTTP server of a stand-in, as a program or inside a
// test, and reads and writes its JSON bodies.
package serve
