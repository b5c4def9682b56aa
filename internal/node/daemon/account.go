package daemon

import (
	"math"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/clock"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/node/front"
)

// freshness returns how certain it is that the configuration is the newest.
func (d *Daemon) freshness() front.Freshness {
	f := front.Freshness{}
	d.follower.View(func(state *ctrl.State) { f.Version = state.Version() })
	age, unreachable, ok := d.follower.Freshness(clock.Boottime())
	f.Age, f.Unreachable = age, unreachable
	if !ok {
		f.Age = math.MaxInt64 // never known to be the newest
	}
	return f
}

// configureAccounts replaces the accounts that have metrics.
func (d *Daemon) configureAccounts(config *declare.Deployment) {
	accounts := make([]metric.Account, len(config.Accounts))
	for i, a := range config.Accounts {
		accounts[i] = metric.Account{Name: a.Name, Unit: metric.UnitRequests}
	}
	d.metrics.Accounts.Configure(accounts)
}
