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

	// Loader is the daemon's own owner.
	Loader interface {
		Load(ctx context.Context, q owner.Request) error
	}

	// Request asks for one more replica of a model version.
	Request struct {
		Model    string
		Version  string
		Class    declare.Class
		Deadline time.Time
		// Extra is set if replicas are loaded but all busy.
		Extra bool
	}

	// Reply is the answer to a Wake or Load call between daemons.
	Reply struct {
		Upstream string
		Refusal  *fault.Fault
	}

	// Settings of a Waker. Zero fields stand for the defaults.
	Settings struct {
		Self          string
		FailureDomain string
		// CallTimeout bounds a wake beyond the deadlines of the requests
		// that wait for it; default 5 min.
		CallTimeout time.Duration
		// Decided, if not nil, hears of each placement decision.
		Decided func(now time.Time, what, model, upstream, why string)
	}

	// Waker coordinates wakes.
	Waker struct {
		set     Settings
		ctl     Control
		facts   Facts
		caller  Caller
		loader  Loader
		chooser *place.Chooser

		mu    sync.Mutex
		calls map[key]*call
	}

	key struct {
		model, version string
		extra          bool
	}

	call struct {
		done     chan struct{}
		deadline time.Time
		upstream string
		err      error
	}
)

// attempts bounds the upstreams that one wake tries.
const attempts = 5

// New returns a Waker.
func New(s Settings, ctl Control, f Facts, c Caller, l Loader) *Waker {
	if s.CallTimeout == 0 {
		s.CallTimeout = 5 * time.Minute
	}
	if s.Decided == nil {
		s.Decided = func(time.Time, string, string, string, string) {}
	}
	return &Waker{
		set: s, ctl: ctl, facts: f, caller: c, loader: l,
		chooser: place.New(place.Settings{}), calls: map[key]*call{},
	}
}

// Wake returns the upstream that has loaded the model version. It asks the
// coordinator of the failure domain. It fails with a *fault.Fault.
func (w *Waker) Wake(ctx context.Context, q Request) (string, error) {
	coordinator := hrw.Best("wake/"+q.Model, w.facts.Live(w.set.FailureDomain))
	if coordinator == "" || coordinator == w.set.Self {
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

// Coordinate is Wake on the coordinator itself. Calls for the same model
// version are joined; one that ends at the deadline of its first caller is
// continued for callers with a later one.
func (w *Waker) Coordinate(ctx context.Context, q Request) (string, error) {
	for {
		c := w.join(ctx, q)
		select {
		case <-c.done:
			if c.err == nil || !c.deadline.Before(q.Deadline) || fault.Of(c.err).Kind != fault.DeadlineUnreachable {
				return c.upstream, c.err
			}
		case <-ctx.Done():
			return "", fault.New(fault.DeadlineUnreachable, "the load of %s did not end in time", q.Model)
		}
	}
}

// join returns the call for q's model version, started if there is none.
func (w *Waker) join(ctx context.Context, q Request) *call {
	k := key{q.Model, q.Version, q.Extra}
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.calls[k]
	if c == nil {
		c = &call{done: make(chan struct{}), deadline: q.Deadline}
		w.calls[k] = c
		go w.run(context.WithoutCancel(ctx), k, q, c)
	}
	return c
}

func (w *Waker) run(ctx context.Context, k key, q Request, c *call) {
	ctx, cancel := context.WithTimeout(ctx, w.set.CallTimeout)
	defer cancel()
	c.upstream, c.err = w.load(ctx, q)
	w.mu.Lock()
	delete(w.calls, k)
	w.mu.Unlock()
	close(c.done)
}

// load tries upstreams in the order of the placement policy.
func (w *Waker) load(ctx context.Context, q Request) (string, error) {
	excluded := map[string]bool{}
	var last error
	if !q.Extra {
		for _, up := range w.holders(q) {
			event.WakeStarted.Log("model", q.Model, "version", q.Version, "upstream", up, "tier", "granted",
				"needs-grant", false, "evictions", 0, "class", string(q.Class), "extra", false)
			w.set.Decided(time.Now(), "wake", q.Model, up, "has the grant already")
			if last = w.order(ctx, up, q); last == nil {
				return up, nil
			}
			if passed(time.Now(), q) {
				return "", last
			}
			excluded[up] = true
		}
	}
	for range attempts {
		dec := w.decide(time.Now(), q, excluded)
		var l place.Load
		switch d := dec.(type) {
		case place.Refuse:
			err := last
			if err == nil {
				err = refusal(d, q)
			}
			event.WakeRefused.Log("model", q.Model, "version", q.Version, "reason", string(d.Reason), "err", err)
			w.set.Decided(time.Now(), "wake-refused", q.Model, "", err.Error())
			return "", err
		case place.Load:
			l = d
		}
		event.WakeStarted.Log("model", q.Model, "version", q.Version, "upstream", l.Upstream, "tier", l.Tier.String(),
			"needs-grant", l.NeedsGrant, "evictions", len(l.Evict), "class", string(q.Class), "extra", q.Extra)
		w.set.Decided(time.Now(), "wake", q.Model, l.Upstream, why(l, q))
		last = w.order(ctx, l.Upstream, q)
		if last == nil {
			return l.Upstream, nil
		}
		if passed(time.Now(), q) {
			return "", last
		}
		excluded[l.Upstream] = true
	}
	return "", last
}

// passed reports whether the deadline of q has come. The load that was ordered
// goes on without a waiting request, so another one would only take memory.
func passed(now time.Time, q Request) bool { return !now.Before(q.Deadline) }

// holders returns the upstreams that have a grant for the model version and
// seem usable, those of the own failure domain first. The control stream tells
// of a grant sooner than the peers' news tell of the load, so a replica that
// another failure domain has just loaded is found here instead of being loaded
// twice.
func (w *Waker) holders(q Request) []string {
	var own, other []string
	w.facts.Do(func(m *member.Set) {
		w.ctl.View(func(l *ctrl.State) {
			for _, h := range l.ModelGrants(nil, q.Model) {
				u := l.Config().Upstream(h.Upstream)
				f, known := m.Get(member.Key{Kind: member.Upstream, Name: h.Upstream})
				if u == nil || h.Version != q.Version || known && f.Status >= member.Leaving {
					continue
				}
				if u.FailureDomain == w.set.FailureDomain {
					own = append(own, h.Upstream)
				} else {
					other = append(other, h.Upstream)
				}
			}
		})
	})
	return append(own, other...)
}

// order has the owner of an upstream load the model.
func (w *Waker) order(ctx context.Context, upstream string, q Request) error {
	return w.Ensure(ctx, owner.Request{Upstream: upstream, Model: q.Model, Version: q.Version, Class: q.Class, Deadline: q.Deadline})
}

// Ensure has the owner of an upstream load a replica and adapter.
func (w *Waker) Ensure(ctx context.Context, q owner.Request) error {
	var daemon string
	w.ctl.View(func(l *ctrl.State) {
		o, _ := l.Owner(q.Upstream)
		daemon = o.Daemon
	})
	if daemon == w.set.Self {
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

// decide asks the placement policy about all upstreams of the model.
func (w *Waker) decide(now time.Time, q Request, excluded map[string]bool) place.Decision {
	_, _, logUp := w.ctl.Status()
	wk := place.Wake{
		Model: q.Model, Version: q.Version, FailureDomain: w.set.FailureDomain,
		Class: q.Class, LogDown: !logUp,
	}
	var cands []place.Candidate
	w.facts.Do(func(m *member.Set) {
		w.ctl.View(func(l *ctrl.State) {
			model := l.Config().Model(q.Model)
			if model == nil {
				return
			}
			bytes, _ := l.Config().ReplicaBytes(q.Model, q.Version)
			wk.Bytes, wk.WeightBytes = bytes, bytes-model.KVBytes
			wk.Replicas, wk.Limit = l.Replicas(q.Model), model.Replicas
			for _, s := range model.Services {
				for _, u := range l.Config().UpstreamsOf(s) {
					cands = append(cands, candidate(now, m, l, u, q, excluded))
				}
			}
			// The grant of another version can be replaced where it is, so it
			// does not count against the limit.
			for _, h := range l.ModelGrants(nil, q.Model) {
				if h.Version != q.Version {
					wk.Replicas--
				}
			}
		})
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	dec := w.chooser.Choose(now, &wk, cands)
	if l, ok := dec.(place.Load); ok {
		l.Evict = append([]place.Victim(nil), l.Evict...)
		return l
	}
	return dec
}

// candidate describes an upstream to the placement policy. The owner, which
// knows more about it, decides about evictions itself.
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
			IdleSince: now.Add(-time.Minute), ReloadTime: 5 * time.Second,
			Pinned: l.CheckRelease(g) != ctrl.Accepted,
		}
		if loaded[g] && load.Running+load.Queued >= len(f.Loaded) {
			// The peers' news do not say which replica is busy, so a busy
			// upstream counts as less suitable.
			r.IdleSince = now
		}
		c.Residents = append(c.Residents, r)
	}
	return c
}
