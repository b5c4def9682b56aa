// Package blame finds the parts of prompts that crash the upstreams which begin to
// answer a request with them.
//
// When an upstream crashes, each shared part of the requests that it had not been
// answering for a while is a suspect. A request that is answered clears its parts
// of the crashes that were known when the answer began, because a part that crashes
// upstreams crashes each of them. A part is quarantined once crashes enough are
// left that no other quarantined part explains. Of several parts that were involved
// in the same crashes, those are blamed first with which no request has been
// answered here recently, then those with more crashes, then those that fewer
// requests have: the parts of most prompts are involved in nearly every crash.
//
// Upstreams also crash for other reasons, sometimes many at once. A part that was
// involved in fewer than half of the crashes of its time needs more of them, and is
// tried again once later.
//
// The crashes are histories of a poison.Table, which daemons exchange.
package blame
