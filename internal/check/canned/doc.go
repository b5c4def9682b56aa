// Package canned has a server for tests that answers requests with given bytes, which need
// not be a response.
package canned
