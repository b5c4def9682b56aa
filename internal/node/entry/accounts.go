package entry

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/usage"
)

// AccountsPath is the path of the state of client accounts at the metrics address.
const AccountsPath = "/accounts"

// operatorHandler serves what operators read: metrics, and the state of client accounts.
func (e *Entry) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(e.reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+AccountsPath, e.serveAccounts)
	return mux
}

// serveAccounts replies with the state of client accounts.
func (e *Entry) serveAccounts(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.accountReport()); err != nil {
		event.OperatorWriteFailed.Log("path", r.URL.Path, "remote", r.RemoteAddr, "cause", err.Error())
	}
}

// accountReport returns the state of client accounts.
func (e *Entry) accountReport() usage.Report {
	r := usage.Report{Host: e.settings.Host, HolderAgeMS: -1, Accounts: []usage.Account{}}
	now := e.now()
	if cfg := e.relay.Config(); cfg != nil {
		r.Version = cfg.Version
	}
	if last := e.relay.LastReply(); !last.IsZero() {
		r.HolderAgeMS = now.Sub(last).Milliseconds()
	}
	holding, holder := e.loader.Allowances()
	r.Holder, r.Shares = holder, holding.Shares
	for _, s := range e.relay.AccountStates(now) {
		r.Accounts = append(r.Accounts, usage.Account{
			Name: s.Account.Name, Priority: s.Account.Rank, PerSecond: s.Account.Allowance.PerSecond, Burst: s.Account.Allowance.Burst, Unit: s.Unit,
			Share: s.Share, Reserve: s.Reserve, Grantable: holding.Levels[s.Account.Name],
			LastMinute: s.LastMinute, Denials: s.Denials, Waiting: s.Waiting,
		})
	}
	return r
}
