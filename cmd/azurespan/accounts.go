package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"

	"github.com/azurespan/azurespan/internal/base/setup"
	"github.com/azurespan/azurespan/internal/core/usage"
	"github.com/azurespan/azurespan/internal/node/entry"
)

type (
	// accountsResult is the state of client accounts on one or more daemons.
	accountsResult struct {
		// Accounts are the sums over the daemons that answered.
		Accounts []usage.Account `json:"accounts"`
		Daemons  []usage.Report  `json:"daemons"`
		// Unreachable are the addresses that gave no answer, with the reason.
		Unreachable map[string]string `json:"unreachable,omitempty"`
	}

	// daemonRow is a row of the table of daemons.
	daemonRow struct {
		host     string
		report   *usage.Report
		held     float64
		heldSeen bool
	}
)

// secondsPerMinute is the length of usage.Period in the unit of a rate.
const secondsPerMinute = 60

// accountsCommand asks daemons on entry hosts for the state of client accounts.
func accountsCommand(ctx context.Context, o options, client *http.Client) (commandResult, error) {
	if len(o.addresses) == 0 {
		return nil, &usageError{detail: "accounts needs an --address, the second internal port of a daemon on an entry host"}
	}
	bases := make([]string, len(o.addresses))
	for i, a := range o.addresses {
		base, err := setup.BaseURL(a)
		if err != nil {
			return nil, &usageError{detail: "--address: " + err.Error()}
		}
		bases[i] = base
	}
	reports, errs := make([]*usage.Report, len(bases)), make([]error, len(bases))
	var wg sync.WaitGroup
	for i, base := range bases {
		wg.Go(func() { reports[i], errs[i] = readAccounts(ctx, client, base) })
	}
	wg.Wait()
	result := &accountsResult{Daemons: []usage.Report{}}
	for i, r := range reports {
		if errs[i] != nil {
			if result.Unreachable == nil {
				result.Unreachable = map[string]string{}
			}
			result.Unreachable[o.addresses[i]] = errs[i].Error()
			continue
		}
		result.Daemons = append(result.Daemons, *r)
	}
	slices.SortFunc(result.Daemons, func(a, b usage.Report) int { return cmp.Compare(a.Host, b.Host) })
	result.Accounts = usage.Sum(result.Daemons)
	return result, errors.Join(errs...)
}

// readAccounts reads the state of client accounts from a daemon.
func readAccounts(ctx context.Context, client *http.Client, base string) (*usage.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	doc, err := adminTarget{base: base}.getBytes(ctx, client, entry.AccountsPath, url.Values{})
	if err != nil {
		return nil, err
	}
	r := &usage.Report{}
	if err := json.Unmarshal(doc, r); err != nil {
		return nil, &protocolError{service: "the daemon at " + base, detail: err.Error()}
	}
	return r, nil
}

func (a *accountsResult) writeText(w io.Writer) {
	if len(a.Daemons) > 0 {
		a.writeAccounts(w)
		fmt.Fprintln(w)
		a.writeDaemons(w)
	}
	for _, address := range slices.Sorted(maps.Keys(a.Unreachable)) {
		fmt.Fprintf(w, "%s: %s\n", address, a.Unreachable[address])
	}
}

// writeAccounts prints a table with a row for each account.
func (a *accountsResult) writeAccounts(w io.Writer) {
	if len(a.Accounts) == 0 {
		fmt.Fprintln(w, "the configuration has no accounts")
		return
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "account\tpriority\tper-second\tburst\tunit\tlast-minute\tof-rate\tdenials\twaiting\tshare\treserve\tgrantable")
	for _, s := range a.Accounts {
		perSecond, burst, ofRate, share, reserve, grantable := "unlimited", "-", "-", "-", "-", "-"
		if s.PerSecond > 0 {
			perSecond, burst = formatAmount(s.PerSecond), formatAmount(s.Burst)
			ofRate = fmt.Sprintf("%.0f%%", 100*s.LastMinute/(s.PerSecond*secondsPerMinute))
			share, reserve, grantable = formatShare(s.Share), formatAmount(s.Reserve), formatAmount(s.Grantable)
		}
		fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", s.Name, s.Priority, perSecond, burst, s.Unit,
			formatAmount(s.LastMinute), ofRate, s.Denials, s.Waiting, share, reserve, grantable)
	}
	_ = tw.Flush() // a failed write to the terminal can't be handled
}

// writeDaemons prints a table with a row for each daemon that answered or that the
// holder knows.
func (a *accountsResult) writeDaemons(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "daemon\tversion\tholder\tholder-age\tshare-by-holder")
	for _, d := range a.daemonRows() {
		version, holder, age, held := "-", "-", "-", "-"
		if d.report != nil {
			version, holder = strconv.FormatInt(d.report.Version, 10), strconv.FormatBool(d.report.Holder)
			if d.report.HolderAgeMS >= 0 {
				age = fmt.Sprintf("%dms", d.report.HolderAgeMS)
			}
		}
		if d.heldSeen {
			held = formatShare(d.held)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", d.host, version, holder, age, held)
	}
	_ = tw.Flush() // a failed write to the terminal can't be handled
}

// daemonRows returns the daemons that answered or that a holder knows, by name.
func (a *accountsResult) daemonRows() []daemonRow {
	rows := map[string]daemonRow{}
	for i := range a.Daemons {
		r := &a.Daemons[i]
		d := rows[r.Host]
		d.host, d.report = r.Host, r
		rows[r.Host] = d
		for host, share := range r.Shares {
			d := rows[host]
			d.host, d.held, d.heldSeen = host, share, true
			rows[host] = d
		}
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b daemonRow) int { return cmp.Compare(a.host, b.host) })
}

// formatAmount formats an amount with at most one digit after the point.
func formatAmount(v float64) string {
	if v == math.Trunc(v) {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return strconv.FormatFloat(v, 'f', 1, 64)
}

// formatShare formats a share of 1.
func formatShare(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
