// Package claim requests claims for non-idempotent calls from the owner of the
// key's claims partition, and reports the response or the withdrawal of each
// granted claim to it.
package claim
