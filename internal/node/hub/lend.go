package hub

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// LendArgs asks a delegate of the holder for allowances of client accounts.
	LendArgs struct {
		Host string
		// Wants are what requests lack that wait at the daemon, by account.
		Wants map[string]fleet.Want
	}

	// LendReply is the reply to LendArgs.
	LendReply struct {
		// Lent is what the daemon may use, by account; an account is missing if the
		// delegate has nothing for it.
		Lent map[string]fleet.Grant
	}

	// Lender lends allowances of client accounts to other daemons.
	Lender interface {
		Lend(wants map[string]fleet.Want) map[string]fleet.Grant
	}
)

// lendTimeout bounds a call of Lend: a request that needs it waits for 0.4 s at most, and
// another delegate may have to be asked.
const lendTimeout = 150 * time.Millisecond

// Lend implements the call of that name.
func (s *server) Lend(a *LendArgs, r *LendReply) error {
	r.Lent = s.lender.Lend(a.Wants)
	return nil
}

// Lend asks a delegate for allowances.
func (c *Client) Lend(ctx context.Context, a *LendArgs) (*LendReply, error) {
	r := new(LendReply)
	return r, c.call(ctx, "Lend", a, r, lendTimeout)
}
