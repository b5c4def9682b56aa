// Package claim asks the owner of a key's partition whether a non-idempotent
// call may run, and reports what became of it.
package claim
