// Package hosts is the client of the platform's list of live and leaving
// hosts. The list lags behind reality and can be missing; see docs/design.md
// sections 5 and 6.
package hosts
