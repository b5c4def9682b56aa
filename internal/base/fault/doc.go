// Package fault defines the typed errors that azurespan returns to callers,
// operators and its own daemons.
//
// A Fault has a stable kind, states whether the request was run, and carries the
// delay after which a caller should retry. Packages that need a more specific
// type declare their own and wrap it in a Fault at their boundary.
package fault
