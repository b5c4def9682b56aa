package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/claims"
	"github.com/azurespan/azurespan/internal/link/peer"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/internal/node/dedup"
)

type (
	// PartitionServer is the daemon's own server of claims partitions.
	PartitionServer interface {
		Claim(ctx context.Context, now time.Time, a dedup.ClaimArgs) (dedup.Decision, error)
		Done(ctx context.Context, now time.Time, a dedup.DoneArgs) error
		Withdraw(ctx context.Context, now time.Time, a dedup.WithdrawArgs) error
	}

	// Membership is the part of the gossip that a Client needs.
	Membership interface {
		Live(domain string) []string
		Address(daemon string) (string, bool)
	}

	// Caller calls other daemons.
	Caller interface {
		Call(ctx context.Context, address, method string, args, reply any) error
	}

	// Client claims idempotency keys for the calls of one daemon. It is safe
	// for concurrent use.
	Client struct {
		self    string
		local   PartitionServer
		members Membership
		caller  Caller

		mu      sync.Mutex
		granted map[string]dedup.ClaimArgs // granted claims by call identifier
		reports sync.WaitGroup             // background reports
	}
)

const (
	// retryPause is the pause before a request to the owner of a partition is
	// repeated, while the partition changes its owner.
	retryPause = 100 * time.Millisecond
	// reportTimeout bounds how long the Client tries to report a response or a
	// withdrawal. After that, the outcome of the key stays unknown.
	reportTimeout = 30 * time.Second
	// doneWaitTimeout bounds how long a response is delayed until it is
	// recorded.
	doneWaitTimeout = 500 * time.Millisecond
)

// New returns a Client of the daemon self.
func New(self string, own PartitionServer, f Membership, c Caller) *Client {
	return &Client{self: self, local: own, members: f, caller: c, granted: map[string]dedup.ClaimArgs{}}
}

// digestOf identifies a call. It contains the account, so that no other one gets the
// stored response.
func digestOf(call *calls.ServiceCall) claims.Digest {
	parts := [][]byte{[]byte(call.Service), []byte(call.Method), []byte(call.Path), []byte(call.RawQuery), call.Body}
	if call.Account != "" {
		parts = append(parts, []byte(call.Account))
	}
	return claims.DigestOf(parts...)
}

// Claim returns nil if the call may run now, the stored response of an earlier
// run, or a *fault.Fault. If it refuses the call after an owner's reply was lost,
// it withdraws the claim in the background, because the claim may have been
// granted.
func (c *Client) Claim(ctx context.Context, call calls.ServiceCall) (*calls.ServiceResponse, error) {
	key, err := claims.ParseKey(call.Key)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "Idempotency-Key")
	}
	a := dedup.ClaimArgs{
		Key: call.Key, Daemon: c.self, Deadline: call.Deadline,
		Digest: digestOf(&call),
	}
	replyLost := false
	for {
		if a.ID.IsZero() {
			if a.ID, err = claims.NewID(time.Now().UnixMilli(), rand.Reader); err != nil {
				return nil, fault.Wrap(err, fault.Internal, "random source")
			}
		}
		d, err := c.requestClaim(ctx, key.Partition(), a)
		if err == nil {
			return c.handleDecision(call, a, d)
		}
		var ce *peer.CallError
		unanswered := errors.As(err, &ce)
		replyLost = replyLost || unanswered
		if !unanswered && !dedup.IsNotOwner(err) {
			return nil, c.handleRefusal(a, err, replyLost)
		}
		if !pause.For(ctx, retryPause) {
			return nil, c.handleRefusal(a, fault.New(fault.LogUnavailable, "the claim of the key could not be confirmed in time: %v", err), replyLost)
		}
		if !unanswered {
			// A former owner may still withdraw the claim that it refused, so the
			// identifier is not used again.
			c.withdrawIfUncertain(a, replyLost)
			a.ID, replyLost = claims.ID{}, false
		}
	}
}

// handleDecision records a granted claim, or returns the stored response.
func (c *Client) handleDecision(call calls.ServiceCall, a dedup.ClaimArgs, d dedup.Decision) (*calls.ServiceResponse, error) {
	if d.State == dedup.Granted {
		c.mu.Lock()
		c.granted[call.ID] = a
		c.mu.Unlock()
		return nil, nil
	}
	if d.Answer.Truncated {
		return nil, fault.New(fault.AnswerNotKept, "the call was run and answered with status %d; its answer was too long to keep", d.Answer.Status).WithRun(fault.RunYes)
	}
	return &calls.ServiceResponse{Status: d.Answer.Status, ContentType: d.Answer.ContentType, Body: d.Answer.Body}, nil
}

// handleRefusal withdraws the claim if an owner may have granted it in a lost
// reply, and returns err.
func (c *Client) handleRefusal(a dedup.ClaimArgs, err error, replyLost bool) error {
	c.withdrawIfUncertain(a, replyLost)
	return err
}

// withdrawIfUncertain withdraws, in the background, a claim under which no call
// ran, if replyLost is set.
func (c *Client) withdrawIfUncertain(a dedup.ClaimArgs, replyLost bool) {
	if replyLost {
		c.runInBackground(func(ctx context.Context) error { return c.withdraw(ctx, a) })
	}
}

// requestClaim sends the claim to the owner of the partition.
func (c *Client) requestClaim(ctx context.Context, partition int, a dedup.ClaimArgs) (dedup.Decision, error) {
	owner := dedup.PreferredOwner(partition, c.members.Live(""))
	if owner == c.self {
		return c.local.Claim(ctx, time.Now(), a)
	}
	address, ok := c.members.Address(owner)
	if !ok {
		return dedup.Decision{}, &peer.CallError{Address: owner, Method: "Claim", Cause: fault.New(fault.NotOwner, "no owner is known")}
	}
	r := new(dedup.Reply)
	if err := c.caller.Call(ctx, address, "Claim", a, r); err != nil {
		return dedup.Decision{}, err
	}
	return r.Decision, r.Refusal.Err()
}

// removeGranted removes and returns the granted claim of a call.
func (c *Client) removeGranted(callID string) (dedup.ClaimArgs, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.granted[callID]
	delete(c.granted, callID)
	return a, ok
}

// Done records the response of a call that ran. It waits up to doneWaitTimeout,
// so that a caller that repeats the call after the response gets the same one.
// In the background it tries to record the response for reportTimeout; after
// that, the outcome stays unknown to a caller that repeats the call.
func (c *Client) Done(call calls.ServiceCall, answer calls.ServiceResponse) {
	a, ok := c.removeGranted(call.ID)
	if !ok {
		return
	}
	args := dedup.DoneArgs{Key: a.Key, ID: a.ID, Answer: claims.NewStoredResponse(answer.Status, answer.ContentType, answer.Body)}
	done := make(chan struct{})
	c.runInBackground(func(ctx context.Context) error {
		defer close(done)
		return c.reportToOwner(ctx, a.Key, "Done", args, func() error { return c.local.Done(ctx, time.Now(), args) })
	})
	t := time.NewTimer(doneWaitTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// Withdraw withdraws the claim of a call that did not run, in the background.
func (c *Client) Withdraw(call calls.ServiceCall) {
	if a, ok := c.removeGranted(call.ID); ok {
		c.runInBackground(func(ctx context.Context) error { return c.withdraw(ctx, a) })
	}
}

// Forget forgets the claim of a call that may have run without a response, which stays
// in the log.
func (c *Client) Forget(call calls.ServiceCall) { c.removeGranted(call.ID) }

func (c *Client) withdraw(ctx context.Context, a dedup.ClaimArgs) error {
	args := dedup.WithdrawArgs{Key: a.Key, ID: a.ID}
	return c.reportToOwner(ctx, a.Key, "Withdraw", args, func() error { return c.local.Withdraw(ctx, time.Now(), args) })
}

// reportToOwner sends a report to the owner of the key's partition until it
// succeeds or ctx ends. If this daemon is the owner, it calls local instead.
func (c *Client) reportToOwner(ctx context.Context, key, method string, args any, local func() error) error {
	k, err := claims.ParseKey(key)
	if err != nil {
		return err
	}
	for {
		owner := dedup.PreferredOwner(k.Partition(), c.members.Live(""))
		if owner == c.self {
			err = local()
		} else if address, ok := c.members.Address(owner); ok {
			r := new(dedup.Reply)
			if err = c.caller.Call(ctx, address, method, args, r); err == nil {
				err = r.Refusal.Err()
			}
		}
		if err == nil || !pause.For(ctx, retryPause) {
			return err
		}
	}
}

// runInBackground runs f with a time limit of reportTimeout and logs its failure.
func (c *Client) runInBackground(f func(context.Context) error) {
	c.reports.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			event.ClaimReportFailed.Log("err", err)
		}
	})
}

// Wait returns when no background report is running or ctx ends.
func (c *Client) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.reports.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
