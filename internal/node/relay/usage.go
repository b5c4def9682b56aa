package relay

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/usage"
	"github.com/azurespan/azurespan/internal/rule/meter"
)

// AccountState is the state of a client account on this daemon.
type AccountState struct {
	Account *fleet.Account
	meter.Holding
	usage.Row
	// Unit is what the allowance counts, as in metrics.
	Unit string
	// Waiting counts the requests that wait for the allowance or an upstream.
	Waiting int
}

// denialReasons are the refusal reasons that azurespan_account_denials_total counts.
var denialReasons = map[string]string{
	deniedReason: metric.DenialAllowance, aboveAllowanceReason: metric.DenialAllowance, aboveBucketReason: metric.DenialAllowance,
	unmeteredReason: metric.DenialUnknown, staleReason: metric.DenialStale,
}

// allowanceUnit returns the unit of an allowance in metrics.
func allowanceUnit(a fleet.Allowance) string {
	if a.Tokens {
		return metric.UnitTokens
	}
	return metric.UnitRequests
}

// configureUsage replaces the accounts whose use is counted. r.mu must be held.
func (r *Relay) configureUsage(cfg *fleet.Config) {
	names, accounts := make([]string, len(cfg.Accounts)), make([]metric.Account, len(cfg.Accounts))
	for i, a := range cfg.Accounts {
		names[i], accounts[i] = a.Name, metric.Account{Name: a.Name, Unit: allowanceUnit(a.Allowance)}
	}
	r.usage.SetAccounts(names)
	r.metrics.Accounts.Configure(accounts)
}

// meterRequest counts the request against its account's allowance, and what comes of it.
func (x *exchange) meterRequest(ctx context.Context) (refusal, bool) {
	resp, ok := x.takeAllowance(ctx)
	if x.account == nil {
		return resp, ok
	}
	r, name, size := x.relay, x.account.Name, x.account.Allowance.Size(x.req)
	if !ok {
		r.countDenial(name, resp.reason)
		r.mu.Lock()
		defer r.mu.Unlock()
		h := r.meter.Holding(r.boot(), name)
		x.holding = []any{"size", size, "share", h.Share, "reserve", h.Reserve, "granted", h.Granted, "denied-for", h.DeniedFor, "holder-age", r.now().Sub(r.lastReply)}
		return resp, false
	}
	return resp, true
}

// countUse counts what the request takes of its account's allowance, once it is sent.
func (x *exchange) countUse() {
	if x.account == nil {
		return
	}
	r, name, size := x.relay, x.account.Name, x.account.Allowance.Size(x.req)
	r.metrics.Accounts.Used(metric.Account{Name: name, Unit: allowanceUnit(x.account.Allowance)}, size)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage.Use(r.now(), name, size)
}

// countDenial counts a refusal for an account's allowance or key.
func (r *Relay) countDenial(name, reason string) {
	r.metrics.Accounts.Denied(name, denialReasons[reason])
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage.Deny(name)
}

// AccountStates returns the states of all accounts in the order of the configuration.
func (r *Relay) AccountStates(now time.Time) []AccountState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accountStates(now)
}

// accountStates is AccountStates for callers that hold r.mu.
func (r *Relay) accountStates(now time.Time) []AccountState {
	cfg := r.config.Load()
	if cfg == nil || len(cfg.Accounts) == 0 {
		return nil
	}
	waiting := map[string]int{}
	for name, requests := range r.metered {
		waiting[name] += len(requests)
	}
	for _, w := range r.waiters {
		waiting[w.account]++
	}
	states := make([]AccountState, len(cfg.Accounts))
	for i := range cfg.Accounts {
		a := &cfg.Accounts[i]
		states[i] = AccountState{Account: a, Unit: allowanceUnit(a.Allowance), Holding: r.meter.Holding(r.boot(), a.Name), Row: r.usage.Row(now, a.Name), Waiting: waiting[a.Name]}
	}
	return states
}

// updateAccountGauges sets the gauges by account. r.mu must be held.
func (r *Relay) updateAccountGauges(now time.Time) {
	var states []metric.AccountState
	for _, s := range r.accountStates(now) {
		states = append(states, metric.AccountState{
			Account: metric.Account{Name: s.Account.Name, Unit: s.Unit},
			Waiting: s.Waiting, Share: s.Share, Reserve: s.Reserve,
		})
	}
	r.metrics.Accounts.SetStates(states)
}
