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

// appendTimeout bounds a record of ownership, which is tried again later.
const appendTimeout = 3 * time.Second

// plan is what reconcile does about one upstream.
type plan struct {
	record   record.Record
	upstream string
}

// roster is what is known about the daemons at one time. It is taken before
// the ledger is viewed, because the gossip's lock goes before the ledger's.
type roster struct {
	live map[string][]string // by failure domain, "" for all
	dead map[string]bool
}

func (o *Owner) roster() roster {
	r := roster{live: map[string][]string{}, dead: map[string]bool{}}
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

// signature changes with the set of live daemons.
func (r roster) signature() uint64 {
	var sum uint64
	for domain, names := range r.live {
		for _, n := range names {
			sum ^= hrw.Score(domain, n)
		}
	}
	return sum
}

// eachEngine calls fn for the upstreams that load models.
func eachEngine(l *ctrl.State, fn func(d *declare.Upstream)) {
	x := l.Config()
	for i := range x.Deployment.Upstreams {
		d := &x.Deployment.Upstreams[i]
		if s := x.Service(d.Service); s != nil && s.Kind == declare.ModelService {
			fn(d)
		}
	}
}

// assignments returns the assigned daemon of each upstream: the live daemons of
// its failure domain share the upstreams evenly by rendezvous hash, and all live
// daemons those of a domain without any. An even share keeps each daemon's
// polls of engines within its control traffic. It keeps the result while neither the live daemons nor the configuration change, because
// hashing all upstreams over all daemons twice a second costs more than all
// other work of an Owner; o.mu is held.
func (o *Owner) assignments(r roster, l *ctrl.State) map[string]string {
	key := assignmentKey{daemons: r.signature(), version: l.Version()}
	if o.assigned == nil || o.assignedFor != key {
		o.assigned, o.assignedFor = map[string]string{}, key
		byDomain := map[string][]string{}
		eachEngine(l, func(u *declare.Upstream) {
			byDomain[u.FailureDomain] = append(byDomain[u.FailureDomain], u.Name)
		})
		for domain, ups := range byDomain {
			live := r.live[domain]
			if len(live) == 0 {
				live = r.live[""]
			}
			sort.Strings(ups)
			maps.Copy(o.assigned, hrw.AssignBounded(ups, live))
		}
	}
	return o.assigned
}

// reconcile takes, hands over and acknowledges ownerships.
func (o *Owner) reconcile(ctx context.Context, now time.Time) {
	_, ready, logUp := o.ctl.Status()
	if !ready || !logUp {
		return
	}
	for _, p := range o.plans(now) {
		c, cancel := context.WithTimeout(ctx, appendTimeout)
		out, err := o.ctl.Append(c, p.record)
		cancel()
		if err != nil {
			event.OwnershipAppendFailed.Log("upstream", p.upstream, "record", record.TypeOf(p.record), "err", err)
			return
		}
		if out.Reason != ctrl.Accepted {
			event.OwnershipRefused.Log("upstream", p.upstream, "reason", string(out.Reason), "detail", out.Detail)
		}
	}
}

// plans returns the records that reconcile appends.
func (o *Owner) plans(now time.Time) []plan {
	ros := o.roster()
	var out []plan
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctl.View(func(l *ctrl.State) {
		assigned := o.assignments(ros, l)
		eachEngine(l, func(d *declare.Upstream) {
			out = append(out, o.planFor(now, l, d, ros, assigned[d.Name])...)
		})
	})
	return out
}

// planFor decides about one upstream; o.mu is held.
func (o *Owner) planFor(now time.Time, l *ctrl.State, d *declare.Upstream, ros roster, assigned string) []plan {
	var out []plan
	own, has := l.Owner(d.Name)
	u := o.unit(d.Name)
	for _, f := range l.FormerOwners(d.Name) {
		mine := f.Daemon == o.set.Self && u.quiet()
		if mine || o.replaced(f.Daemon) {
			out = append(out, plan{upstream: d.Name, record: record.AcknowledgeLoss{Upstream: d.Name, Daemon: f.Daemon, Epoch: f.Epoch}})
		}
	}
	mine := has && own.Daemon == o.set.Self && !own.Resigned
	u.resigning = u.resigning && mine
	switch {
	case mine && (o.leaving || u.resigning || o.handOver(now, u, assigned)):
		if u.quiet() {
			u.misplaced, u.resigning = time.Time{}, true
			out = append(out, plan{upstream: d.Name, record: record.AcknowledgeLoss{Upstream: d.Name, Daemon: o.set.Self, Epoch: own.Epoch}})
		}
	case mine || o.leaving || assigned != o.set.Self:
	case !has || own.Resigned, o.replaced(own.Daemon), o.gone(now, own.Daemon, ros):
		out = append(out, plan{upstream: d.Name, record: record.TakeOwnership{Upstream: d.Name, Daemon: o.set.Self, Previous: own.Epoch}})
	}
	return out
}

// quiet reports whether no order of this daemon is in flight or may still be
// executed, so that the loss of ownership can be acknowledged; o.mu is held.
func (u *unit) quiet() bool { return u.inFlight == 0 && len(u.unsure) == 0 }

// handOver reports whether another daemon has been assigned for long enough.
func (o *Owner) handOver(now time.Time, u *unit, assigned string) bool {
	if assigned == o.set.Self || assigned == "" {
		u.misplaced = time.Time{}
		return false
	}
	if u.misplaced.IsZero() {
		u.misplaced = now
	}
	return now.Sub(u.misplaced) >= o.set.RebalanceAfter
}

// replaced reports whether daemon is an earlier process on this host. This
// process listens on the host's fixed peer address, so the earlier one has
// ended and sends no more orders.
func (o *Owner) replaced(daemon string) bool {
	return o.set.FixedPort && daemon != o.set.Self && ctrl.HostOf(daemon) == ctrl.HostOf(o.set.Self)
}

// gone reports whether an owner counts as dead. A daemon that was never heard
// of counts as dead only some time after the start of this one.
func (o *Owner) gone(now time.Time, daemon string, ros roster) bool {
	if slices.Contains(ros.live[""], daemon) {
		return false
	}
	return ros.dead[daemon] || now.Sub(o.started) >= o.set.Settle
}
