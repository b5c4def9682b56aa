// Package setup reads the INI settings of a daemon.
//
// Settings are validated completely before the daemon opens a listener. All
// problems, such as unknown sections or keys, missing keys, values without a
// unit, invalid addresses and conflicting settings, are reported together, each
// as a *Problem with file, line, key and what is allowed.
//
// Keys are in kebab case. A size has a unit (B, KiB, MiB, GiB), a duration has
// a unit of time.ParseDuration (ms, s, m, h), a count has none. Comments start
// with # or ; at the start of a line or after a space. A value may be enclosed
// in single or double quotes; multi-line values are rejected.
//
// The tables of docs/settings.md are generated from this package.
package setup
