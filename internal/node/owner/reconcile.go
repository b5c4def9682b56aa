package owner

import (
	"context"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/hrw"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/record"
)

// ownershipAppendTimeout bounds the append of an ownership record. A failed one
// is appended again by a later reconcile.
const ownershipAppendTimeout = 3 * time.Second

// ownershipChange is a record that changes the ownership of one upstream.
type ownershipChange struct {
	record   record.Record
	upstream string
}

// liveness is a snapshot of the live and dead daemons. It is taken before the
// control state is viewed, because the gossip's lock must be acquired before
// the control state's.
type liveness struct {
	live map[string][]string // by failure domain, "" for all
	dead map[string]bool
}

// liveness returns the daemons that gossip knows as live or dead.
func (o *Owner) liveness() liveness {
	r := liveness{live: map[string][]string{}, dead: map[string]bool{}}
	o.facts.Do(func(m *member.Set) {
		m.Each(member.Daemon, func(f member.Fact) {
			if f.Status == member.Dead {
				r.dead[f.Name] = true
			}
			if f.Status < member.Leaving {
				r.live[f.Domain] = append(r.live[f.Domain], f.Name)
				r.live[""] = append(r.live[""], f.Name)
			}
		})
	})
	return r
}

// signature returns a hash of the set of live daemons, independent of their
// order.
func (r liveness) signature() uint64 {
	var sum uint64
	for domain, names := range r.live {
		for _, n := range names {
			sum ^= hrw.Score(domain, n)
		}
	}
	return sum
}

// eachEngine calls fn for the upstreams that load models.
func eachEngine(state *ctrl.State, fn func(d *declare.Upstream)) {
	x := state.Config()
	for i := range x.Deployment.Upstreams {
		d := &x.Deployment.Upstreams[i]
		if s := x.Service(d.Service); s != nil && s.Kind == declare.ModelService {
			fn(d)
		}
	}
}

// assignments returns the assigned daemon of each upstream. The live daemons of
// a failure domain share its upstreams evenly by rendezvous hash; the upstreams
// of a domain without live daemons are shared by all live daemons. An even share
// keeps each daemon's polls of engines within its limit on control traffic.
//
// The result is cached until the live daemons or the configuration change,
// because hashing all upstreams over all daemons twice a second costs more than
// all other work of an Owner. o.mu must be held.
func (o *Owner) assignments(r liveness, state *ctrl.State) map[string]string {
	key := assignmentKey{daemons: r.signature(), version: state.Version()}
	if o.assigned == nil || o.assignedKey != key {
		o.assigned, o.assignedKey = map[string]string{}, key
		byDomain := map[string][]string{}
		eachEngine(state, func(u *declare.Upstream) {
			byDomain[u.FailureDomain] = append(byDomain[u.FailureDomain], u.Name)
		})
		for domain, names := range byDomain {
			live := r.live[domain]
			if len(live) == 0 {
				live = r.live[""]
			}
			sort.Strings(names)
			maps.Copy(o.assigned, hrw.AssignBounded(names, live))
		}
	}
	return o.assigned
}

// reconcile takes, hands over and acknowledges ownerships. It does nothing while
// the log is unreachable or the control stream has not been read to its end.
func (o *Owner) reconcile(ctx context.Context, now time.Time) {
	_, ready, logUp := o.control.Status()
	if !ready || !logUp {
		return
	}
	for _, change := range o.ownershipChanges(now) {
		c, cancel := context.WithTimeout(ctx, ownershipAppendTimeout)
		out, err := o.control.Append(c, change.record)
		cancel()
		if err != nil {
			event.OwnershipAppendFailed.Log("upstream", change.upstream, "record", record.TypeOf(change.record), "err", err)
			return
		}
		if out.Reason != ctrl.Accepted {
			event.OwnershipRefused.Log("upstream", change.upstream, "reason", string(out.Reason), "detail", out.Detail)
		}
	}
}

// ownershipChanges returns the records that reconcile has to append at now.
func (o *Owner) ownershipChanges(now time.Time) []ownershipChange {
	daemons := o.liveness()
	var out []ownershipChange
	o.mu.Lock()
	defer o.mu.Unlock()
	o.control.View(func(state *ctrl.State) {
		assigned := o.assignments(daemons, state)
		eachEngine(state, func(d *declare.Upstream) {
			out = append(out, o.changesFor(now, state, d, daemons, assigned[d.Name])...)
		})
	})
	return out
}

// changesFor returns the ownership changes of one upstream. o.mu must be held.
func (o *Owner) changesFor(now time.Time, state *ctrl.State, d *declare.Upstream, daemons liveness, assigned string) []ownershipChange {
	var out []ownershipChange
	own, has := state.Owner(d.Name)
	u := o.upstream(d.Name)
	for _, f := range state.FormerOwners(d.Name) {
		ownLoss := f.Daemon == o.settings.Self && u.noPendingOrders()
		if ownLoss || o.replacedOnHost(f.Daemon) {
			out = append(out, ownershipChange{upstream: d.Name, record: record.AcknowledgeLoss{Upstream: d.Name, Daemon: f.Daemon, Epoch: f.Epoch}})
		}
	}
	owned := has && own.Daemon == o.settings.Self && !own.Resigned
	u.resigning = u.resigning && owned
	switch {
	case owned && (o.leaving || u.resigning || o.handOverDue(now, u, assigned)):
		if u.noPendingOrders() {
			u.reassignedSince, u.resigning = time.Time{}, true
			out = append(out, ownershipChange{upstream: d.Name, record: record.AcknowledgeLoss{Upstream: d.Name, Daemon: o.settings.Self, Epoch: own.Epoch}})
		}
	case owned || o.leaving || assigned != o.settings.Self:
	case !has || own.Resigned, o.replacedOnHost(own.Daemon), o.presumedDead(now, own.Daemon, daemons):
		out = append(out, ownershipChange{upstream: d.Name, record: record.TakeOwnership{Upstream: d.Name, Daemon: o.settings.Self, Previous: own.Epoch}})
	}
	return out
}

// noPendingOrders reports whether no order of this daemon is in flight or may
// still be executed, so that the loss of ownership can be acknowledged.
// Owner.mu must be held.
func (u *upstreamState) noPendingOrders() bool { return u.inFlight == 0 && len(u.unansweredLoads) == 0 }

// handOverDue reports whether another daemon has been assigned for
// RebalanceAfter. o.mu must be held.
func (o *Owner) handOverDue(now time.Time, u *upstreamState, assigned string) bool {
	if assigned == o.settings.Self || assigned == "" {
		u.reassignedSince = time.Time{}
		return false
	}
	if u.reassignedSince.IsZero() {
		u.reassignedSince = now
	}
	return now.Sub(u.reassignedSince) >= o.settings.RebalanceAfter
}

// replacedOnHost reports whether daemon is an earlier process on this host.
// This process listens on the host's fixed peer address, so the earlier one has
// ended and sends no more orders.
func (o *Owner) replacedOnHost(daemon string) bool {
	return o.settings.FixedPort && daemon != o.settings.Self && ctrl.HostOf(daemon) == ctrl.HostOf(o.settings.Self)
}

// presumedDead reports whether an owner counts as dead. A daemon that is known
// neither as live nor as dead counts as dead UnknownOwnerDelay after the start
// of this one.
func (o *Owner) presumedDead(now time.Time, daemon string, daemons liveness) bool {
	if slices.Contains(daemons.live[""], daemon) {
		return false
	}
	return daemons.dead[daemon] || now.Sub(o.startedAt) >= o.settings.UnknownOwnerDelay
}
