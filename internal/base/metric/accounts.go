package metric

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

type (
	// Accounts holds the metrics by client account. At most MaxAccounts have series
	// of their own; what the others do is summed under OtherAccounts. It is safe for
	// concurrent use.
	Accounts struct {
		requests, used, denials *prometheus.CounterVec
		waiting, share, reserve *prometheus.GaugeVec

		mu sync.RWMutex
		// units are the units of the accounts that have series of their own.
		units map[string]string
	}

	// Account is a client account with metrics.
	Account struct {
		Name string
		// Unit is what its allowance counts: UnitRequests or UnitTokens.
		Unit string
	}

	// AccountState is the present state of a client account on a daemon.
	AccountState struct {
		Account
		// Waiting counts the requests that wait for the allowance or an upstream.
		Waiting int
		// Share and Reserve are what the daemon holds of the allowance.
		Share, Reserve float64
	}
)

const (
	// MaxAccounts bounds the series: at 64 accounts, about 800.
	MaxAccounts = 64
	// OtherAccounts is the label of the accounts without series of their own, and of
	// requests whose account was removed before they ended.
	OtherAccounts = "other"
)

// Values of the label unit.
const (
	UnitRequests = "requests"
	UnitTokens   = "tokens"
)

// Values of the label reason of azurespan_account_denials_total.
const (
	// DenialAllowance is a request beyond the allowance.
	DenialAllowance = "allowance"
	// DenialUnknown is a request for which nobody could say whether the allowance
	// has room.
	DenialUnknown = "allowance-unknown"
	// DenialStale is a request whose key may have been removed.
	DenialStale = "configuration-age"
)

// Denials lists the values of the label reason.
var Denials = []string{DenialAllowance, DenialUnknown, DenialStale}

func newAccounts(b *builder) *Accounts {
	return &Accounts{
		requests: b.counterVec("azurespan_account_requests_total", "Requests that have ended, by client account and outcome (as of azurespan_request_duration_seconds).", "account", "outcome"),
		used:     b.counterVec("azurespan_account_used_total", "What requests have taken of the allowances of client accounts on this daemon, also of accounts without a bound.", "account", "unit"),
		denials:  b.counterVec("azurespan_account_denials_total", "Requests of client accounts that were refused because of the allowance or the key.", "account", "reason"),
		waiting:  b.gaugeVec("azurespan_account_waiting_requests", "Requests of a client account that wait for its allowance or for an upstream, on an entry host.", "account"),
		share:    b.gaugeVec("azurespan_account_share_ratio", "Share of an account's allowance that this daemon holds: of what daemons may keep in reserve together, and of the rate while there is no holder. For accounts under `other`, the largest.", "account"),
		reserve:  b.gaugeVec("azurespan_account_reserve", "What this daemon may use of an account's allowance without asking the holder.", "account", "unit"),
		units:    map[string]string{},
	}
}

// Configure replaces the accounts. The series of accounts that are gone, or count in
// another unit, are deleted. Accounts that have series keep them; the others get some in
// the order of the list while there are fewer than MaxAccounts.
func (a *Accounts) Configure(accounts []Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := map[string]string{}
	for _, c := range accounts {
		if a.units[c.Name] == c.Unit {
			kept[c.Name] = c.Unit
		}
	}
	for name := range a.units {
		if _, ok := kept[name]; !ok {
			a.delete(name)
		}
	}
	a.units = kept
	for _, c := range accounts {
		if _, ok := kept[c.Name]; !ok && len(kept) < MaxAccounts && c.Name != OtherAccounts {
			kept[c.Name] = c.Unit
			a.create(c)
		}
	}
}

// create creates the counters of an account at 0, so that Prometheus sees their first
// increase.
func (a *Accounts) create(c Account) {
	for _, outcome := range Outcomes {
		a.requests.WithLabelValues(c.Name, outcome)
	}
	for _, reason := range Denials {
		a.denials.WithLabelValues(c.Name, reason)
	}
	a.used.WithLabelValues(c.Name, c.Unit)
}

func (a *Accounts) delete(name string) {
	for _, v := range []*prometheus.MetricVec{a.requests.MetricVec, a.denials.MetricVec, a.used.MetricVec, a.waiting.MetricVec, a.share.MetricVec, a.reserve.MetricVec} {
		v.DeletePartialMatch(prometheus.Labels{"account": name})
	}
}

// label returns the label of an account. a.mu must be held.
func (a *Accounts) label(name string) string {
	if _, ok := a.units[name]; ok {
		return name
	}
	return OtherAccounts
}

// unitLabel is label for a series with a unit. A request that has begun before the
// account's unit changed counts under OtherAccounts. a.mu must be held.
func (a *Accounts) unitLabel(c Account) string {
	if unit, ok := a.units[c.Name]; ok && unit == c.Unit {
		return c.Name
	}
	return OtherAccounts
}

// Ended counts a request that has ended. One without an account is ignored.
func (a *Accounts) Ended(name, outcome string) {
	if name == "" {
		return
	}
	a.mu.RLock()
	defer a.mu.RUnlock()
	a.requests.WithLabelValues(a.label(name), outcome).Inc()
}

// Denied counts a refusal for one of the reasons in Denials.
func (a *Accounts) Denied(name, reason string) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	a.denials.WithLabelValues(a.label(name), reason).Inc()
}

// Used counts what a request has taken of an allowance.
func (a *Accounts) Used(c Account, size float64) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	a.used.WithLabelValues(a.unitLabel(c), c.Unit).Add(size)
}

// SetStates sets the gauges from the states of all accounts.
func (a *Accounts) SetStates(states []AccountState) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	waiting, share, reserve := map[string]int{}, map[string]float64{}, map[Account]float64{}
	for _, s := range states {
		name, held := a.label(s.Name), Account{a.unitLabel(s.Account), s.Unit}
		waiting[name] += s.Waiting
		share[name] = max(share[name], s.Share)
		reserve[held] += s.Reserve
	}
	for name, n := range waiting {
		a.waiting.WithLabelValues(name).Set(float64(n))
		a.share.WithLabelValues(name).Set(share[name])
	}
	for held, n := range reserve {
		a.reserve.WithLabelValues(held.Name, held.Unit).Set(n)
	}
	if _, ok := waiting[OtherAccounts]; !ok {
		a.waiting.DeleteLabelValues(OtherAccounts)
		a.share.DeleteLabelValues(OtherAccounts)
	}
	for _, unit := range []string{UnitRequests, UnitTokens} {
		if _, ok := reserve[Account{OtherAccounts, unit}]; !ok {
			a.reserve.DeleteLabelValues(OtherAccounts, unit)
		}
	}
}
