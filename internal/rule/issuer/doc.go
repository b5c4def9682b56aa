// Package issuer shares the allowances of client accounts among daemons: the holder's
// part, of which package meter is the daemons'.
//
// In any time t, at most PerSecond x t + Bounds.Bucket are granted, less what daemons
// may add to their reserves by themselves in that time, over any sequence of holders:
// a new one begins with nothing, and takes the shares that its predecessors gave as
// held until it hears of them or their term is over. docs/platform.md has the proof of
// the bound on what is used.
package issuer
