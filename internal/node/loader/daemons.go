package loader

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/loads"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/logjob"
	"github.com/azurespan/azurespan/internal/node/syncer"
	"github.com/azurespan/azurespan/internal/rule/spread"
)

// Tell records a daemon's report.
func (l *Loader) Tell(now time.Time, a *hub.TellArgs) (*hub.TellReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isHolder() {
		return nil, &hub.NotHolderError{Host: l.host}
	}
	l.planner.RecordDemand(now, a.Host, a.Demand)
	p, running := &daemonState{at: now, path: a.Path}, make(map[string]int, len(a.Demand.Running))
	for id, byKey := range a.Demand.Running {
		for _, n := range byKey {
			running[id] += n
		}
	}
	l.loads.Report(now, a.Host, running)
	grants, refused := l.grantSlots(now, a, running)
	if former := l.daemons[a.Host]; former != nil {
		p.forwarders, p.address = former.forwarders, former.address
	}
	l.daemons[a.Host] = p
	l.mergeCrashes(now, a)
	if !a.KeepsVersions {
		l.opener.Unsure(l.boot())
	}
	if a.Host != l.host {
		l.origins.Learn(now, a.Streams)
		l.origins.Learn(now, origin.Streams(a.Groups))
	}
	if l.dealer.Learn(now, a.Demand.Limits) {
		l.limitsRev++
		event.UpstreamLimit.Log("limited", l.dealer.Count(), "source", a.Host, "fence", l.fence)
		l.notifyWatchers()
	}
	l.wake()
	return &hub.TellReply{Fence: l.fence, Deals: true, ReadsGroups: true, Permits: l.dealer.Deal(now, a.Demand.Permits, len(a.Demand.Arrivals) > 0), Allowance: l.answerAllowance(now, a), Delegates: l.delegatesFor(a.Host), Forwarders: l.forwardersFor(now, a), Trials: l.assignTrials(now, a), Grants: grants, Refused: refused}, nil
}

// mergeCrashes merges the crash histories of a daemon's report, and notifies the
// other daemons of changes. The caller holds l.mu.
func (l *Loader) mergeCrashes(now time.Time, a *hub.TellArgs) {
	l.merger.Merge(now, a.Table, a.Crashes, event.CrashReported, "host", a.Host)
	l.clear(a)
	if rev := l.crashes.SharedRev(); rev != l.crashRev {
		l.crashRev = rev
		l.notifyWatchers()
	}
}

// clear clears the histories of a report that doesn't say which crashes are cleared. The
// caller holds l.mu.
func (l *Loader) clear(a *hub.TellArgs) {
	if len(a.Cleared) == 0 {
		return
	}
	stated := make(map[string]bool, len(a.Crashes))
	for _, e := range a.Crashes {
		stated[e.Fingerprint] = true
	}
	for _, fp := range a.Cleared {
		if !stated[fp] {
			l.crashes.Clear(fp)
		}
	}
}

// Watch returns the changes since a revision once there are any, or a reply
// without changes when ctx ends.
func (l *Loader) Watch(ctx context.Context, a *hub.WatchArgs) (*hub.WatchReply, error) {
	received := l.now()
	granted := l.grantSignal(a.Host)
	for {
		// A change from here on ends the wait below.
		l.mu.Lock()
		changed := l.changed
		l.mu.Unlock()
		r, err := l.currentReply(a, received, ctx.Err() != nil)
		if r != nil || err != nil {
			return r, err
		}
		select {
		case <-changed:
		case <-granted:
		case <-ctx.Done():
		}
	}
}

// currentReply returns the reply to a daemon whose question was received at a time, nil
// if nothing has changed unless always is set.
func (l *Loader) currentReply(a *hub.WatchArgs, received time.Time, always bool) (*hub.WatchReply, error) {
	now := l.now()
	register, config := l.topicUpdates(now, a)
	crashes, crashesAt := l.crashes.SinceFor(a.Crashes, false, a.Table)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isHolder() {
		return nil, &hub.NotHolderError{Host: l.host}
	}
	if d := l.daemons[a.Host]; d != nil {
		d.address = a.Address
	}
	since := a.Rev
	if a.Fence != l.fence {
		since = 0
	} else if a.Keeps && a.Address != "" {
		l.spreader.Has(now, a.Address)
	}
	r := l.changedInventory(now, a, since)
	packed := l.packedRegister(now, register)
	sources, defers := l.spreadState(now, a, r, packed)
	if defers {
		if len(sources) == 0 && !always {
			return nil, nil
		}
		if since == 0 {
			r = l.newReply(now, a, nil, 0)
		}
		if packed != nil {
			register = nil
		}
	}
	var job *logjob.Job
	if a.Host != l.host {
		job = l.jobs.Take(a.Host)
	}
	// A daemon that states no position gets the histories with its next reply.
	newCrashes := len(crashes) > 0 && a.Crashes != poison.Cursor{}
	newLimits := l.limitsRev > a.LimitsRev
	l.opener.Heard(l.boot(), a.Host, knownState(a, l.fence))
	newState := knownState(a, l.fence) != l.stateRev
	if r == nil && (always || defers || job != nil || newCrashes || newLimits || newState || l.hasSlotNews(a) || hasTopicUpdates(a, register, config)) {
		r = l.newReply(now, a, nil, since)
	}
	if r == nil {
		return nil, nil
	}
	r.Held, r.Job, r.Register, r.Config = now.Sub(received), job, register, config
	r.Sources, r.SourceRegister = sources, packed != nil && len(sources) > 0
	r.Crashes, r.CrashesAt = crashes, crashesAt
	r.Limits, r.LimitsRev = l.dealer.Limits(now), l.limitsRev
	l.answerVersions(a, r)
	l.answerSlots(now, a, r)
	if register != nil && packed != nil {
		r.Register, r.WholeRegister, r.WholeAge = nil, packed.packed, now.Sub(packed.at)
	}
	return r, nil
}

// spreadState decides from whom a daemon gets the complete state that it needs: the
// contents of all engines in r, the whole register, or both. If defers is set, it isn't sent
// with this reply, and sources are the daemons that have it. The caller holds l.mu.
func (l *Loader) spreadState(now time.Time, a *hub.WatchArgs, r *hub.WatchReply, register *packCache[*roster.Update]) (sources []string, defers bool) {
	size := 0
	if r != nil {
		size += len(r.AllCopies)
	}
	if register != nil {
		size += len(register.packed)
	}
	if size == 0 {
		return nil, false
	}
	send, sources := l.spreader.Choose(now, a.Address, size)
	return sources, !send
}

// hasTopicUpdates reports whether a reply must be sent at once because of the
// log's topics. An update of leaving upstreams alone goes with the next reply: the daemon
// can't tell that it knows it.
func hasTopicUpdates(a *hub.WatchArgs, register *roster.Update, config *hub.TopicState) bool {
	return register != nil && !register.LeavingOnly && (register.Full || len(register.Put)+len(register.Gone) > 0) || config != nil && config.AsOf > a.Config
}

// changedInventory returns the reply with the inventories that have changed since
// a revision, nil if there are none. The caller holds l.mu.
func (l *Loader) changedInventory(now time.Time, a *hub.WatchArgs, since uint64) *hub.WatchReply {
	all := since == 0 && a.Host != l.host
	if p := &l.packedInventory; all && p.packed != nil && p.fence == l.fence && now.Sub(p.at) <= packedTTL {
		return l.fullReply(now, a)
	}
	copies, rev := l.planner.CopiesSince(now, since)
	if len(copies) == 0 {
		return nil
	}
	if all {
		b, err := hub.Pack(copies)
		if err == nil {
			l.packedInventory = packCache[[]fleet.Inventory]{b, now, l.fence, rev}
			return l.fullReply(now, a)
		}
		event.BulkEncodeFailed.Log("of", "copies", "cause", err.Error())
	}
	return l.newReply(now, a, copies, rev)
}

// fullReply returns the reply with all inventories. The caller holds l.mu.
func (l *Loader) fullReply(now time.Time, a *hub.WatchArgs) *hub.WatchReply {
	r := l.newReply(now, a, nil, l.packedInventory.rev)
	r.AllCopies = l.packedInventory.packed
	return r
}

// packedRegister returns the whole register as it is shared by all daemons, nil if the
// update doesn't have all of it. The caller holds l.mu.
func (l *Loader) packedRegister(now time.Time, register *roster.Update) *packCache[*roster.Update] {
	if register == nil || !register.Full {
		return nil
	}
	if l.packedUpdate.packed == nil || l.packedUpdate.fence != l.fence || now.Sub(l.packedUpdate.at) > packedTTL {
		packed, err := hub.Pack(register)
		if err != nil {
			event.BulkEncodeFailed.Log("of", "register", "cause", err.Error())
			return nil
		}
		l.packedUpdate = packCache[*roster.Update]{packed: packed, at: now, fence: l.fence}
	}
	return &l.packedUpdate
}

// topicUpdates returns the changes of the log's topics for another daemon, nil
// for this one.
func (l *Loader) topicUpdates(now time.Time, a *hub.WatchArgs) (*roster.Update, *hub.TopicState) {
	if a.Host == l.host {
		return nil, nil
	}
	return l.topics.Register(now, a.Register), l.topics.Config(now)
}

// Done records the result of a job.
func (l *Loader) Done(r logjob.Result) { l.jobs.Done(r) }

// StoreAtOnce returns the estimated number of loads that the weight store serves
// at a time, 0 for none.
func (l *Loader) StoreAtOnce() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active {
		return l.planner.StoreConcurrency()
	}
	return l.settings.StoreConcurrency
}

// SetStoreAtOnce takes over another holder's estimate. Values below 1 mean that
// there is none and are ignored.
func (l *Loader) SetStoreAtOnce(storeAtOnce float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if storeAtOnce >= 1 {
		l.settings.StoreConcurrency = storeAtOnce
	}
}

// NotifyWatchers makes waiting calls of Watch check for changes.
func (l *Loader) NotifyWatchers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyWatchers()
}

// newReply returns a reply with the state that every reply has. The caller holds
// l.mu.
func (l *Loader) newReply(now time.Time, a *hub.WatchArgs, copies []fleet.Inventory, rev uint64) *hub.WatchReply {
	r := &hub.WatchReply{
		Fence: l.fence, Rev: rev, Copies: copies, Coming: l.planner.LoadsInProgress(now), StoreAtOnce: l.planner.StoreConcurrency(),
	}
	if a.Load {
		r.Daemons = l.countDaemons(now)
		r.Running, r.RestLoad = l.loads.Others(now, a.Host, loads.MaxEntries(syncer.RepliesPerSecond(r.Daemons), spread.BytesPerSecond(l.linkBytes)))
	}
	return r
}

// countDaemons forgets the daemons that have not reported for daemonTTL, and counts the
// others, this one included. The caller holds l.mu.
func (l *Loader) countDaemons(now time.Time) int {
	l.loads.Expire(now, daemonTTL)
	l.slots.Expire(now, daemonTTL)
	for name, p := range l.daemons {
		if now.Sub(p.at) > daemonTTL {
			delete(l.daemons, name)
			delete(l.granted, name)
		}
	}
	return len(l.daemons)
}

// notifyWatchers is NotifyWatchers for callers that hold l.mu.
func (l *Loader) notifyWatchers() {
	close(l.changed)
	l.changed = make(chan struct{})
}
