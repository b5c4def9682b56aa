// Package hosts is the client of the platform's list of live and leaving hosts.
// The list may lag behind the actual state or be missing; see docs/design.md
// sections 5 and 6.
package hosts
