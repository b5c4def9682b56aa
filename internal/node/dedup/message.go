package dedup

import (
	"errors"
	"time"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/claims"
)

type (
	// State tells a granted claim from a replayed answer.
	State int

	// ClaimArgs asks for a claim.
	ClaimArgs struct {
		// Key is the caller's idempotency key in text form.
		Key    string
		Digest claims.Digest
		// ID names the claim. A claimant that chooses it (claims.NewID) can
		// repeat the question after a lost answer, and can withdraw. It uses
		// an ID for one attempt only, and never again after a refusal. A
		// zero ID lets the Keeper choose.
		ID     claims.ID
		Daemon string
		// Deadline bounds the wait; zero leaves it to the context.
		Deadline time.Time
	}

	// Decision answers a claim request that was not refused.
	Decision struct {
		State State
		// ID is the claim to run under, or the claim that gave the answer.
		ID claims.ID
		// Answer is set for Replayed.
		Answer claims.StoredResponse
	}

	// DoneArgs reports the answer of the request that ran under a claim.
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

	// Refusal is a fault.Fault in a form that gob can carry.
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
	// Replayed carries the stored answer of an earlier run.
	Replayed
)

// RefusalOf returns err in a form that gob can carry, nil for a nil err.
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

// NotOwner reports whether err is a Keeper's refusal because another daemon
// owns the partition, so that the request may be sent to that daemon.
func IsNotOwner(err error) bool {
	var f *fault.Fault
	return errors.As(err, &f) && f.Kind == fault.NotReady
}
