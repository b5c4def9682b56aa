package relay

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// countLimited counts a request that is sent to an upstream with a rate limit.
func (r *Relay) countLimited(up fleet.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limits.Limited(up) {
		r.metrics.LimitedSends.Inc()
	}
}

// ApplyTellReply applies the holder's reply to a report.
func (r *Relay) ApplyTellReply(now time.Time, reply *hub.TellReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.Allowance != nil {
		r.meter.Apply(r.boot(), reply.Allowance)
		r.delegates = reply.Delegates
		r.serveMetered()
	}
	if reply.Deals {
		r.lastDeal = now
	}
	r.trials.Apply(now, reply.Trials)
	r.reviewAllTrials(now)
	r.limits.Grant(now, reply.Permits)
	r.permits.Grant(now, reply.Fence, reply.Grants)
	r.metrics.SlotGrants.Add(float64(len(reply.Grants)))
	r.refuseHopeless(reply.Refused)
	r.dispatch(now)
}

// addPermits adds to d the permits that queued requests wait for. r.mu must be held.
func (r *Relay) addPermits(now time.Time, d *fleet.Demand) {
	for _, w := range r.waiters {
		id := w.query.Limited
		if id == "" || w.held {
			continue
		}
		if d.Permits == nil {
			d.Permits = map[string]int{}
		}
		d.Permits[id]++
		if now.Sub(w.since) > limitedWait && !slices.Contains(d.Unreachable, id) {
			d.Unreachable = append(d.Unreachable, id)
		}
	}
	for id := range d.Permits {
		d.Permits[id] = max(d.Permits[id]-r.limits.Permits(now, id), 0)
	}
}
