// Package usage counts what a daemon's requests use of the allowances of client
// accounts, for operators. It decides nothing.
package usage
