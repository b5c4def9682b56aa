// Package serve runs the HTTP server of a simulated upstream or platform, as a
// program or within a test, and decodes and encodes its JSON bodies.
package serve
