package waker

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/hrw"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/link/peer"
	"github.com/azurespan/azurespan/internal/node/owner"
	"github.com/azurespan/azurespan/internal/rule/place"
)

type (
	// Control is the part of the control stream's follower that a Waker
	// needs.
	Control interface {
		View(func(l *ctrl.State))
		Status() (applied uint64, ready, logUp bool)
	}

	// Facts is the part of the gossip that a Waker needs.
	Facts interface {
		Live(domain string) []string
		Address(daemon string) (string, bool)
		Do(func(m *member.Set))
	}

	// Caller calls other daemons.
	Caller interface {
		Call(ctx context.Context, address, method string, args, reply any) error
	}

	// Loader loads replicas on the upstreams that this daemon owns.
	Loader interface {
		Load(ctx context.Context, q owner.Request) error
	}

	// Request asks for one more replica of a model version.
	Request struct {
		Model    string
		Version  string
		Class    declare.Class
		Deadline time.Time
		// Extra is set if replicas are loaded but all of them are busy.
		Extra bool
	}

	// Reply is the reply to a Wake or Load call between daemons.
	Reply struct {
		Upstream string
		Refusal  *fault.Fault
	}

	// Settings of a Waker. Zero fields stand for the defaults.
	Settings struct {
		Self          string
		FailureDomain string
		// CallTimeout bounds a wake, which may outlast the deadlines of the
		// requests that wait for it; default 5 min.
		CallTimeout time.Duration
		// Decided, if not nil, is called with each placement decision.
		Decided func(now time.Time, what, model, upstream, why string)
	}

	// Waker wakes models. It is safe for concurrent use.
	Waker struct {
		settings Settings
		control  Control
		facts    Facts
		caller   Caller
		loader   Loader
		chooser  *place.Chooser

		mu      sync.Mutex
		pending map[wakeKey]*pendingWake
	}

	wakeKey struct {
		model, version string
		extra          bool
	}

	pendingWake struct {
		done     chan struct{}
		deadline time.Time
		upstream string
		err      error
	}
)

const (
	// defaultCallTimeout is the default of Settings.CallTimeout.
	defaultCallTimeout = 5 * time.Minute
	// maxAttempts bounds the upstreams that the placement policy chooses for one
	// wake.
	maxAttempts = 5
	// assumedIdleTime and assumedReloadTime describe the other replicas on an
	// upstream to the placement policy; gossip does not report them.
	assumedIdleTime   = time.Minute
	assumedReloadTime = 5 * time.Second
)

// New returns a Waker.
func New(s Settings, ctl Control, f Facts, c Caller, l Loader) *Waker {
	if s.CallTimeout == 0 {
		s.CallTimeout = defaultCallTimeout
	}
	if s.Decided == nil {
		s.Decided = func(time.Time, string, string, string, string) {}
	}
	return &Waker{
		settings: s, control: ctl, facts: f, caller: c, loader: l,
		chooser: place.New(place.Settings{}), pending: map[wakeKey]*pendingWake{},
	}
}

// Wake returns an upstream that has loaded the model version. It calls the
// coordinator of the failure domain. Errors are of type *fault.Fault.
func (w *Waker) Wake(ctx context.Context, q Request) (string, error) {
	coordinator := hrw.Best("wake/"+q.Model, w.facts.Live(w.settings.FailureDomain))
	if coordinator == "" || coordinator == w.settings.Self {
		return w.Coordinate(ctx, q)
	}
	address, ok := w.facts.Address(coordinator)
	if !ok {
		return w.Coordinate(ctx, q)
	}
	r := new(Reply)
	err := w.caller.Call(ctx, address, "Wake", q, r)
	var ce *peer.CallError
	switch {
	case err == nil && r.Refusal != nil && r.Refusal.Kind != fault.Draining:
		return "", r.Refusal
	case err == nil && r.Refusal == nil:
		return r.Upstream, nil
	case ctx.Err() != nil:
		return "", fault.New(fault.DeadlineUnreachable, "the load of %s did not end in time", q.Model)
	case errors.As(err, &ce):
		event.CoordinatorFailed.Log("coordinator", coordinator, "model", q.Model, "err", err)
	}
	return w.Coordinate(ctx, q)
}

// Coordinate is Wake on the coordinator itself. Calls for the same model version
// join one wake. If that fails at the deadline of its first caller, callers with
// a later deadline start another one.
func (w *Waker) Coordinate(ctx context.Context, q Request) (string, error) {
	for {
		wake := w.joinOrStart(ctx, q)
		select {
		case <-wake.done:
			if wake.err == nil || !wake.deadline.Before(q.Deadline) || fault.Of(wake.err).Kind != fault.DeadlineUnreachable {
				return wake.upstream, wake.err
			}
		case <-ctx.Done():
			return "", fault.New(fault.DeadlineUnreachable, "the load of %s did not end in time", q.Model)
		}
	}
}

// joinOrStart returns the pending wake for q's model version. It starts one if
// there is none.
func (w *Waker) joinOrStart(ctx context.Context, q Request) *pendingWake {
	k := wakeKey{q.Model, q.Version, q.Extra}
	w.mu.Lock()
	defer w.mu.Unlock()
	wake := w.pending[k]
	if wake == nil {
		wake = &pendingWake{done: make(chan struct{}), deadline: q.Deadline}
		w.pending[k] = wake
		go w.run(context.WithoutCancel(ctx), k, q, wake)
	}
	return wake
}

// run performs a wake and notifies the callers that joined it.
func (w *Waker) run(ctx context.Context, k wakeKey, q Request, wake *pendingWake) {
	ctx, cancel := context.WithTimeout(ctx, w.settings.CallTimeout)
	defer cancel()
	wake.upstream, wake.err = w.loadReplica(ctx, q)
	w.mu.Lock()
	delete(w.pending, k)
	w.mu.Unlock()
	close(wake.done)
}

// loadReplica tries upstreams that already have a grant, unless an extra replica
// is requested, and then upstreams in the order of the placement policy.
func (w *Waker) loadReplica(ctx context.Context, q Request) (string, error) {
	excluded := map[string]bool{}
	var last error
	if !q.Extra {
		for _, up := range w.grantHolders(q) {
			event.WakeStarted.Log("model", q.Model, "version", q.Version, "upstream", up, "tier", "granted",
				"needs-grant", false, "evictions", 0, "class", string(q.Class), "extra", false)
			w.settings.Decided(time.Now(), "wake", q.Model, up, "has the grant already")
			if last = w.orderLoad(ctx, up, q); last == nil {
				return up, nil
			}
			if deadlinePassed(time.Now(), q) {
				return "", last
			}
			excluded[up] = true
		}
	}
	for range maxAttempts {
		decision := w.decide(time.Now(), q, excluded)
		var l place.Load
		switch d := decision.(type) {
		case place.Refuse:
			err := last
			if err == nil {
				err = refusalFault(d, q)
			}
			event.WakeRefused.Log("model", q.Model, "version", q.Version, "reason", string(d.Reason), "err", err)
			w.settings.Decided(time.Now(), "wake-refused", q.Model, "", err.Error())
			return "", err
		case place.Load:
			l = d
		}
		event.WakeStarted.Log("model", q.Model, "version", q.Version, "upstream", l.Upstream, "tier", l.Tier.String(),
			"needs-grant", l.NeedsGrant, "evictions", len(l.Evict), "class", string(q.Class), "extra", q.Extra)
		w.settings.Decided(time.Now(), "wake", q.Model, l.Upstream, explain(l, q))
		last = w.orderLoad(ctx, l.Upstream, q)
		if last == nil {
			return l.Upstream, nil
		}
		if deadlinePassed(time.Now(), q) {
			return "", last
		}
		excluded[l.Upstream] = true
	}
	return "", last
}

// deadlinePassed reports whether the deadline of q has passed. The load that was
// ordered continues without a waiting request, so another load would only occupy
// memory.
func deadlinePassed(now time.Time, q Request) bool { return !now.Before(q.Deadline) }

// grantHolders returns the upstreams that have a grant for the model version and
// appear usable, those of this daemon's failure domain first. The control stream
// reports a grant before gossip reports the load, so a replica that another
// failure domain has just loaded is found here instead of being loaded twice.
func (w *Waker) grantHolders(q Request) []string {
	var own, other []string
	w.facts.Do(func(m *member.Set) {
		w.control.View(func(l *ctrl.State) {
			for _, h := range l.ModelGrants(nil, q.Model) {
				u := l.Config().Upstream(h.Upstream)
				f, known := m.Get(member.Key{Kind: member.Upstream, Name: h.Upstream})
				if u == nil || h.Version != q.Version || known && f.Status >= member.Leaving {
					continue
				}
				if u.FailureDomain == w.settings.FailureDomain {
					own = append(own, h.Upstream)
				} else {
					other = append(other, h.Upstream)
				}
			}
		})
	})
	return append(own, other...)
}

// orderLoad lets the owner of an upstream load the model.
func (w *Waker) orderLoad(ctx context.Context, upstream string, q Request) error {
	return w.Ensure(ctx, owner.Request{Upstream: upstream, Model: q.Model, Version: q.Version, Class: q.Class, Deadline: q.Deadline})
}

// Ensure sends q to the owner of its upstream, which loads the replica and the
// adapter.
func (w *Waker) Ensure(ctx context.Context, q owner.Request) error {
	var daemon string
	w.control.View(func(l *ctrl.State) {
		o, _ := l.Owner(q.Upstream)
		daemon = o.Daemon
	})
	if daemon == w.settings.Self {
		return w.loader.Load(ctx, q)
	}
	address, ok := w.facts.Address(daemon)
	if !ok {
		return fault.New(fault.UpstreamUnavailable, "the owner of %s is not reachable", q.Upstream)
	}
	r := new(Reply)
	if err := w.caller.Call(ctx, address, "Load", q, r); err != nil {
		return fault.Wrap(err, fault.UpstreamUnavailable, "the owner of %s did not answer", q.Upstream)
	}
	if r.Refusal != nil {
		return r.Refusal
	}
	return nil
}

// decide applies the placement policy to all upstreams of the model.
func (w *Waker) decide(now time.Time, q Request, excluded map[string]bool) place.Decision {
	_, _, logUp := w.control.Status()
	wake := place.Wake{
		Model: q.Model, Version: q.Version, FailureDomain: w.settings.FailureDomain,
		Class: q.Class, LogDown: !logUp,
	}
	var candidates []place.Candidate
	w.facts.Do(func(m *member.Set) {
		w.control.View(func(l *ctrl.State) {
			model := l.Config().Model(q.Model)
			if model == nil {
				return
			}
			bytes, _ := l.Config().ReplicaBytes(q.Model, q.Version)
			wake.Bytes, wake.WeightBytes = bytes, bytes-model.KVBytes
			wake.Replicas, wake.Limit = l.Replicas(q.Model), model.Replicas
			for _, s := range model.Services {
				for _, u := range l.Config().UpstreamsOf(s) {
					candidates = append(candidates, candidate(now, m, l, u, q, excluded))
				}
			}
			// The grant of another version can be replaced on its upstream, so
			// it does not count against the limit.
			for _, h := range l.ModelGrants(nil, q.Model) {
				if h.Version != q.Version {
					wake.Replicas--
				}
			}
		})
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	decision := w.chooser.Choose(now, &wake, candidates)
	if l, ok := decision.(place.Load); ok {
		l.Evict = append([]place.Victim(nil), l.Evict...)
		return l
	}
	return decision
}

// candidate describes an upstream for the placement policy. The owner, which has
// more information, decides about evictions itself.
func candidate(now time.Time, m *member.Set, l *ctrl.State, u *declare.Upstream, q Request, excluded map[string]bool) place.Candidate {
	k := ctrl.GrantKey{Upstream: u.Name, Model: q.Model, Version: q.Version}
	f, known := m.Get(member.Key{Kind: member.Upstream, Name: u.Name})
	load, _ := m.Get(member.Key{Kind: member.UpstreamLoad, Name: u.Name})
	own, owned := l.Owner(u.Name)
	c := place.Candidate{
		Upstream: u.Name, FailureDomain: u.FailureDomain, Tier: place.Remote,
		Unavailable: !owned || own.Resigned || known && f.Status >= member.Leaving,
		Excluded:    excluded[u.Name],
		MemoryBytes: u.MemoryBytes, ReservedBytes: l.ReservedBytes(u.Name),
	}
	_, c.Granted = l.Grant(k)
	name := q.Model + "@" + q.Version
	switch {
	case slices.Contains(f.InMemory, name):
		c.Tier = place.Memory
	case slices.Contains(f.OnDisk, name):
		c.Tier = place.Disk
	}
	loaded := map[ctrl.GrantKey]bool{}
	for _, r := range f.Loaded {
		loaded[ctrl.GrantKey{Upstream: u.Name, Model: r.Model, Version: r.Version}] = true
	}
	c.Present = loaded[k]
	for _, g := range l.UpstreamGrants(nil, u.Name) {
		if g == k {
			continue
		}
		bytes, _ := l.Config().ReplicaBytes(g.Model, g.Version)
		r := place.Resident{
			Model: g.Model, Version: g.Version, Bytes: bytes, Loaded: loaded[g],
			IdleSince: now.Add(-assumedIdleTime), ReloadTime: assumedReloadTime,
			Pinned: l.CheckRelease(g) != ctrl.Accepted,
		}
		if loaded[g] && load.Running+load.Queued >= len(f.Loaded) {
			// Gossip does not report which replica is busy, so all replicas of
			// a busy upstream count as in use.
			r.IdleSince = now
		}
		c.Residents = append(c.Residents, r)
	}
	return c
}
