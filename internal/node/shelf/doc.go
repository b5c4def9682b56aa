// Package shelf keeps the holder's complete state for a while after a daemon has got it,
// packed as it came, for other daemons that need it. The holder names those that have it
// (rule/spread).
package shelf
