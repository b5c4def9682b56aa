package owner

import (
	"context"
	"errors"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/engine"
)

// evict unloads a replica and, if release is set, releases its grant once the
// unload is confirmed. It fails for a replica with streams in progress. Loads
// of the replica wait until evict returns, because a load between the unload
// and the release would leave it loaded without a grant.
func (o *Owner) evict(ctx context.Context, k ctrl.GrantKey, release bool) error {
	_, d, ok := o.owned(k.Upstream)
	if !ok {
		return fault.New(fault.NotOwner, "%s does not own %s", o.settings.Self, k.Upstream)
	}
	o.mu.Lock()
	u := o.upstream(k.Upstream)
	if u.loads[k] != nil || u.evicting[k] != nil {
		o.mu.Unlock()
		return fault.New(fault.NoCapacity, "%s is being loaded or unloaded on %s", k.Model, k.Upstream)
	}
	done := make(chan struct{})
	u.evicting[k] = done
	rep := u.replica(time.Now(), k)
	wasLoaded, idleSince := rep.loaded, rep.idleSince
	rep.hidden = true
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(u.evicting, k)
		o.mu.Unlock()
		close(done)
	}()
	o.reportUpstream(time.Now(), d)

	// On an engine that ignores fencing numbers, the grant must be releasable
	// before the unload is ordered: a former owner could load the model again
	// until it has acknowledged its loss of ownership.
	releasable := o.canRelease(k)
	epoch, err := o.unload(ctx, k)
	now := time.Now()
	o.mu.Lock()
	rep.hidden = false
	var f *fault.Fault
	if errors.As(err, &f) && f.Kind == fault.NoCapacity {
		// The engine has streams that its last report does not show.
		rep.streams, rep.idleSince = max(rep.streams, 1), now
	}
	if err == nil {
		rep.loaded, rep.changedAt = false, now
		clear(rep.adapters)
	}
	unanswered := u.hasUnansweredLoad(k) && d.IgnoresFencing
	o.mu.Unlock()
	if err != nil {
		o.reportUpstream(now, d)
		return err
	}
	if wasLoaded {
		event.Unloaded.Log("upstream", k.Upstream, "model", k.Model, "version", k.Version, "idle-seconds", now.Sub(idleSince).Seconds(), "grant-released", release)
		o.observer.Unloaded(now, k, now.Sub(idleSince))
	}
	switch current, _, ok := o.owned(k.Upstream); {
	case !release:
		return nil
	case !ok || current != epoch && epoch != 0:
		return fault.New(fault.NotOwner, "the ownership of %s changed during the unload", k.Upstream)
	case !releasable || unanswered:
		return fault.New(fault.NoCapacity, "the grant of %s on %s can't be released yet: an earlier load order may still be executed", k.Model, k.Upstream)
	}
	return o.appendRelease(ctx, k)
}

// unload orders the unload of a replica and returns the epoch of the order. The
// order is sent even if the replica counts as unloaded: a report may not show
// yet what a former owner loaded, and an engine learns the fencing number only
// from an order. If no engine process listens any more and there is no former
// owner that could order a load from a process that starts later, unload
// succeeds without an answer and returns epoch 0.
func (o *Owner) unload(ctx context.Context, k ctrl.GrantKey) (uint64, error) {
	epoch, err := o.sendOrder(ctx, k, engine.Order{Kind: engine.Unload, Model: k.Model, Version: k.Version})
	formerOwners := 0
	o.control.View(func(state *ctrl.State) { formerOwners = len(state.FormerOwners(k.Upstream)) })
	if err != nil && formerOwners == 0 && o.engineEnded(k.Upstream) {
		return 0, nil
	}
	return epoch, err
}

// engineEnded reports whether no engine process listens on the upstream's
// address. A process that starts there later has nothing loaded.
func (o *Owner) engineEnded(upstream string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.upstream(upstream).refusedPolls >= o.settings.DeadAfter
}

// canRelease reports whether the rules of the control stream allow the release
// of k, or k is not granted.
func (o *Owner) canRelease(k ctrl.GrantKey) bool {
	var reason ctrl.Reason
	o.control.View(func(state *ctrl.State) { reason = state.CheckRelease(k) })
	return reason == ctrl.Accepted || reason == ctrl.NotGranted
}

// hasUnansweredLoad reports whether a load of k that was given up may still be
// executed. Owner.mu must be held.
func (u *upstreamState) hasUnansweredLoad(k ctrl.GrantKey) bool {
	_, ok := u.unansweredLoads[k]
	return ok
}

// resolveUnanswered removes the unanswered loads that a new report resolves. A
// load has been executed if the report lists the replica. It can't be executed
// any more if the engine has restarted, because its connections ended with the
// earlier process. Owner.mu must be held.
func (u *upstreamState) resolveUnanswered(r engine.Report) {
	for k, incarnation := range u.unansweredLoads {
		if r.Replica(k.Model, k.Version) != nil || incarnation != 0 && r.Incarnation != incarnation {
			delete(u.unansweredLoads, k)
		}
	}
}

// releasePending reports whether a release of the current grant of k was
// appended without an answer.
func (o *Owner) releasePending(k ctrl.GrantKey) bool {
	var g ctrl.Grant
	o.control.View(func(state *ctrl.State) { g, _ = state.Grant(k) })
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.upstream(k.Upstream)
	grantedAt, ok := u.pendingReleases[k]
	if ok && grantedAt != g.GrantedAt {
		delete(u.pendingReleases, k)
		return false
	}
	return ok
}

// appendRelease releases the grant of an unloaded replica. If the append fails,
// the record may still take effect, so no load is ordered under the grant until
// a later call has succeeded.
func (o *Owner) appendRelease(ctx context.Context, k ctrl.GrantKey) error {
	epoch, _, ok := o.owned(k.Upstream)
	var g ctrl.Grant
	var reason ctrl.Reason
	o.control.View(func(state *ctrl.State) {
		g, _ = state.Grant(k)
		reason = state.CheckRelease(k)
	})
	if !ok || reason == ctrl.NotGranted {
		return nil
	}
	if reason != ctrl.Accepted {
		return fault.New(fault.NoCapacity, "%s on %s: %s", k.Model, k.Upstream, reason)
	}
	o.mu.Lock()
	o.upstream(k.Upstream).pendingReleases[k] = g.GrantedAt
	o.mu.Unlock()
	out, err := o.control.Append(ctx, record.Release{Upstream: k.Upstream, Epoch: epoch, Model: k.Model, Version: k.Version, GrantedAt: g.GrantedAt})
	if err != nil {
		return err
	}
	o.mu.Lock()
	delete(o.upstream(k.Upstream).pendingReleases, k)
	o.mu.Unlock()
	o.observer.Placed(time.Now(), "release", k, string(out.Reason))
	return nil
}
