package loader

import (
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// assignTrials returns the trials that a daemon may run; nil for one that reports none. The
// caller holds l.mu.
func (l *Loader) assignTrials(now time.Time, a *hub.TellArgs) *fleet.TrialReply {
	reply := l.trials.Report(now, a.Host, a.Demand.Trials)
	for _, c := range l.trials.TakeChanges() {
		event.SuspectContested.Log("attribute", c.Key, "contested", c.Contested, "runs", c.Runs, "daemons", c.Daemons, "by", a.Host, "fence", l.fence)
	}
	if reply != nil && len(reply.Assigned) > 0 {
		event.TrialAssigned.Log("host", a.Host, "attributes", strings.Join(reply.Assigned, ","), "waiting", l.trials.Waiting(), "fence", l.fence)
	}
	return reply
}

// isCleared reports whether all crashes of a key are known to have been cleared.
func (l *Loader) isCleared(key string) bool {
	e := l.crashes.Entry(key)
	return len(e.Crashes) == 0 && len(e.Cleared) > 0
}
