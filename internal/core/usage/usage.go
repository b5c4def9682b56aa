package usage

import "time"

type (
	// Table holds the counts of the configured accounts. It is not safe for
	// concurrent use.
	Table struct{ accounts map[string]*account }

	// Row holds the counts of one account.
	Row struct {
		// LastMinute is what was used within Period.
		LastMinute float64
		// Denials counts the refusals for the allowance or the key since the
		// account was added.
		Denials uint64
	}

	account struct {
		// used is what was used by second, and last the newest second in it.
		used    [periodSeconds]float64
		last    int64
		denials uint64
	}
)

const (
	// Period is the time of Row.LastMinute, in steps of whole seconds.
	Period = periodSeconds * time.Second

	periodSeconds = 60
)

// New returns a Table without accounts.
func New() *Table { return &Table{accounts: map[string]*account{}} }

// SetAccounts replaces the accounts. The counts of those that stay are kept.
func (t *Table) SetAccounts(names []string) {
	kept := make(map[string]*account, len(names))
	for _, name := range names {
		if kept[name] = t.accounts[name]; kept[name] == nil {
			kept[name] = &account{}
		}
	}
	t.accounts = kept
}

// Use counts what a request has taken of an account's allowance. Accounts that are not
// configured any more are ignored.
func (t *Table) Use(now time.Time, name string, size float64) {
	if a := t.accounts[name]; a != nil {
		a.advance(now)
		a.used[a.last%periodSeconds] += size
	}
}

// Deny counts a refusal.
func (t *Table) Deny(name string) {
	if a := t.accounts[name]; a != nil {
		a.denials++
	}
}

// Row returns the counts of an account, zeros if it is not configured.
func (t *Table) Row(now time.Time, name string) (r Row) {
	a := t.accounts[name]
	if a == nil {
		return r
	}
	a.advance(now)
	for _, n := range a.used {
		r.LastMinute += n
	}
	r.Denials = a.denials
	return r
}

// advance clears the seconds after the newest one until now.
func (a *account) advance(now time.Time) {
	s := now.Unix()
	if s-a.last >= periodSeconds {
		a.used = [periodSeconds]float64{}
		a.last = s
	}
	for a.last < s {
		a.last++
		a.used[a.last%periodSeconds] = 0
	}
}
