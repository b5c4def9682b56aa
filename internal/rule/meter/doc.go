// Package meter counts a daemon's requests against the allowances of client accounts:
// the daemons' part, of which package issuer is the holder's.
//
// A request takes what the holder has granted for it, or what is in the account's
// reserve. The holder fills the reserves; a daemon that doesn't reach it does so by its
// share of the allowance, for a while.
package meter
