package issuer

import (
	"maps"
	"time"
)

// Holding is what an Issuer has and what daemons may hold of it.
type Holding struct {
	// Shares are the largest shares that daemons may hold now, also those of daemons
	// which this holder hasn't heard, and Unheard is the sum of the latter.
	Shares  map[string]float64
	Unheard float64
	// Levels are what can be granted at once, by account.
	Levels map[string]float64
}

// Holding returns the present state.
func (i *Issuer) Holding(now time.Time) Holding {
	i.fill(now)
	h := Holding{Shares: map[string]float64{}, Unheard: i.unheardShares(now), Levels: make(map[string]float64, len(i.accounts))}
	if h.Unheard > 0 {
		maps.Copy(h.Shares, i.former)
	}
	for _, d := range i.daemons {
		h.Shares[d.host] = d.share
	}
	for name, a := range i.accounts {
		h.Levels[name] = a.level
	}
	return h
}
