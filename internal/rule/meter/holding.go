package meter

import "time"

// Holding is what a daemon has of an account's allowance.
type Holding struct {
	// Share is the daemon's share, Reserve what it may use without a question, and
	// Granted what the holder has granted for requests and is still valid.
	Share, Reserve, Granted float64
	// DeniedFor is the time for which the holder can't grant more.
	DeniedFor time.Duration
}

// Holding returns what the daemon has of an account's allowance, zeros if the account
// has no bound.
func (m *Meter) Holding(now time.Time, name string) Holding {
	m.advance(now)
	a := m.accounts[name]
	if a == nil {
		return Holding{}
	}
	h := Holding{Share: m.share, Reserve: a.reserve, DeniedFor: m.DeniedFor(now, name)}
	for _, l := range a.lots {
		if now.Before(l.until) {
			h.Granted += l.amount
		}
	}
	return h
}
