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

// advertisedLoadSteps is the number of steps between an idle and a full engine
// in which its load is reported to peers.
const advertisedLoadSteps = 4

// Watched returns the engines that this daemon polls: those that it owns and
// those that are assigned to it.
func (o *Owner) Watched() []*declare.Upstream {
	var out []*declare.Upstream
	daemons := o.liveness()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.control.View(func(state *ctrl.State) {
		assigned := o.assignments(daemons, state)
		eachEngine(state, func(d *declare.Upstream) {
			own, ok := state.Owner(d.Name)
			if ok && own.Daemon == o.settings.Self || assigned[d.Name] == o.settings.Self {
				out = append(out, d)
			}
		})
	})
	return out
}

// poll reads the reports of all watched engines concurrently.
func (o *Owner) poll(ctx context.Context, now time.Time) {
	var wg sync.WaitGroup
	watched := o.Watched()
	defer o.observeIdleTime(now, watched)
	for _, d := range watched {
		wg.Go(func() {
			c, cancel := context.WithTimeout(ctx, o.settings.ReportTimeout)
			defer cancel()
			r, err := o.engines.Report(c, d.Address)
			if ctx.Err() == nil {
				o.recordPoll(now, d, r, err)
			}
		})
	}
	wg.Wait()
}

// observeIdleTime adds the time since the last poll to the idle time of each
// watched engine that has replicas loaded and no stream in progress.
func (o *Owner) observeIdleTime(now time.Time, watched []*declare.Upstream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since := now.Sub(o.idleCountedAt)
	first := o.idleCountedAt.IsZero()
	o.idleCountedAt = now
	if first {
		return
	}
	for _, d := range watched {
		u := o.upstream(d.Name)
		loaded, streams := 0, 0
		for _, rep := range u.replicas {
			if rep.loaded {
				loaded++
				streams += rep.streams
			}
		}
		if loaded > 0 && streams == 0 && u.status < member.Dead {
			o.observer.Idle(since * time.Duration(max(d.Accelerators, 1)))
		}
	}
}

// recordPoll records the result of one poll and reports it to the peers.
func (o *Owner) recordPoll(now time.Time, d *declare.Upstream, r engine.Report, err error) {
	var known member.Fact
	o.facts.Do(func(m *member.Set) { known, _ = m.Get(member.Key{Kind: member.Upstream, Name: d.Name}) })
	o.mu.Lock()
	u := o.upstream(d.Name)
	if err != nil {
		u.refusedPolls++
		if !errors.Is(err, syscall.ECONNREFUSED) {
			u.refusedPolls = 0
		}
		if u.failedPolls++; u.failedPolls < o.settings.DeadAfter {
			o.mu.Unlock()
			return
		}
		if u.status != member.Dead {
			event.ReportFailed.Log("upstream", d.Name, "polls", u.failedPolls, "err", err)
		}
		u.status = member.Dead
		for _, rep := range u.replicas {
			rep.loaded = false
		}
	} else {
		o.applyReport(now, u, r, known)
	}
	facts := o.upstreamFacts(u, d)
	o.mu.Unlock()
	o.facts.Report(now, facts...)
}

// applyReport applies an engine's report. Reports lag, so a report does not
// override the effect of an order that ended less than ReportLag ago, unless
// the engine has restarted.
//
// known is the fact that the peers have about the upstream. It may have the
// status leaving because of the host list or a refused request. A report of the
// same process without that status then does not reset it, unless the previous
// report had the status. o.mu must be held.
func (o *Owner) applyReport(now time.Time, u *upstreamState, r engine.Report, known member.Fact) {
	restarted := u.report.Incarnation != r.Incarnation
	u.failedPolls, u.refusedPolls = 0, 0
	u.resolveUnanswered(r)
	u.status = member.Alive
	leavingByPeers := known.Status == member.Leaving && known.Incarnation == fmt.Sprint(r.Incarnation) && !u.report.Leaving
	if r.Leaving || leavingByPeers {
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
		if !restarted && now.Sub(rep.changedAt) < o.settings.ReportLag {
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
		if !seen[k] && (restarted || now.Sub(rep.changedAt) >= o.settings.ReportLag) {
			rep.loaded, rep.streams = false, 0
			clear(rep.adapters)
		}
	}
	u.report = r
}

// upstreamFacts returns the facts about an upstream that are reported to peers.
// o.mu must be held.
func (o *Owner) upstreamFacts(u *upstreamState, d *declare.Upstream) []member.Fact {
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
	return []member.Fact{f, u.loadFact(d)}
}

// loadFact returns the load that is reported to peers. It changes only if the
// load has changed by a step, has become or ceased to be zero or full, or the
// status has changed: at the target size, reporting the load of all engines of
// a failure domain in each second would exceed a daemon's limit on control
// traffic. Owner.mu must be held.
func (u *upstreamState) loadFact(d *declare.Upstream) member.Fact {
	sequences := d.Sequences
	if sequences == 0 {
		sequences = declare.DefaultSequences
	}
	old, current := u.advertisedLoad.Running+u.advertisedLoad.Queued, u.report.Running+u.report.Queued
	changed := max(old-current, current-old) >= max(sequences/advertisedLoadSteps, 1) || (old == 0) != (current == 0) ||
		(old >= sequences) != (current >= sequences) || u.advertisedLoad.Status != u.status
	if changed {
		u.advertisedLoad = member.Fact{
			Kind: member.UpstreamLoad, Name: u.name, Domain: d.FailureDomain, Status: u.status,
			Running: u.report.Running, Queued: u.report.Queued,
		}
	}
	return u.advertisedLoad
}

// reportUpstream reports an upstream to the peers after an order.
func (o *Owner) reportUpstream(now time.Time, d *declare.Upstream) {
	o.mu.Lock()
	facts := o.upstreamFacts(o.upstream(d.Name), d)
	o.mu.Unlock()
	o.facts.Report(now, facts...)
}
