// Package loans asks delegates of the holder for allowances of client accounts while requests
// wait for the holder in vain.
package loans

import (
	"context"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
)

type (
	// Local is the part of the daemon whose requests wait.
	Local interface {
		// HasUnmetered reports whether a request waits for its account's allowance.
		HasUnmetered() bool
		// Loan returns what requests lack that have waited for too long, by account,
		// the addresses of the delegates, and the time of the question.
		Loan(now time.Time) (wants map[string]fleet.Want, delegates []string, asked time.Time)
		// Borrow adds what a delegate has lent in answer to a question.
		Borrow(asked time.Time, lent map[string]fleet.Grant)
		// LoanFailed records that none of the delegates could be asked.
		LoanFailed(now time.Time)
	}

	// Client calls a delegate.
	Client interface {
		Lend(ctx context.Context, a *hub.LendArgs) (*hub.LendReply, error)
		Close()
	}

	// Loans asks delegates for one daemon.
	Loans struct {
		host  string
		local Local
		// waits is signalled when a request begins to wait.
		waits   <-chan struct{}
		dial    func(ctx context.Context, address string) (Client, error)
		metrics *metric.Metrics
		now     func() time.Time
		// clients are the connections by address, and avoided are until when those are
		// not asked that have failed.
		clients map[string]Client
		avoided map[string]time.Time
		// loggedAt is when a loan was last logged.
		loggedAt time.Time
	}
)

const (
	// interval is the time between two questions while requests wait.
	interval = 30 * time.Millisecond
	// avoidance is how long a delegate that failed isn't asked.
	avoidance = 500 * time.Millisecond
	// dialTimeout bounds the set-up of a connection, as the call itself.
	dialTimeout = 150 * time.Millisecond
	// idleTime is how long connections to delegates are kept without a question.
	idleTime = 10 * time.Second
	// logInterval is the least time between two log lines.
	logInterval = time.Second
)

// Dial connects to the delegate at an address over the network.
func Dial(ctx context.Context, address string) (Client, error) {
	c, err := hub.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// New returns Loans that Run starts. A value from waits says that a request waits.
func New(host string, local Local, waits <-chan struct{}, dial func(ctx context.Context, address string) (Client, error), metrics *metric.Metrics, now func() time.Time) *Loans {
	return &Loans{host: host, local: local, waits: waits, dial: dial, metrics: metrics, now: now, clients: map[string]Client{}, avoided: map[string]time.Time{}}
}

// Run asks delegates while requests wait, until ctx ends.
func (l *Loans) Run(ctx context.Context) error {
	defer l.close(nil)
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
			l.close(nil)
			continue
		case <-l.waits:
		}
		for l.local.HasUnmetered() && pause.For(ctx, interval) {
			if wants, delegates, asked := l.local.Loan(l.now()); len(wants) > 0 {
				l.ask(ctx, wants, delegates, asked)
			}
		}
		idle.Reset(idleTime)
	}
}

// ask asks the delegates in turn until one has lent for all accounts.
func (l *Loans) ask(ctx context.Context, wants map[string]fleet.Want, delegates []string, asked time.Time) {
	l.close(delegates)
	outcome, answered := metric.LoanNone, false
	for _, address := range delegates {
		if l.now().Before(l.avoided[address]) {
			continue
		}
		lent, err := l.lend(ctx, address, wants)
		if err != nil {
			if ctx.Err() == nil {
				l.avoided[address] = l.now().Add(avoidance)
				l.metrics.AllowanceLoans.WithLabelValues(metric.LoanFailed).Inc()
				l.log(address, wants, nil, err.Error())
			}
			continue
		}
		answered = true
		if len(lent) > 0 {
			l.local.Borrow(asked, lent)
			outcome = metric.LoanGranted
		}
		l.log(address, wants, lent, "")
		missing := map[string]fleet.Want{}
		for name, w := range wants {
			if _, ok := lent[name]; !ok {
				missing[name] = w
			}
		}
		if wants = missing; len(wants) == 0 {
			break
		}
	}
	if !answered {
		l.local.LoanFailed(l.now())
		return
	}
	l.metrics.AllowanceLoans.WithLabelValues(outcome).Inc()
}

// lend asks one delegate.
func (l *Loans) lend(ctx context.Context, address string, wants map[string]fleet.Want) (map[string]fleet.Grant, error) {
	c := l.clients[address]
	if c == nil {
		var err error
		dial, cancel := context.WithTimeout(ctx, dialTimeout)
		c, err = l.dial(dial, address)
		cancel()
		if err != nil {
			return nil, err
		}
		l.clients[address] = c
	}
	r, err := c.Lend(ctx, &hub.LendArgs{Host: l.host, Wants: wants})
	if err != nil {
		c.Close()
		delete(l.clients, address)
		return nil, err
	}
	return r.Lent, nil
}

// log logs a question to a delegate, at most one in logInterval.
func (l *Loans) log(address string, wants map[string]fleet.Want, lent map[string]fleet.Grant, cause string) {
	now := l.now()
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.loggedAt = now
	event.AllowanceLoan.Log("delegate", address, "accounts", len(wants), "lent", len(lent), "cause", cause)
}

// close closes the connections to other addresses than those to keep.
func (l *Loans) close(keep []string) {
	for address, c := range l.clients {
		if !slices.Contains(keep, address) {
			c.Close()
			delete(l.clients, address)
		}
	}
	for address := range l.avoided {
		if !slices.Contains(keep, address) {
			delete(l.avoided, address)
		}
	}
}
