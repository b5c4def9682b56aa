package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/check/golden"
	"github.com/azurespan/azurespan/internal/core/usage"
	"github.com/azurespan/azurespan/internal/node/entry"
)

// serveReport serves a report as a daemon does and returns its address.
func serveReport(t *testing.T, r usage.Report) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		must.Eq(t, entry.AccountsPath, hr.URL.Path)
		must.Eq(t, "", hr.Header.Get("Authorization"))
		must.NoError(t, json.NewEncoder(w).Encode(r))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestAccountsOutput guards against sums over daemons that count one twice, take an
// allowance of an older configuration or hide a daemon that doesn't answer.
func TestAccountsOutput(t *testing.T) {
	orchard := usage.Account{Name: "orchard", PerSecond: 1900, Burst: 950, Unit: "tokens", Share: 0.5, Reserve: 40.25, Grantable: 512.5, LastMinute: 57000, Denials: 12, Waiting: 3}
	old := orchard
	old.PerSecond, old.Priority, old.Grantable, old.LastMinute, old.Denials, old.Waiting = 950, 2, 0, 28500, 1, 0
	free := usage.Account{Name: "bulletin", Priority: 1, Unit: "requests", LastMinute: 4}
	holder := usage.Report{Host: "entry-1", Version: 7, Holder: true, HolderAgeMS: 12, Shares: map[string]float64{"entry-1": 0.5, "entry-2": 0.3, "entry-3": 0.2}, Accounts: []usage.Account{orchard, free}}
	other := usage.Report{Host: "entry-2", Version: 6, HolderAgeMS: 150, Accounts: []usage.Account{old}}
	lone := usage.Report{Host: "entry-4", HolderAgeMS: -1, Accounts: []usage.Account{}}
	first, second, third := serveReport(t, holder), serveReport(t, other), serveReport(t, lone)

	code, out, _ := invoke(t, "accounts", "--address", first)
	must.Eq(t, exitOK, code)
	golden.Check(t, "accounts-one.golden", out)
	// The older configuration comes first here and last below.
	code, out, _ = invoke(t, "accounts", "--address", second, "--address", first, "--address", third)
	must.Eq(t, exitOK, code)
	golden.Check(t, "accounts-fleet.golden", out)
	code, reversed, _ := invoke(t, "accounts", "--address", third, "--address", first, "--address", second)
	must.Eq(t, exitOK, code)
	must.Eq(t, out, reversed)
	code, out, _ = invoke(t, "accounts", "--json", "--address", first, "--address", second)
	must.Eq(t, exitOK, code)
	golden.Check(t, "accounts-json.golden", out)
	code, out, _ = invoke(t, "accounts", "--address", third)
	must.Eq(t, exitOK, code)
	golden.Check(t, "accounts-none.golden", out)
}

// TestAccountsUnreachable guards against a daemon without an answer that hides the
// others, or that is taken for one without accounts.
func TestAccountsUnreachable(t *testing.T) {
	const closed = "127.0.0.1:1"
	up := serveReport(t, usage.Report{Host: "entry-1", Version: 7, HolderAgeMS: -1, Accounts: []usage.Account{{Name: "orchard", Unit: "requests"}}})
	code, out, errs := invoke(t, "accounts", "--address", up, "--address", closed)
	must.Eq(t, exitUnreachable, code)
	must.StrContains(t, out, "orchard")
	must.StrContains(t, out, closed+": the daemon is unreachable")
	must.StrContains(t, errs, "unreachable")
	code, _, _ = invoke(t, "accounts", "--address", closed)
	must.Eq(t, exitUnreachable, code)

	garbled := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("# HELP")) }))
	defer garbled.Close()
	code, _, _ = invoke(t, "accounts", "--address", garbled.URL)
	must.Eq(t, exitInternal, code)
	for _, args := range []string{"accounts", "accounts --address host:1", "accounts --address " + up + " --timeout 0s"} {
		code, _, _ = invoke(t, strings.Fields(args)...)
		must.Eq(t, exitUsage, code, must.Sprint(args))
	}
}
