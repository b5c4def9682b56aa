package owner

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/rule/place"
)

// Request asks the owner of an upstream to load a replica, and an adapter on
// it if one is named.
type Request struct {
	Upstream string
	Model    string
	Version  string
	Adapter  string
	Class    declare.Class
	Deadline time.Time
	// Suspect is the fingerprint of a request that may crash the upstream,
	// empty for other requests. The owner admits one suspect at a time on an
	// upstream, whichever daemons send them, so that a crash can be attributed
	// to one request.
	Suspect string
	// Ended cancels the reservation for Suspect; nothing is loaded then.
	Ended bool
}

// suspectReservation bounds how long a suspect excludes others from its
// upstream. A request that crashes engines does so when it starts to run.
const suspectReservation = 5 * time.Second

// LoadFailed is the decision that Observer.Placed receives for a failed load.
const LoadFailed = "load-failed"

const (
	// maxGrantAttempts bounds how often a load tries to get a grant, since
	// other loads on the upstream change the grants meanwhile.
	maxGrantAttempts = 4
	// assumedIdleTime is the time for which a granted replica that is not
	// known to be loaded counts as idle.
	assumedIdleTime = time.Hour
	// assumedReloadTime is the reload time of granted replicas in the choice
	// of which to evict.
	assumedReloadTime = 5 * time.Second
)

// Load returns when the replica and the adapter are loaded. Concurrent loads
// of the same replica are joined, and a load continues if its callers stop
// waiting. Load fails with a *fault.Fault.
func (o *Owner) Load(ctx context.Context, q Request) error {
	k := ctrl.GrantKey{Upstream: q.Upstream, Model: q.Model, Version: q.Version}
	if _, _, ok := o.owned(q.Upstream); !ok {
		return fault.New(fault.NotOwner, "%s does not own %s", o.settings.Self, q.Upstream)
	}
	o.mu.Lock()
	u := o.upstream(q.Upstream)
	if q.Ended {
		if u.crashSuspect == q.Suspect {
			u.crashSuspect = ""
		}
		o.mu.Unlock()
		return nil
	}
	for u.evicting[k] != nil {
		evicted := u.evicting[k]
		o.mu.Unlock()
		select {
		case <-evicted:
		case <-ctx.Done():
			return fault.New(fault.DeadlineUnreachable, "%s is being unloaded from %s", q.Model, q.Upstream)
		}
		o.mu.Lock()
	}
	if o.leaving {
		o.mu.Unlock()
		return fault.New(fault.Draining, "%s is leaving", o.settings.Self)
	}
	if err := u.admitSuspect(time.Now(), q.Suspect); err != nil {
		o.mu.Unlock()
		return err
	}
	if rep := u.replicas[k]; rep == nil || !rep.loaded {
		l := u.loads[k]
		if l == nil {
			l = &pendingLoad{done: make(chan struct{})}
			u.loads[k] = l
			go o.runLoad(context.WithoutCancel(ctx), u, k, q, l)
		}
		o.mu.Unlock()
		select {
		case <-l.done:
		case <-ctx.Done():
			return fault.New(fault.DeadlineUnreachable, "the load of %s on %s has not finished; it continues", q.Model, q.Upstream)
		}
		if l.err != nil {
			return l.err
		}
	} else {
		o.mu.Unlock()
	}
	if q.Adapter == "" {
		return nil
	}
	return o.loadAdapter(ctx, k, q)
}

// admitSuspect reserves the upstream for a crash suspect. It fails while the
// reservation of another one is valid. Owner.mu must be held.
func (u *upstreamState) admitSuspect(now time.Time, suspect string) error {
	if suspect == "" {
		return nil
	}
	if u.crashSuspect != "" && u.crashSuspect != suspect && now.Before(u.suspectExpires) {
		return fault.New(fault.NoCapacity, "another request that may crash %s has just started there", u.name)
	}
	u.crashSuspect, u.suspectExpires = suspect, now.Add(suspectReservation)
	return nil
}

// runLoad carries out one load and wakes all callers that wait for it.
func (o *Owner) runLoad(ctx context.Context, u *upstreamState, k ctrl.GrantKey, q Request, l *pendingLoad) {
	ctx, cancel := context.WithTimeout(ctx, o.settings.LoadTimeout)
	defer cancel()
	began := time.Now()
	err := o.loadModel(ctx, k, q)
	now := time.Now()
	o.mu.Lock()
	delete(u.loads, k)
	rep := u.replica(now, k)
	if err == nil {
		rep.loaded, rep.hidden, rep.changedAt, rep.idleSince = true, false, now, now
		clear(rep.adapters)
	}
	o.mu.Unlock()
	if err != nil {
		l.err = fault.Of(err)
		event.LoadFailed.Log("upstream", k.Upstream, "model", k.Model, "version", k.Version, "err", err)
		o.observer.Placed(now, LoadFailed, k, l.err.Error())
	} else {
		event.Loaded.Log("upstream", k.Upstream, "model", k.Model, "version", k.Version, "seconds", now.Sub(began).Seconds())
		o.observer.Loaded(now, k, now.Sub(began))
		var d *declare.Upstream
		o.control.View(func(state *ctrl.State) { d = state.Config().Upstream(k.Upstream) })
		if d != nil {
			o.reportUpstream(now, d)
		}
	}
	close(l.done)
}

// loadModel ensures that k is granted and orders the load.
func (o *Owner) loadModel(ctx context.Context, k ctrl.GrantKey, q Request) error {
	if err := o.ensureGrant(ctx, k, q); err != nil {
		return err
	}
	var bytes, adapterBytes, excessBytes int64
	o.control.View(func(state *ctrl.State) {
		bytes, _ = state.Config().ReplicaBytes(k.Model, k.Version)
		if u := state.Config().Upstream(k.Upstream); u != nil {
			excessBytes = state.ReservedBytes(k.Upstream) - u.MemoryBytes
		}
		if m := state.Config().Model(k.Model); m != nil {
			for _, v := range m.Versions {
				if v.Name == k.Version {
					adapterBytes = bytes - v.WeightBytes - m.KVBytes
				}
			}
		}
	})
	if excessBytes > 0 {
		// A new configuration has raised the size of a granted version.
		return fault.New(fault.NoCapacity, "the grants on %s exceed its memory by %d bytes", k.Upstream, excessBytes)
	}
	order := engine.Order{
		Kind: engine.Load, Model: k.Model, Version: k.Version,
		MemoryBytes: bytes, AdapterBytes: adapterBytes, Priority: q.Class,
	}
	if o.tier(k) != engine.Remote {
		_, err := o.sendOrder(ctx, k, order)
		return err
	}
	release, err := o.limiter.Acquire(ctx, q.Class, q.Deadline, bytes)
	if err != nil {
		return fault.Wrap(err, fault.DeadlineUnreachable, "waiting for the weight store")
	}
	// The grant may have been withdrawn while the load waited.
	granted := false
	o.control.View(func(state *ctrl.State) { _, granted = state.Grant(k) })
	if !granted {
		release(false)
		return fault.New(fault.NotOwner, "the grant of %s on %s was withdrawn", k.Model, k.Upstream)
	}
	_, err = o.sendOrder(ctx, k, order)
	release(err == nil)
	return err
}

// tier returns the storage tier of a replica's checkpoint as last reported.
func (o *Owner) tier(k ctrl.GrantKey) engine.Tier {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.upstream(k.Upstream).report.Tier(k.Model, k.Version)
}

// ensureGrant returns once the control stream holds a grant for k under this
// daemon's epoch. It evicts idle replicas if there is not enough memory, and
// the replica of another version of the model.
func (o *Owner) ensureGrant(ctx context.Context, k ctrl.GrantKey, q Request) error {
	var last ctrl.Outcome
	var busy error
	for range maxGrantAttempts {
		epoch, d, ok := o.owned(k.Upstream)
		if !ok {
			return fault.New(fault.NotOwner, "%s does not own %s", o.settings.Self, k.Upstream)
		}
		granted, victims, err := o.planEviction(time.Now(), k, q, d)
		if granted && !o.releasePending(k) {
			return nil
		}
		if granted {
			// The pending release of this grant may take effect at any time,
			// so it is completed before the replica is granted again.
			if err := o.appendRelease(ctx, k); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		if err = o.evictAll(ctx, victims); err != nil {
			if fault.Of(err).Kind == fault.NoCapacity {
				// A victim is busy. Its state now shows that, so the next
				// attempt chooses another one.
				busy = err
				continue
			}
			return err
		}
		busy = nil
		last, err = o.control.Append(ctx, record.Grant{Upstream: k.Upstream, Epoch: epoch, Model: k.Model, Version: k.Version})
		if err != nil {
			return err
		}
		o.observer.Placed(time.Now(), "grant", k, string(last.Reason))
	}
	if busy != nil {
		return busy
	}
	switch last.Reason {
	case ctrl.ReplicaLimit:
		return fault.New(fault.ReplicaElsewhere, "%s", last.Detail)
	case ctrl.StaleEpoch:
		return fault.New(fault.NotOwner, "%s", last.Detail)
	default:
		return fault.New(fault.NoCapacity, "%s: %s", last.Reason, last.Detail)
	}
}

// evictAll evicts replicas and releases their grants; it stops at the first
// failure.
func (o *Owner) evictAll(ctx context.Context, victims []ctrl.GrantKey) error {
	for _, v := range victims {
		if err := o.evict(ctx, v, true); err != nil {
			return err
		}
	}
	return nil
}

// planEviction reports whether k is granted already, and otherwise which
// replicas to evict for it.
func (o *Owner) planEviction(now time.Time, k ctrl.GrantKey, q Request, d *declare.Upstream) (granted bool, victims []ctrl.GrantKey, err error) {
	_, _, logUp := o.control.Status()
	var w place.Wake
	c := place.Candidate{Upstream: k.Upstream, FailureDomain: d.FailureDomain, MemoryBytes: d.MemoryBytes}
	o.mu.Lock()
	u := o.upstream(k.Upstream)
	o.control.View(func(state *ctrl.State) {
		_, granted = state.Grant(k)
		bytes, _ := state.Config().ReplicaBytes(k.Model, k.Version)
		m := state.Config().Model(k.Model)
		if m == nil {
			return
		}
		w = place.Wake{
			Model: k.Model, Version: k.Version, WeightBytes: bytes, Bytes: bytes,
			Replicas: state.Replicas(k.Model), Limit: m.Replicas, FailureDomain: d.FailureDomain,
			Class: q.Class, LogDown: !logUp,
		}
		c.ReservedBytes, c.Granted = state.ReservedBytes(k.Upstream), granted
		c.Unavailable = u.status >= member.Leaving
		for _, g := range state.UpstreamGrants(nil, k.Upstream) {
			if g == k {
				continue
			}
			if g.Model == k.Model {
				// The replica of another version is replaced, so the replica
				// limit need not allow both.
				victims = append(victims, g)
				w.Replicas--
			}
			c.Residents = append(c.Residents, o.resident(now, state, u, g))
		}
	})
	o.mu.Unlock()
	if granted {
		return true, nil, nil
	}
	o.chooserMu.Lock()
	defer o.chooserMu.Unlock()
	switch dec := o.chooser.Choose(now, &w, []place.Candidate{c}).(type) {
	case place.Load:
		for _, v := range dec.Evict {
			g := ctrl.GrantKey{Upstream: k.Upstream, Model: v.Model, Version: v.Version}
			if v.Model != k.Model {
				victims = append(victims, g)
			}
		}
		return false, victims, nil
	case place.Refuse:
		return false, nil, refusalFault(dec, k)
	default:
		return false, nil, fault.New(fault.Internal, "unknown placement decision")
	}
}

// resident describes another grant on the upstream for the choice of victims.
// o.mu must be held.
func (o *Owner) resident(now time.Time, state *ctrl.State, u *upstreamState, g ctrl.GrantKey) place.Resident {
	bytes, _ := state.Config().ReplicaBytes(g.Model, g.Version)
	r := place.Resident{Model: g.Model, Version: g.Version, Bytes: bytes, IdleSince: now.Add(-assumedIdleTime), ReloadTime: assumedReloadTime}
	if gr, ok := state.Grant(g); ok {
		r.Bytes = max(bytes, gr.Bytes)
	}
	r.Pinned = state.CheckRelease(g) != ctrl.Accepted || u.loads[g] != nil
	if m := state.Config().Model(g.Model); m != nil && m.MinReplicas > 0 && state.Replicas(g.Model) <= m.MinReplicas {
		r.Pinned = true
	}
	if rep := u.replicas[g]; rep != nil && rep.loaded {
		r.Loaded, r.Active, r.IdleSince = true, rep.streams, rep.idleSince
	}
	return r
}

// refusalFault converts a placement refusal into a fault.
func refusalFault(r place.Refuse, k ctrl.GrantKey) error {
	kind := fault.NoCapacity
	switch r.Reason {
	case place.ReplicaElsewhere, place.ReplicaLimit:
		kind = fault.ReplicaElsewhere
	case place.LogUnavailable:
		kind = fault.LogUnavailable
	case place.TooLate:
		kind = fault.DeadlineUnreachable
	case place.NoMemory, place.NoUpstream:
	}
	return fault.New(kind, "%s@%s on %s: %s", k.Model, k.Version, k.Upstream, r.Reason)
}
