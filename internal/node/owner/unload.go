package owner

import (
	"context"
	"errors"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/rule/idle"
	"github.com/azurespan/azurespan/internal/rule/place"
)

// unloading is one replica that unloadIdle gives up.
type unloading struct {
	k       ctrl.GrantKey
	release bool
	why     string
}

// unloadIdle unloads replicas that the idle policy gives up, and removes
// grants that the configuration no longer allows or whose engine has ended.
func (o *Owner) unloadIdle(ctx context.Context, now time.Time) {
	for _, j := range o.unloadings(now) {
		go func() {
			o.obs.Placed(now, "unload", j.k, j.why)
			err := o.evict(ctx, j.k, j.release)
			o.mu.Lock()
			o.units[j.k.Upstream].busy = false
			o.mu.Unlock()
			var f *fault.Fault
			if errors.As(err, &f) && f.Kind != fault.NoCapacity {
				event.UnloadFailed.Log("upstream", j.k.Upstream, "model", j.k.Model, "version", j.k.Version, "err", err)
			}
		}()
	}
}

// unloadings decides about one replica of each owned upstream at a time.
func (o *Owner) unloadings(now time.Time) []unloading {
	loaded := map[ctrl.GrantKey]bool{}
	o.facts.Do(func(m *member.Set) {
		m.Each(member.Upstream, func(f member.Fact) {
			for _, r := range f.Loaded {
				loaded[ctrl.GrantKey{Upstream: f.Name, Model: r.Model, Version: r.Version}] = true
			}
		})
	})
	// A grant can be withdrawn only in the log. A withdrawal that is tried in
	// an outage would bar the grant, within which the model can be loaded.
	_, _, logUp := o.ctl.Status()
	var out []unloading
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctl.View(func(l *ctrl.State) {
		o.idle.SetWeight(l.Config().Deployment.ColdStartWeight)
		for _, u := range o.units {
			own, ok := l.Owner(u.name)
			if !ok || own.Daemon != o.set.Self || own.Resigned || u.busy || u.resigning {
				continue
			}
			for _, k := range l.UpstreamGrants(nil, u.name) {
				if j, ok := o.unloadingOf(now, l, u, k, loaded); ok && (logUp || !j.release) {
					u.busy = true
					out = append(out, j)
					break
				}
			}
		}
	})
	return out
}

// unloadingOf decides about one grant; o.mu is held.
func (o *Owner) unloadingOf(now time.Time, l *ctrl.State, u *unit, k ctrl.GrantKey, loaded map[ctrl.GrantKey]bool) (unloading, bool) {
	rep := u.replicas[k]
	m := l.Config().Model(k.Model)
	noProcess := u.refused >= o.set.DeadAfter
	switch {
	case u.status == member.Dead && !noProcess, u.loads[k] != nil:
		return unloading{}, false
	case noProcess:
		// What an ended process had loaded is gone, and another upstream may
		// need the grant.
		return unloading{k, true, "the engine has ended"}, true
	case rep != nil && rep.streams > 0:
		o.idle.RecordBusy(now, k.Model, rep.streams)
		return unloading{}, false
	case u.status == member.Leaving:
		// It gets no new work, and another upstream may need the grant.
		return unloading{k, true, "the engine is leaving"}, true
	case m == nil || l.Surplus(k):
		return unloading{k, true, "the configuration does not allow it any more"}, true
	case m.Version != k.Version:
		return unloading{k, true, "another version serves"}, true
	case rep == nil || !rep.loaded:
		return unloading{}, false
	}
	rank, replicas := 0, 0
	for _, h := range l.ModelGrants(nil, k.Model) {
		if h == k {
			rank = replicas
		}
		if loaded[h] {
			replicas++
		}
	}
	if replicas <= 1 {
		o.idle.RecordBusy(now, k.Model, 0)
	}
	v := o.idle.Decide(now, idle.Replica{
		Model: m, Rank: rank, Replicas: replicas, IdleSince: rep.idleSince, LoadTime: o.loadTime(l, u, k),
	})
	if d, ok := v.(idle.Unload); ok {
		return unloading{k, false, string(d.Reason)}, true
	}
	return unloading{}, false
}

// loadTime estimates how long it takes to load a replica again.
func (o *Owner) loadTime(l *ctrl.State, u *unit, k ctrl.GrantKey) time.Duration {
	bytes, _ := l.Config().ReplicaBytes(k.Model, k.Version)
	return o.chooser.LoadTime(tierOf(u.report.Tier(k.Model, k.Version)), bytes)
}

func tierOf(t engine.Tier) place.Tier {
	switch t {
	case engine.InMemory:
		return place.Memory
	case engine.OnDisk:
		return place.Disk
	default:
		return place.Remote
	}
}

// Due returns the models that should be loaded ahead of their first request at
// now, and the reason. The daemon that coordinates a model's wakes asks.
func (o *Owner) DuePrewakes(now time.Time, models []*declare.Model) map[string]string {
	out := map[string]string{}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range models {
		var load time.Duration
		o.ctl.View(func(l *ctrl.State) {
			bytes, _ := l.Config().ReplicaBytes(m.Name, m.Version)
			load = o.chooser.LoadTime(place.Remote, bytes)
		})
		if why, ok := o.idle.PrewakeDue(now, m, load); ok {
			out[m.Name] = string(why)
		}
	}
	return out
}
