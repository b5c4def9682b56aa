package relay

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/rule/issuer"
)

const (
	// loanDelay is how long a request waits for the holder's answer, which takes some ms
	// in contact, before a delegate is asked.
	loanDelay = 100 * time.Millisecond
	// loanRetryDelay is the time after which a daemon that could ask no delegate takes
	// them to be in reach again.
	loanRetryDelay = time.Second
)

var _ hub.Lender = (*Relay)(nil)

// Lend implements hub.Lender: it lends what this daemon has in reserve of the accounts'
// allowances.
func (r *Relay) Lend(wants map[string]fleet.Want) map[string]fleet.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.meter.Lend(r.boot(), wants)
}

// HasUnmetered reports whether a request waits for its account's allowance.
func (r *Relay) HasUnmetered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.metered) > 0
}

// Loan returns what requests lack that have waited for the holder for loanDelay, by account,
// empty if there are none, the addresses of the delegates that lend it, and the time of the
// question.
func (r *Relay) Loan(now time.Time) (wants map[string]fleet.Want, delegates []string, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked = r.boot()
	return r.meter.Wants(asked, r.waitingSince(now.Add(-loanDelay))), r.delegates, asked
}

// Borrow adds what a delegate has lent in answer to a question.
func (r *Relay) Borrow(asked time.Time, lent map[string]fleet.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meter.Borrow(asked, r.boot(), lent)
	r.serveMetered()
}

// LoanFailed records that none of the delegates could be asked.
func (r *Relay) LoanFailed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loanFailedAt = now
}

// mayBorrow reports whether a delegate may lend what a request lacks: they have shares for
// issuer.ShareTTL after the holder was lost. r.mu must be held.
func (r *Relay) mayBorrow() bool {
	return len(r.delegates) > 0 && r.meter.SilentFor(r.boot()) < issuer.ShareTTL && r.now().Sub(r.loanFailedAt) > loanRetryDelay
}
