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

// Request asks an owner for a replica, and for an adapter on it if one is
// named.
type Request struct {
	Upstream string
	Model    string
	Version  string
	Adapter  string
	Class    declare.Class
	Deadline time.Time
	// Suspect is the fingerprint of a request that may crash the upstream,
	// empty for other requests. The owner lets one suspect at a time begin on
	// an upstream, whichever daemons send them, so that a crash has one cause.
	Suspect string
	// Ended is set to take back the reservation for Suspect; nothing is
	// loaded then.
	Ended bool
}

// suspectFor bounds how long a suspect keeps others off its upstream. A request
// that crashes engines does so when it begins to run.
const suspectFor = 5 * time.Second

// LoadFailed is what Observer.Placed is told of a load that failed.
const LoadFailed = "load-failed"

// grantAttempts bounds how often a load looks for room, since other loads on
// the upstream change the grants meanwhile.
const grantAttempts = 4

// Load returns when the replica and the adapter are loaded. Loads of the same
// replica are joined; a load goes on when its waiting callers leave. It fails
// with a *fault.Fault.
func (o *Owner) Load(ctx context.Context, q Request) error {
	k := ctrl.GrantKey{Upstream: q.Upstream, Model: q.Model, Version: q.Version}
	if _, _, ok := o.owned(q.Upstream); !ok {
		return fault.New(fault.NotOwner, "%s does not own %s", o.set.Self, q.Upstream)
	}
	o.mu.Lock()
	u := o.unit(q.Upstream)
	if q.Ended {
		if u.suspect == q.Suspect {
			u.suspect = ""
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
		return fault.New(fault.Draining, "%s is leaving", o.set.Self)
	}
	if err := u.admit(time.Now(), q.Suspect); err != nil {
		o.mu.Unlock()
		return err
	}
	if rep := u.replicas[k]; rep == nil || !rep.loaded {
		l := u.loads[k]
		if l == nil {
			l = &load{done: make(chan struct{})}
			u.loads[k] = l
			go o.run(context.WithoutCancel(ctx), u, k, q, l)
		}
		o.mu.Unlock()
		select {
		case <-l.done:
		case <-ctx.Done():
			return fault.New(fault.DeadlineUnreachable, "the load of %s on %s goes on", q.Model, q.Upstream)
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

// admit reserves the upstream for a suspect, unless another one has begun
// there a moment ago; o.mu is held.
func (u *unit) admit(now time.Time, suspect string) error {
	if suspect == "" {
		return nil
	}
	if u.suspect != "" && u.suspect != suspect && now.Before(u.suspectUntil) {
		return fault.New(fault.NoCapacity, "another request that may crash %s has just begun there", u.name)
	}
	u.suspect, u.suspectUntil = suspect, now.Add(suspectFor)
	return nil
}

// run carries out one load and wakes all who wait for it.
func (o *Owner) run(ctx context.Context, u *unit, k ctrl.GrantKey, q Request, l *load) {
	ctx, cancel := context.WithTimeout(ctx, o.set.LoadTimeout)
	defer cancel()
	began := time.Now()
	err := o.loadModel(ctx, k, q)
	now := time.Now()
	o.mu.Lock()
	delete(u.loads, k)
	rep := u.replica(now, k)
	if err == nil {
		rep.loaded, rep.hidden, rep.changed, rep.idleSince = true, false, now, now
		clear(rep.adapters)
	}
	o.mu.Unlock()
	if err != nil {
		l.err = fault.Of(err)
		event.LoadFailed.Log("upstream", k.Upstream, "model", k.Model, "version", k.Version, "err", err)
		o.obs.Placed(now, LoadFailed, k, l.err.Error())
	} else {
		event.Loaded.Log("upstream", k.Upstream, "model", k.Model, "version", k.Version, "seconds", now.Sub(began).Seconds())
		o.obs.Loaded(now, k, now.Sub(began))
		var d *declare.Upstream
		o.ctl.View(func(l *ctrl.State) { d = l.Config().Upstream(k.Upstream) })
		if d != nil {
			o.publish(now, d)
		}
	}
	close(l.done)
}

// loadModel makes sure of a grant and orders the load under it.
func (o *Owner) loadModel(ctx context.Context, k ctrl.GrantKey, q Request) error {
	if err := o.ensureGrant(ctx, k, q); err != nil {
		return err
	}
	var bytes, adapters, over int64
	o.ctl.View(func(l *ctrl.State) {
		bytes, _ = l.Config().ReplicaBytes(k.Model, k.Version)
		if u := l.Config().Upstream(k.Upstream); u != nil {
			over = l.ReservedBytes(k.Upstream) - u.MemoryBytes
		}
		if m := l.Config().Model(k.Model); m != nil {
			for _, v := range m.Versions {
				if v.Name == k.Version {
					adapters = bytes - v.WeightBytes - m.KVBytes
				}
			}
		}
	})
	if over > 0 {
		// A publication has raised the size of a granted version.
		return fault.New(fault.NoCapacity, "the grants on %s exceed its memory by %d bytes", k.Upstream, over)
	}
	od := engine.Order{
		Kind: engine.Load, Model: k.Model, Version: k.Version,
		MemoryBytes: bytes, AdapterBytes: adapters, Priority: q.Class,
	}
	if o.tier(k) != engine.Remote {
		_, err := o.order(ctx, k, od)
		return err
	}
	release, err := o.pacer.Acquire(ctx, q.Class, q.Deadline, bytes)
	if err != nil {
		return fault.Wrap(err, fault.DeadlineUnreachable, "waiting for the weight store")
	}
	// The grant may have been withdrawn while the load waited.
	granted := false
	o.ctl.View(func(l *ctrl.State) { _, granted = l.Grant(k) })
	if !granted {
		release(false)
		return fault.New(fault.NotOwner, "the grant of %s on %s was withdrawn", k.Model, k.Upstream)
	}
	_, err = o.order(ctx, k, od)
	release(err == nil)
	return err
}

// tier returns where the checkpoint for a replica lies, as last reported.
func (o *Owner) tier(k ctrl.GrantKey) engine.Tier {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unit(k.Upstream).report.Tier(k.Model, k.Version)
}

// ensureGrant returns once the control stream holds a grant for k under this
// daemon's epoch, evicting idle replicas if memory or the model's own older
// version stands in the way.
func (o *Owner) ensureGrant(ctx context.Context, k ctrl.GrantKey, q Request) error {
	var last ctrl.Outcome
	var busy error
	for range grantAttempts {
		epoch, d, ok := o.owned(k.Upstream)
		if !ok {
			return fault.New(fault.NotOwner, "%s does not own %s", o.set.Self, k.Upstream)
		}
		granted, victims, err := o.room(time.Now(), k, q, d)
		if granted && !o.releasing(k) {
			return nil
		}
		if granted {
			// A release of this grant may take effect at any time, so it is
			// completed before the replica is granted anew.
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
				// A victim turned out to be busy; the next round knows.
				busy = err
				continue
			}
			return err
		}
		busy = nil
		last, err = o.ctl.Append(ctx, record.Grant{Upstream: k.Upstream, Epoch: epoch, Model: k.Model, Version: k.Version})
		if err != nil {
			return err
		}
		o.obs.Placed(time.Now(), "grant", k, string(last.Reason))
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

// evictAll unloads and releases replicas until one fails.
func (o *Owner) evictAll(ctx context.Context, victims []ctrl.GrantKey) error {
	for _, v := range victims {
		if err := o.evict(ctx, v, true); err != nil {
			return err
		}
	}
	return nil
}

// room reports whether k is granted already, and otherwise what to evict.
func (o *Owner) room(now time.Time, k ctrl.GrantKey, q Request, d *declare.Upstream) (granted bool, victims []ctrl.GrantKey, err error) {
	_, _, logUp := o.ctl.Status()
	var w place.Wake
	c := place.Candidate{Upstream: k.Upstream, FailureDomain: d.FailureDomain, MemoryBytes: d.MemoryBytes}
	o.mu.Lock()
	u := o.unit(k.Upstream)
	o.ctl.View(func(l *ctrl.State) {
		_, granted = l.Grant(k)
		bytes, _ := l.Config().ReplicaBytes(k.Model, k.Version)
		m := l.Config().Model(k.Model)
		if m == nil {
			return
		}
		w = place.Wake{
			Model: k.Model, Version: k.Version, WeightBytes: bytes, Bytes: bytes,
			Replicas: l.Replicas(k.Model), Limit: m.Replicas, FailureDomain: d.FailureDomain,
			Class: q.Class, LogDown: !logUp,
		}
		c.ReservedBytes, c.Granted = l.ReservedBytes(k.Upstream), granted
		c.Unavailable = u.status >= member.Leaving
		for _, g := range l.UpstreamGrants(nil, k.Upstream) {
			if g == k {
				continue
			}
			if g.Model == k.Model {
				// The replica of an older version is replaced, so that the
				// limit need not allow two.
				victims = append(victims, g)
				w.Replicas--
			}
			c.Residents = append(c.Residents, o.resident(now, l, u, g))
		}
	})
	o.mu.Unlock()
	if granted {
		return true, nil, nil
	}
	o.choose.Lock()
	defer o.choose.Unlock()
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
		return false, nil, refusal(dec, k)
	default:
		return false, nil, fault.New(fault.Internal, "unknown placement decision")
	}
}

// resident describes another grant on the upstream; o.mu is held.
func (o *Owner) resident(now time.Time, l *ctrl.State, u *unit, g ctrl.GrantKey) place.Resident {
	bytes, _ := l.Config().ReplicaBytes(g.Model, g.Version)
	r := place.Resident{Model: g.Model, Version: g.Version, Bytes: bytes, IdleSince: now.Add(-time.Hour), ReloadTime: 5 * time.Second}
	if gr, ok := l.Grant(g); ok {
		r.Bytes = max(bytes, gr.Bytes)
	}
	r.Pinned = l.CheckRelease(g) != ctrl.Accepted || u.loads[g] != nil
	if m := l.Config().Model(g.Model); m != nil && m.MinReplicas > 0 && l.Replicas(g.Model) <= m.MinReplicas {
		r.Pinned = true
	}
	if rep := u.replicas[g]; rep != nil && rep.loaded {
		r.Loaded, r.Active, r.IdleSince = true, rep.streams, rep.idleSince
	}
	return r
}

// refusal turns a placement refusal into a fault.
func refusal(r place.Refuse, k ctrl.GrantKey) error {
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
