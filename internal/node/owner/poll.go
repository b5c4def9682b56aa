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
	"github.com/azurespan/azurespan/internal/core/ledger"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/link/engine"
)

// watched returns the engines that this daemon polls: those it owns and those
// assigned to it.
func (o *Owner) watched() []*declare.Upstream {
	var out []*declare.Upstream
	ros := o.roster()
	o.ctl.View(func(l *ledger.Ledger) {
		ups := l.Config().Deployment.Upstreams
		for i := range ups {
			d := &ups[i]
			if s := l.Config().Service(d.Service); s == nil || s.Kind != declare.ModelService {
				continue
			}
			own, ok := l.Owner(d.Name)
			if ok && own.Daemon == o.set.Self || ros.assigned(d) == o.set.Self {
				out = append(out, d)
			}
		}
	})
	return out
}

// poll reads the reports of all watched engines at the same time.
func (o *Owner) poll(ctx context.Context, now time.Time) {
	var wg sync.WaitGroup
	for _, d := range o.watched() {
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

// take records the result of one poll and tells the peers what changed.
func (o *Owner) take(now time.Time, d *declare.Upstream, r engine.Report, err error) {
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
		o.merge(now, u, r)
	}
	facts := o.factsOf(u, d)
	o.mu.Unlock()
	o.facts.Report(now, facts...)
}

// merge applies a report; o.mu is held. A report is late, so it does not undo
// an order that ended less than ReportLag ago, unless the engine restarted.
func (o *Owner) merge(now time.Time, u *unit, r engine.Report) {
	restarted := u.report.Incarnation != r.Incarnation
	u.failures, u.refused = 0, 0
	u.status = member.Alive
	if r.Leaving {
		u.status = member.Leaving
	}
	seen := map[ledger.Key]bool{}
	for _, m := range r.Replicas {
		k := ledger.Key{Upstream: u.name, Model: m.Model, Version: m.Version}
		rep := u.replica(now, k)
		seen[k] = true
		if rep.streams = m.Streams; rep.streams > 0 {
			rep.idleSince = now
			o.idle.Used(now, k)
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
	load := member.Fact{
		Kind: member.Load, Name: u.name, Domain: d.FailureDomain, Status: u.status,
		Running: u.report.Running, Queued: u.report.Queued,
	}
	return []member.Fact{f, load}
}

// publish tells the peers about an upstream after an order.
func (o *Owner) publish(now time.Time, d *declare.Upstream) {
	o.mu.Lock()
	facts := o.factsOf(o.unit(d.Name), d)
	o.mu.Unlock()
	o.facts.Report(now, facts...)
}

// unloadIdle unloads replicas that the idle policy gives up, and removes
// grants that the configuration no longer allows.
func (o *Owner) unloadIdle(ctx context.Context, now time.Time) {
	type job struct {
		k       ledger.Key
		surplus bool
	}
	var jobs []job
	o.mu.Lock()
	o.ctl.View(func(l *ledger.Ledger) {
		for _, u := range o.units {
			own, ok := l.Owner(u.name)
			if !ok || own.Daemon != o.set.Self || own.Resigned || u.busy {
				continue
			}
			noProcess := u.refused >= o.set.DeadAfter
			if u.status == member.Dead && !noProcess {
				continue
			}
			for _, k := range l.GrantsOf(nil, u.name) {
				// What an ended process had loaded is gone, and another
				// upstream may need the grant.
				surplus := noProcess || l.Surplus(k)
				m := l.Config().Model(k.Model)
				rep := u.replicas[k]
				idle := rep != nil && rep.loaded && rep.streams == 0 && u.loads[k] == nil
				old := m != nil && m.Version != k.Version && (rep == nil || rep.streams == 0)
				if surplus || old || idle && m != nil && o.idle.Unload(now, m, k, rep.idleSince) {
					jobs = append(jobs, job{k, surplus || old})
				}
			}
		}
	})
	for _, j := range jobs {
		o.units[j.k.Upstream].busy = true
	}
	o.mu.Unlock()
	for _, j := range jobs {
		go func() {
			err := o.evict(ctx, j.k, j.surplus)
			o.mu.Lock()
			o.units[j.k.Upstream].busy = false
			o.mu.Unlock()
			var be *engine.Error
			if err != nil && !errors.As(err, &be) {
				event.UnloadFailed.Log("upstream", j.k.Upstream, "model", j.k.Model, "version", j.k.Version, "err", err)
			}
		}()
	}
}
