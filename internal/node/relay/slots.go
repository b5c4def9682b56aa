package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// unmetRequest is a request for a key that was refused for want of slots, and would have
// waited until a time.
type unmetRequest struct {
	key   fleet.Key
	until time.Time
}

const (
	// maxAsks bounds the requests for which a report asks for slots, and maxAskEngines
	// the engines named for each key: more than a daemon is granted until its next
	// report, and 8 KB.
	maxAsks       = 64
	maxAskEngines = 16
	// grantMargin is the time before the last moment at which a request is sent on time
	// from which it counts as late: a grant takes some 30 ms to its daemon, and the
	// request some ms to the engine.
	grantMargin = 50 * time.Millisecond
	// sendMargin is the same once the grant has come.
	sendMargin = 10 * time.Millisecond
	// noSlotReason is the refusal reason of a request that can't be served by the
	// contended engines that could run it.
	noSlotReason = "no-slot-in-time"
	// minSlotRetry is the least Retry-After of such a request: another copy of its model
	// is loaded in some 0.3 to 0.8 s if an engine has the weights.
	minSlotRetry = 500 * time.Millisecond
	// begunSlack is the slack that the rest of a stream has at all times: it goes before
	// nearly all others, since what it has brought would be lost, and never counts as late.
	begunSlack = 100 * time.Millisecond
)

// applySlots applies what the holder says of the slots of engines. r.mu must be held.
func (r *Relay) applySlots(now time.Time, reply *hub.WatchReply) {
	before := r.permits.Count()
	word := reply.Slots
	if word == nil && reply.Daemons > 0 {
		// The loads were asked for, so the holder is of an earlier build.
		word = &fleet.SlotWord{}
	}
	r.permits.Word(now, word, reply.Daemons)
	if n := r.permits.Count(); n != before {
		r.metrics.ContendedEngines.Set(float64(n))
	}
	r.permits.Grant(now, reply.Fence, reply.Grants)
	r.metrics.SlotGrants.Add(float64(len(reply.Grants)))
}

// addAsks adds to d what this daemon asks of contended engines. r.mu must be held.
func (r *Relay) addAsks(now time.Time, d *fleet.Demand) {
	r.permits.TakeReport(d)
	if alone := r.permits.IsAlone(now); alone != r.alone {
		r.alone = alone
		event.SlotContact.Log("contact", !alone, "contended", r.permits.Count(), "waiting", r.queue.Len())
	}
	if r.permits.Count() == 0 || len(r.waiters) == 0 {
		return
	}
	waiting := make([]*waiter, 0, len(r.waiters))
	for _, w := range r.waiters {
		if !w.held {
			waiting = append(waiting, w)
		}
	}
	slices.SortFunc(waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.item.AccountRank, b.item.AccountRank), cmp.Compare(a.item.Rank, b.item.Rank), a.target.Compare(b.target), cmp.Compare(a.item.ID, b.item.ID))
	})
	asks := map[fleet.Key]int{}
	for i, w := range waiting {
		if i == maxAsks {
			break
		}
		n, known := asks[w.query.Key]
		if !known {
			n = -1
			if engines := r.table.Contended(now, w.query, maxAskEngines); len(engines) > 0 {
				n = len(d.Asks)
				d.Asks = append(d.Asks, fleet.SlotAsk{Key: w.query.Key, Engines: engines})
			}
			asks[w.query.Key] = n
		}
		if n >= 0 {
			a := &d.Asks[n]
			a.Requests = append(a.Requests, w.slotRequest(now, r.permits.FirstByte(a.Engines[0])))
		}
	}
}

// addUnmet adds to d.Waiting the requests that were refused at once, which tell the planner
// what copies are lacking as those do that wait. r.mu must be held.
func (r *Relay) addUnmet(now time.Time, d *fleet.Demand) {
	r.unmet = slices.DeleteFunc(r.unmet, func(u unmetRequest) bool {
		if !now.Before(u.until) {
			return true
		}
		d.Waiting[u.key]++
		return false
	})
}

// slotRequest returns what the holder needs to know of a waiting request if its first event
// takes the given time.
func (w *waiter) slotRequest(now time.Time, firstEvent time.Duration) fleet.SlotRequest {
	if w.begun {
		return fleet.SlotRequest{AccountRank: w.item.AccountRank, Rank: w.item.Rank, Slack: begunSlack, Within: maxResumePause, Left: w.item.LatestStart.Sub(now)}
	}
	onTime := w.target.Add(-max(firstEvent, minServiceTime) - grantMargin)
	return fleet.SlotRequest{
		ID: w.item.ID, AccountRank: w.item.AccountRank, Rank: w.item.Rank, Slack: onTime.Sub(now), Within: onTime.Sub(w.arrived), Left: w.item.LatestStart.Sub(now),
	}
}

// refuseHopeless ends the wait of requests that can't be served by the holder's word. r.mu
// must be held.
func (r *Relay) refuseHopeless(refused []fleet.SlotRefusal) {
	for _, f := range refused {
		w := r.waiters[f.ID]
		if w == nil || w.held || w.begun || w.refused || r.isLoadedFor(w) {
			continue
		}
		w.refused = true
		w.hopeless <- f.In
		if len(r.unmet) < maxWaiting {
			r.unmet = append(r.unmet, unmetRequest{w.query.Key, w.item.LatestStart})
		}
	}
}

// isLoadedFor reports whether a load in progress ends in time for a waiting request: the holder
// judges by the engines that have its model. r.mu must be held.
func (r *Relay) isLoadedFor(w *waiter) bool {
	k := fleet.Key{Service: w.query.Key.Service, Model: w.query.Key.Model}
	end, ok := r.pendingLoads[k]
	if w.query.Version != nil {
		end, ok = r.boundLoads[fleet.VersionKey{Key: k, Version: *w.query.Version}]
	}
	return ok && end.Before(w.item.LatestStart)
}

// refuseHopeless sets the refusal of a request that can't be served. It could be in the given
// time, if that isn't 0. Callers are spread over the time that they would wait.
func (x *exchange) refuseHopeless(resp *refusal, in time.Duration) {
	if x.possibleRuns > 0 {
		return
	}
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	resp.reason = noSlotReason
	least := max(in, minSlotRetry)
	most := max(x.deadline.Sub(r.now())/maxRetryDivisor, least*5/4)
	resp.retryAfter = least + time.Duration(r.rng.Int64N(int64(most-least)))
}

// slotStart returns when a request must be sent to a contended engine to be on time. It goes
// by what the engine's quickest answer took, as its asks do, so that a grant goes to the
// request that it is for. ok is false if no engine that could run it is contended.
func (x *exchange) slotStart() (onTime time.Time, ok bool) {
	r := x.relay
	engines := r.table.Contended(r.now(), &x.query, 1)
	if len(engines) == 0 || x.headerSent {
		return onTime, false
	}
	return x.arrived.Add(x.route.LatencyTarget - max(r.permits.FirstByte(engines[0]), minServiceTime) - sendMargin), true
}

// reportEnd reports the end of a request at once if the engine's slots are granted. r.mu must
// be held.
func (r *Relay) reportEnd(up fleet.Upstream) {
	if r.permits.IsContended(up.ID) {
		r.requestReport()
	}
}
