package dedup

import (
	"errors"
	"time"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/claims"
)

type (
	// State distinguishes a granted claim from a replayed response.
	State int

	// ClaimArgs requests a claim.
	ClaimArgs struct {
		// Key is the caller's idempotency key in text form.
		Key    string
		Digest claims.Digest
		// ID identifies the claim. A claimant that chooses it (claims.NewID)
		// can repeat the request if the reply was lost, and can withdraw the
		// claim. It uses an ID for one attempt only, and never again after a
		// refusal. If ID is zero, the Server chooses it.
		ID     claims.ID
		Daemon string
		// Deadline bounds the wait; if it is zero, only the context does.
		Deadline time.Time
	}

	// Decision is the result of a claim request that was not refused.
	Decision struct {
		State State
		// ID is the claim under which to run the request, or for Replayed the
		// claim under which it ran.
		ID claims.ID
		// Answer is the stored response; it is set for Replayed.
		Answer claims.StoredResponse
	}

	// DoneArgs reports the response of the request that ran under a claim.
	DoneArgs struct {
		Key    string
		ID     claims.ID
		Answer claims.StoredResponse
	}

	// WithdrawArgs states that no request ran under the claim and none will.
	WithdrawArgs struct {
		Key string
		ID  claims.ID
	}

	// Refusal is a fault.Fault in a form that gob can encode.
	Refusal struct {
		Kind       fault.Kind
		Run        fault.Run
		Detail     string
		RetryAfter time.Duration
	}

	// Reply carries a Decision or a Refusal between daemons.
	Reply struct {
		Decision Decision
		// Refusal is nil for success.
		Refusal *Refusal
	}
)

// States of a Decision.
const (
	// Granted allows the claimant to run the request once.
	Granted State = iota + 1
	// Replayed means that the decision holds the stored response of an
	// earlier run.
	Replayed
)

// NewRefusal returns err in a form that gob can encode, or nil for a nil err.
func NewRefusal(err error) *Refusal {
	if err == nil {
		return nil
	}
	f := fault.Of(err)
	d := f.Detail
	if f.Cause != nil {
		d += ": " + f.Cause.Error()
	}
	return &Refusal{Kind: f.Kind, Run: f.Run, Detail: d, RetryAfter: f.RetryAfter}
}

// Err returns r as a *fault.Fault, or nil for a nil r.
func (r *Refusal) Err() error {
	if r == nil {
		return nil
	}
	return &fault.Fault{Kind: r.Kind, Run: r.Run, Detail: r.Detail, RetryAfter: r.RetryAfter}
}

// IsNotOwner reports whether err is the refusal of a Server that does not own
// the partition, so that the request may be sent to another daemon.
func IsNotOwner(err error) bool {
	var f *fault.Fault
	return errors.As(err, &f) && f.Kind == fault.NotReady
}
