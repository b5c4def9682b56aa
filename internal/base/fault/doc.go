// Package fault defines the typed errors that azurespan returns to callers,
// operators and its own daemons.
//
// A Fault has a stable kind, states whether the request was run, and carries
// the time after which a caller should try again. Packages that need a
// narrower type declare their own and wrap it in a Fault at the edge.
package fault
