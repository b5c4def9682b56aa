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

// unloadDecision is the decision of unloadIdle to unload a replica.
type unloadDecision struct {
	key ctrl.GrantKey
	// release is set if the grant is to be released as well.
	release bool
	reason  string
}

// unloadIdle unloads the replicas that the idle policy selects, and releases
// grants that the configuration no longer allows or whose engine has ended or
// is leaving.
func (o *Owner) unloadIdle(ctx context.Context, now time.Time) {
	for _, dec := range o.unloadDecisions(now) {
		go func() {
			o.observer.Placed(now, "unload", dec.key, dec.reason)
			err := o.evict(ctx, dec.key, dec.release)
			o.mu.Lock()
			o.upstreams[dec.key.Upstream].unloading = false
			o.mu.Unlock()
			var f *fault.Fault
			if errors.As(err, &f) && f.Kind != fault.NoCapacity {
				event.UnloadFailed.Log("upstream", dec.key.Upstream, "model", dec.key.Model, "version", dec.key.Version, "err", err)
			}
		}()
	}
}

// unloadDecisions returns at most one decision for each owned upstream, and
// none for an upstream on which an earlier one is being carried out.
func (o *Owner) unloadDecisions(now time.Time) []unloadDecision {
	loaded := map[ctrl.GrantKey]bool{}
	o.facts.Do(func(m *member.Set) {
		m.Each(member.Upstream, func(f member.Fact) {
			for _, r := range f.Loaded {
				loaded[ctrl.GrantKey{Upstream: f.Name, Model: r.Model, Version: r.Version}] = true
			}
		})
	})
	// A release needs the log. One that is attempted in a log outage would
	// block the grant, under which the model can still be loaded.
	_, _, logUp := o.control.Status()
	var out []unloadDecision
	o.mu.Lock()
	defer o.mu.Unlock()
	o.control.View(func(state *ctrl.State) {
		o.idle.SetWeight(state.Config().Deployment.ColdStartWeight)
		for _, u := range o.upstreams {
			own, ok := state.Owner(u.name)
			if !ok || own.Daemon != o.settings.Self || own.Resigned || u.unloading || u.resigning {
				continue
			}
			for _, k := range state.UpstreamGrants(nil, u.name) {
				if dec, ok := o.decideUnload(now, state, u, k, loaded); ok && (logUp || !dec.release) {
					u.unloading = true
					out = append(out, dec)
					break
				}
			}
		}
	})
	return out
}

// decideUnload decides whether to unload the replica of one grant. loaded holds
// the replicas that are loaded on any upstream. o.mu must be held.
func (o *Owner) decideUnload(now time.Time, state *ctrl.State, u *upstreamState, k ctrl.GrantKey, loaded map[ctrl.GrantKey]bool) (unloadDecision, bool) {
	rep := u.replicas[k]
	m := state.Config().Model(k.Model)
	ended := u.refusedPolls >= o.settings.DeadAfter
	switch {
	case u.status == member.Dead && !ended, u.loads[k] != nil:
		return unloadDecision{}, false
	case ended:
		// The replicas of an ended process no longer exist, and another
		// upstream may need the grant.
		return unloadDecision{k, true, "the engine has ended"}, true
	case rep != nil && rep.streams > 0:
		o.idle.RecordBusy(now, k.Model, rep.streams)
		return unloadDecision{}, false
	case u.status == member.Leaving:
		// The engine gets no new requests, and another upstream may need the
		// grant.
		return unloadDecision{k, true, "the engine is leaving"}, true
	case m == nil || state.Surplus(k):
		return unloadDecision{k, true, "the configuration no longer allows it"}, true
	case m.Version != k.Version:
		return unloadDecision{k, true, "another version is in service"}, true
	case rep == nil || !rep.loaded:
		return unloadDecision{}, false
	}
	rank, replicas := 0, 0
	for _, h := range state.ModelGrants(nil, k.Model) {
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
	verdict := o.idle.Decide(now, idle.Replica{
		Model: m, Rank: rank, Replicas: replicas, IdleSince: rep.idleSince, LoadTime: o.loadTime(state, u, k),
	})
	if d, ok := verdict.(idle.Unload); ok {
		return unloadDecision{k, false, string(d.Reason)}, true
	}
	return unloadDecision{}, false
}

// loadTime estimates the time to load a replica again.
func (o *Owner) loadTime(state *ctrl.State, u *upstreamState, k ctrl.GrantKey) time.Duration {
	bytes, _ := state.Config().ReplicaBytes(k.Model, k.Version)
	return o.chooser.LoadTime(tierOf(u.report.Tier(k.Model, k.Version)), bytes)
}

// tierOf converts a storage tier to the type of the placement policy.
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

// DuePrewakes returns the models that should be loaded at now, ahead of their
// first request, with the reason for each. Only the daemon that coordinates a
// model's prewakes calls it for that model.
func (o *Owner) DuePrewakes(now time.Time, models []*declare.Model) map[string]string {
	out := map[string]string{}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range models {
		var load time.Duration
		o.control.View(func(state *ctrl.State) {
			bytes, _ := state.Config().ReplicaBytes(m.Name, m.Version)
			load = o.chooser.LoadTime(place.Remote, bytes)
		})
		if reason, ok := o.idle.PrewakeDue(now, m, load); ok {
			out[m.Name] = string(reason)
		}
	}
	return out
}
