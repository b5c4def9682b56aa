package loader

import (
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// answerAllowance answers a daemon's question for allowances, with nil if there is none
// or if the tenure is over. The caller holds l.mu.
func (l *Loader) answerAllowance(a *hub.TellArgs) *fleet.AllowanceReply {
	q := &a.Demand.Allowance
	if q.ID == 0 || !l.issues() {
		return nil
	}
	return l.issuer.Answer(l.boot(), a.Host, q)
}

// issues reports whether the issuer is that of the present tenure. After a suspension,
// the tenure may be over although step hasn't noticed. The caller holds l.mu.
func (l *Loader) issues() bool {
	fence, holds := l.elector.Holds()
	return l.active && l.issuer != nil && holds && fence == l.fence
}

// ShareHolders returns the daemons that may hold shares of allowances, for the holder's
// record; nil if they are unknown.
func (l *Loader) ShareHolders() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.issues() {
		return l.issuer.Holders(l.boot())
	}
	return l.formerHolders
}

// SetShareHolders takes over those of the newest record, which is another tenure's.
func (l *Loader) SetShareHolders(hosts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.formerHolders = hosts
}

// RecordingShares states that a record with these daemons is being written.
func (l *Loader) RecordingShares(hosts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.issuer != nil {
		l.issuer.Recording(hosts)
	}
}

// SharesRecorded states that the newest record has these daemons.
func (l *Loader) SharesRecorded(hosts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.issuer != nil {
		l.issuer.Recorded(hosts)
	}
}
