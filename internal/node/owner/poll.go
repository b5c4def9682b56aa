package owner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/link/engine"
)

// loadSteps is the number of steps between an idle and a full engine in which
// its load is told.
const loadSteps = 4

// Watched returns the engines that this daemon polls: those it owns and those
// assigned to it.
func (o *Owner) Watched() []*declare.Upstream {
	var out []*declare.Upstream
	ros := o.roster()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctl.View(func(l *ctrl.State) {
		assigned := o.assignments(ros, l)
		eachEngine(l, func(d *declare.Upstream) {
			own, ok := l.Owner(d.Name)
			if ok && own.Daemon == o.set.Self || assigned[d.Name] == o.set.Self {
				out = append(out, d)
			}
		})
	})
	return out
}

// poll reads the reports of all watched engines at the same time.
func (o *Owner) poll(ctx context.Context, now time.Time) {
	var wg sync.WaitGroup
	watched := o.Watched()
	defer o.countIdle(now, watched)
	for _, d := range watched {
		wg.Go(func() {
			c, cancel := context.WithTimeout(ctx, o.set.ReportTimeout)
			defer cancel()
			r, err := o.eng.Report(c, d.Address)
			if ctx.Err() == nil {
				o.take(now, d, r, err)
			}
		})
	}
	wg.Wait()
}

// countIdle adds the time since the last poll for each owned engine that has
// replicas loaded and runs nothing.
func (o *Owner) countIdle(now time.Time, watched []*declare.Upstream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since := now.Sub(o.countedAt)
	first := o.countedAt.IsZero()
	o.countedAt = now
	if first {
		return
	}
	for _, d := range watched {
		u := o.unit(d.Name)
		loaded, streams := 0, 0
		for _, rep := range u.replicas {
			if rep.loaded {
				loaded++
				streams += rep.streams
			}
		}
		if loaded > 0 && streams == 0 && u.status < member.Dead {
			o.obs.Idle(since * time.Duration(max(d.Accelerators, 1)))
		}
	}
}

// take records the result of one poll and tells the peers what changed.
func (o *Owner) take(now time.Time, d *declare.Upstream, r engine.Report, err error) {
	var known member.Fact
	o.facts.Do(func(m *member.Set) { known, _ = m.Get(member.Key{Kind: member.Upstream, Name: d.Name}) })
	o.mu.Lock()
	u := o.unit(d.Name)
	if err != nil {
		u.refused++
		if !errors.Is(err, syscall.ECONNREFUSED) {
			u.refused = 0
		}
		if u.failures++; u.failures < o.set.DeadAfter {
			o.mu.Unlock()
			return
		}
		if u.status != member.Dead {
			event.ReportFailed.Log("upstream", d.Name, "polls", u.failures, "err", err)
		}
		u.status = member.Dead
		for _, rep := range u.replicas {
			rep.loaded = false
		}
	} else {
		o.merge(now, u, r, known)
	}
	facts := o.factsOf(u, d)
	o.mu.Unlock()
	o.facts.Report(now, facts...)
}

// merge applies a report; o.mu is held. A report is late, so it does not undo
// an order that ended less than ReportLag ago, unless the engine restarted.
// known is what the peers know: that an engine leaves may come from the host
// list or from a refused request, and a report of the same process that does
// not say so does not undo it. Only a report that said so before does.
func (o *Owner) merge(now time.Time, u *unit, r engine.Report, known member.Fact) {
	restarted := u.report.Incarnation != r.Incarnation
	u.failures, u.refused = 0, 0
	u.settle(r)
	u.status = member.Alive
	sticky := known.Status == member.Leaving && known.Incarnation == fmt.Sprint(r.Incarnation) && !u.report.Leaving
	if r.Leaving || sticky {
		u.status = member.Leaving
	}
	seen := map[ctrl.GrantKey]bool{}
	for _, m := range r.Replicas {
		k := ctrl.GrantKey{Upstream: u.name, Model: m.Model, Version: m.Version}
		rep := u.replica(now, k)
		seen[k] = true
		if rep.streams = m.Streams; rep.streams > 0 {
			rep.idleSince = now
		}
		if !restarted && now.Sub(rep.changed) < o.set.ReportLag {
			continue
		}
		ready := m.State == engine.Ready
		if ready && !rep.loaded {
			rep.idleSince = now
		}
		rep.loaded = ready
		for _, a := range m.Adapters {
			if _, ok := rep.adapters[a]; !ok {
				rep.adapters[a] = now
			}
		}
		for a := range rep.adapters {
			if !slices.Contains(m.Adapters, a) {
				delete(rep.adapters, a)
			}
		}
	}
	for k, rep := range u.replicas {
		if !seen[k] && (restarted || now.Sub(rep.changed) >= o.set.ReportLag) {
			rep.loaded, rep.streams = false, 0
			clear(rep.adapters)
		}
	}
	u.report = r
}

// factsOf returns what peers are told about an upstream; o.mu is held.
func (o *Owner) factsOf(u *unit, d *declare.Upstream) []member.Fact {
	f := member.Fact{
		Kind: member.Upstream, Name: u.name, Domain: d.FailureDomain,
		Status: u.status, Incarnation: fmt.Sprint(u.report.Incarnation),
	}
	for k, rep := range u.replicas {
		if !rep.loaded || rep.hidden || u.status == member.Dead {
			continue
		}
		r := member.Replica{Model: k.Model, Version: k.Version}
		for a := range rep.adapters {
			r.Adapters = append(r.Adapters, a)
		}
		sort.Strings(r.Adapters)
		f.Loaded = append(f.Loaded, r)
	}
	for _, c := range u.report.Checkpoints {
		switch c.Tier {
		case engine.InMemory:
			f.InMemory = append(f.InMemory, c.Model+"@"+c.Version)
		case engine.OnDisk:
			f.OnDisk = append(f.OnDisk, c.Model+"@"+c.Version)
		case engine.Remote:
		}
	}
	sort.Strings(f.InMemory)
	sort.Strings(f.OnDisk)
	sort.Slice(f.Loaded, func(i, j int) bool {
		a, b := f.Loaded[i], f.Loaded[j]
		return a.Model < b.Model || a.Model == b.Model && a.Version < b.Version
	})
	return []member.Fact{f, u.load(d)}
}

// load returns the load that peers are told. It changes only if the new one is
// notably different, because at the target the load of all engines of a failure
// domain in each second would exceed the control traffic of a daemon.
func (u *unit) load(d *declare.Upstream) member.Fact {
	sequences := d.Sequences
	if sequences == 0 {
		sequences = declare.DefaultSequences
	}
	old, now := u.told.Running+u.told.Queued, u.report.Running+u.report.Queued
	notable := max(old-now, now-old) >= max(sequences/loadSteps, 1) || (old == 0) != (now == 0) ||
		(old >= sequences) != (now >= sequences) || u.told.Status != u.status
	if notable {
		u.told = member.Fact{
			Kind: member.UpstreamLoad, Name: u.name, Domain: d.FailureDomain, Status: u.status,
			Running: u.report.Running, Queued: u.report.Queued,
		}
	}
	return u.told
}

// publish tells the peers about an upstream after an order.
func (o *Owner) publish(now time.Time, d *declare.Upstream) {
	o.mu.Lock()
	facts := o.factsOf(o.unit(d.Name), d)
	o.mu.Unlock()
	o.facts.Report(now, facts...)
}
