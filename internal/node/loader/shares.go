package loader

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/rule/deleg"
	"github.com/azurespan/azurespan/internal/rule/issuer"
)

// delegatesInterval is the interval at which the delegates are chosen: each goes over all
// daemons.
const delegatesInterval = time.Second

// answerAllowance answers a daemon's question for allowances, with nil if there is none
// or if the tenure is over. The caller holds l.mu.
func (l *Loader) answerAllowance(now time.Time, a *hub.TellArgs) *fleet.AllowanceReply {
	q := &a.Demand.Allowance
	if q.ID == 0 || !l.issues() {
		return nil
	}
	l.chooseDelegates(now)
	return l.issuer.Answer(l.boot(), a.Host, q)
}

// chooseDelegates chooses the daemons that hold shares of the allowances for all others. The
// caller holds l.mu.
func (l *Loader) chooseDelegates(now time.Time) {
	if now.Sub(l.delegatesAt) < delegatesInterval {
		return
	}
	l.delegatesAt = now
	daemons := make([]deleg.Candidate, 0, len(l.daemons))
	for host, d := range l.daemons {
		if now.Sub(d.at) <= daemonTTL && !d.path.CutOff {
			daemons = append(daemons, deleg.Candidate{Host: host, FailureDomain: d.path.FailureDomain, Address: d.address})
		}
	}
	l.lenders = l.delegates.Choose(daemons)
	hosts := make([]string, 0, len(l.lenders))
	for _, c := range l.lenders {
		hosts = append(hosts, c.Host)
	}
	slices.Sort(hosts)
	l.issuer.SetDelegates(hosts)
}

// delegatesFor returns the addresses of the delegates for a daemon, those in its own failure
// domain first. The caller holds l.mu.
func (l *Loader) delegatesFor(host string) (addresses []string) {
	own := l.daemons[host].path.FailureDomain
	for _, near := range []bool{true, false} {
		for _, c := range l.lenders {
			if c.Host != host && (c.FailureDomain == own) == near {
				addresses = append(addresses, c.Address)
			}
		}
	}
	return addresses
}

// issues reports whether the issuer is that of the present tenure. After a suspension,
// the tenure may be over although step hasn't noticed. The caller holds l.mu.
func (l *Loader) issues() bool {
	return l.issuer != nil && l.isHolder()
}

// Shares returns the largest share of allowances that each daemon may hold, for the holder's
// record; nil if that is unknown.
func (l *Loader) Shares() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.issues() {
		shares := l.issuer.Shares(l.boot())
		l.issuer.Recording(shares)
		return shares
	}
	return l.formerShares
}

// SetShares takes over those of the newest record, which is another tenure's.
func (l *Loader) SetShares(shares map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.formerShares = shares
}

// SharesRecorded states that this daemon has written the newest record, with these
// shares.
func (l *Loader) SharesRecorded(shares map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A later tenure of this daemon may begin without reading its own record.
	l.formerShares = shares
	if l.issuer != nil {
		l.issuer.Recorded(shares)
	}
}

// Allowances returns what this daemon grants of the accounts' allowances, and whether it
// is the holder that does so.
func (l *Loader) Allowances() (issuer.Holding, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.issues() {
		return issuer.Holding{}, false
	}
	return l.issuer.Holding(l.boot()), true
}
