// Package setup reads the INI settings of a daemon.
//
// Settings are checked completely before anything listens. Every unknown
// section or key, missing key, value without a unit, bad address and clash is
// reported at once as a *Problem with file, line, key and what is allowed.
//
// Keys are in kebab case. A size has a unit (B, KiB, MiB, GiB), a duration has
// one that time.ParseDuration knows (ms, s, m, h), a count has none. Comments
// start with # or ; at the start of a line or after a space. A value may stand
// in single or double quotes; multi-line values are rejected.
//
// docs/settings.md is written from the table of fields in this package.
package setup
