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

// evict unloads a replica and, if release is set, withdraws its grant once
// the unload is confirmed. A replica with streams is left alone. Loads of the
// replica wait until evict returns, because a load between the unload and the
// release would leave it loaded without a grant.
func (o *Owner) evict(ctx context.Context, k ctrl.GrantKey, release bool) error {
	_, d, ok := o.owned(k.Upstream)
	if !ok {
		return fault.New(fault.NotOwner, "%s does not own %s", o.set.Self, k.Upstream)
	}
	o.mu.Lock()
	u := o.unit(k.Upstream)
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
	o.publish(time.Now(), d)

	// An unload that is ordered before a former owner has acknowledged proves
	// nothing on an engine that ignores fencing numbers: that owner could load
	// the model again until its acknowledgement.
	releasable := o.releasable(k)
	epoch, err := o.unload(ctx, k)
	now := time.Now()
	o.mu.Lock()
	rep.hidden = false
	var f *fault.Fault
	if errors.As(err, &f) && f.Kind == fault.NoCapacity {
		// The engine knows of streams that its last report does not show.
		rep.streams, rep.idleSince = max(rep.streams, 1), now
	}
	if err == nil {
		rep.loaded, rep.changed = false, now
		clear(rep.adapters)
	}
	unsure := u.isUnsure(k) && d.IgnoresFencing
	o.mu.Unlock()
	if err != nil {
		o.publish(now, d)
		return err
	}
	if wasLoaded {
		event.Unloaded.Log("upstream", k.Upstream, "model", k.Model, "version", k.Version, "idle-seconds", now.Sub(idleSince).Seconds(), "grant-released", release)
		o.obs.Unloaded(now, k, now.Sub(idleSince))
	}
	switch current, _, ok := o.owned(k.Upstream); {
	case !release:
		return nil
	case !ok || current != epoch && epoch != 0:
		return fault.New(fault.NotOwner, "the ownership of %s changed during the unload", k.Upstream)
	case !releasable || unsure:
		return fault.New(fault.NoCapacity, "the grant of %s on %s can't be released yet: an earlier load order may still be executed", k.Model, k.Upstream)
	}
	return o.appendRelease(ctx, k)
}

// unload orders the unload of a replica and returns the epoch of the order. The
// order is sent even if the replica seems unloaded: a report may not show yet
// what a former owner loaded, and an engine learns the fencing number only from
// an order. The epoch is 0 if no engine process listens any more and no former
// owner can order a load from a process that starts there later.
func (o *Owner) unload(ctx context.Context, k ctrl.GrantKey) (uint64, error) {
	epoch, err := o.order(ctx, k, engine.Order{Kind: engine.Unload, Model: k.Model, Version: k.Version})
	formers := 0
	o.ctl.View(func(l *ctrl.State) { formers = len(l.FormerOwners(k.Upstream)) })
	if err != nil && formers == 0 && o.noProcess(k.Upstream) {
		return 0, nil
	}
	return epoch, err
}

// noProcess reports whether no engine process listens on the upstream's
// address. A process that starts there later has nothing loaded.
func (o *Owner) noProcess(upstream string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unit(upstream).refused >= o.set.DeadAfter
}

func (o *Owner) releasable(k ctrl.GrantKey) bool {
	var why ctrl.Reason
	o.ctl.View(func(l *ctrl.State) { why = l.CheckRelease(k) })
	return why == ctrl.Accepted || why == ctrl.NotGranted
}

// isUnsure reports whether a load of k that was given up may still be
// executed; o.mu is held.
func (u *unit) isUnsure(k ctrl.GrantKey) bool {
	_, ok := u.unsure[k]
	return ok
}

// settle clears what a new report resolves: a load that was given up has been
// executed if the replica is there, and never will be by a process that has
// ended. The engine's connections end with its process; o.mu is held.
func (u *unit) settle(r engine.Report) {
	for k, incarnation := range u.unsure {
		if r.Replica(k.Model, k.Version) != nil || incarnation != 0 && r.Incarnation != incarnation {
			delete(u.unsure, k)
		}
	}
}

// releasing reports whether a release of the present grant of k was appended
// without an answer.
func (o *Owner) releasing(k ctrl.GrantKey) bool {
	var g ctrl.Grant
	o.ctl.View(func(l *ctrl.State) { g, _ = l.Grant(k) })
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.unit(k.Upstream)
	at, ok := u.releases[k]
	if ok && at != g.GrantedAt {
		delete(u.releases, k)
		return false
	}
	return ok
}

// appendRelease withdraws the grant of an unloaded replica. If the append
// fails, the record may still take effect; no load is ordered under the grant
// until a later call has succeeded.
func (o *Owner) appendRelease(ctx context.Context, k ctrl.GrantKey) error {
	epoch, _, ok := o.owned(k.Upstream)
	var g ctrl.Grant
	var why ctrl.Reason
	o.ctl.View(func(l *ctrl.State) {
		g, _ = l.Grant(k)
		why = l.CheckRelease(k)
	})
	if !ok || why == ctrl.NotGranted {
		return nil
	}
	if why != ctrl.Accepted {
		return fault.New(fault.NoCapacity, "%s on %s: %s", k.Model, k.Upstream, why)
	}
	o.mu.Lock()
	o.unit(k.Upstream).releases[k] = g.GrantedAt
	o.mu.Unlock()
	out, err := o.ctl.Append(ctx, record.Release{Upstream: k.Upstream, Epoch: epoch, Model: k.Model, Version: k.Version, GrantedAt: g.GrantedAt})
	if err != nil {
		return err
	}
	o.mu.Lock()
	delete(o.unit(k.Upstream).releases, k)
	o.mu.Unlock()
	o.obs.Placed(time.Now(), "release", k, string(out.Reason))
	return nil
}
