package deleg

import (
	"cmp"
	"slices"

	"github.com/azurespan/azurespan/internal/core/hrw"
)

type (
	// Candidate is a daemon in contact with the holder.
	Candidate struct {
		Host, FailureDomain string
		// Address is the IP:port of the daemon's own calls, empty if it has none.
		Address string
	}

	// Delegates are those of one holder. It is not safe for concurrent use.
	Delegates struct {
		holder  string
		present []Candidate
	}
)

const (
	// minDaemons is the number of daemons in contact from which there are delegates. With
	// fewer, a share of each daemon holds a usual request (docs/platform.md), and no
	// question is needed.
	minDaemons = 8
	// maxDelegates is the number of delegates. Each further one makes the largest request
	// that one of them can lend for smaller.
	maxDelegates = 2
)

// New returns the Delegates of the holder with a host name.
func New(holder string) *Delegates { return &Delegates{holder: holder} }

// Choose returns the delegates among the daemons in contact, which include the holder. Those
// that are present stay as long as they are in contact. There are none in a small fleet.
func (d *Delegates) Choose(daemons []Candidate) []Candidate {
	if len(daemons) < minDaemons {
		d.present = nil
		return nil
	}
	var own string
	for _, c := range daemons {
		if c.Host == d.holder {
			own = c.FailureDomain
		}
	}
	kept := slices.DeleteFunc(slices.Clone(d.present), func(p Candidate) bool { return !slices.Contains(daemons, p) })
	rest := slices.DeleteFunc(slices.Clone(daemons), func(c Candidate) bool {
		return c.Host == d.holder || c.Address == "" || slices.Contains(kept, c)
	})
	slices.SortFunc(rest, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(hrw.Score(d.holder, b.Host), hrw.Score(d.holder, a.Host)), cmp.Compare(a.Host, b.Host))
	})
	// A deployment with fewer failure domains has several delegates in one.
	for _, fits := range []func(Candidate) bool{
		func(c Candidate) bool { return c.FailureDomain != own && !inDomain(kept, c.FailureDomain) },
		func(c Candidate) bool { return c.FailureDomain != own },
		func(Candidate) bool { return true },
	} {
		for _, c := range rest {
			if len(kept) < maxDelegates && !slices.Contains(kept, c) && fits(c) {
				kept = append(kept, c)
			}
		}
	}
	d.present = kept
	return slices.Clone(kept)
}

func inDomain(list []Candidate, domain string) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.FailureDomain == domain })
}
