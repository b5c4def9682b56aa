package usage

import (
	"cmp"
	"slices"
)

type (
	// Report is what a daemon tells operators of client accounts. It has no keys and no
	// hashes of keys.
	Report struct {
		Host string `json:"host"`
		// Version is that of the configuration in force.
		Version int64 `json:"version"`
		// Holder is set if the daemon grants allowances. HolderAgeMS is the time since
		// the holder's last reply, -1 if there was none.
		Holder      bool  `json:"holder"`
		HolderAgeMS int64 `json:"holder-age-ms"`
		// Shares are the largest shares of the allowances that daemons may hold, as
		// the holder counts them; only the holder has them.
		Shares   map[string]float64 `json:"shares,omitempty"`
		Accounts []Account          `json:"accounts"`
	}

	// Account is the state of a client account on a daemon, or summed over several.
	Account struct {
		Name string `json:"name"`
		// Priority is the rank, 0 for the most urgent.
		Priority int `json:"priority"`
		// PerSecond and Burst are the allowance of all daemons together; PerSecond
		// is 0 for an account without a bound. Unit is requests or tokens.
		PerSecond float64 `json:"per-second"`
		Burst     float64 `json:"burst"`
		Unit      string  `json:"unit"`
		// Share and Reserve are what the daemon holds of the allowance.
		Share   float64 `json:"share"`
		Reserve float64 `json:"reserve"`
		// Grantable is what the holder can grant at once; only the holder has it.
		Grantable float64 `json:"grantable"`
		// LastMinute and Denials are those of Row, and Waiting is the number of
		// requests that wait for the allowance or an upstream.
		LastMinute float64 `json:"last-minute"`
		Denials    uint64  `json:"denials"`
		Waiting    int     `json:"waiting"`
	}
)

// Sum returns the accounts of several daemons by name, with shares, reserves and counts
// added up. The allowance is that of the newest configuration among them.
func Sum(reports []Report) []Account {
	byName, versions := map[string]Account{}, map[string]int64{}
	for _, r := range reports {
		for _, a := range r.Accounts {
			sum, known := byName[a.Name]
			if known {
				a.Share += sum.Share
				a.Reserve += sum.Reserve
				a.Grantable += sum.Grantable
				a.LastMinute += sum.LastMinute
				a.Denials += sum.Denials
				a.Waiting += sum.Waiting
			}
			if known && r.Version < versions[a.Name] {
				a.Priority, a.PerSecond, a.Burst, a.Unit = sum.Priority, sum.PerSecond, sum.Burst, sum.Unit
			}
			byName[a.Name], versions[a.Name] = a, max(versions[a.Name], r.Version)
		}
	}
	sums := make([]Account, 0, len(byName))
	for _, a := range byName {
		sums = append(sums, a)
	}
	slices.SortFunc(sums, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	return sums
}
