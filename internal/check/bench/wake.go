package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/rule/idle"
	"github.com/azurespan/azurespan/internal/rule/pacer"
	"github.com/azurespan/azurespan/internal/rule/place"
	"github.com/azurespan/azurespan/internal/rule/route"
)

const (
	// crossDomainTicks is the number of ticks between two exchanges of pacer
	// status between failure domains.
	crossDomainTicks = 4
	pollInterval     = 50 * time.Millisecond
	// scaleServiceTime is the mean service time that scaleUp assumes.
	scaleServiceTime = 5 * time.Second
)

// choosePlacement asks the chooser where to load a model, on behalf of daemon d. j
// is the request that waits for the load, or nil if the load is not tied to one.
func (p *azurespanPolicy) choosePlacement(model int, j *job, d *daemon) place.Decision {
	w := p.w
	spec := &w.fleet.models[model]
	q := place.Wake{
		Model: spec.Name, Version: "1", WeightBytes: spec.weightBytes, Bytes: spec.memoryBytes, Replicas: w.grantCount(model), Limit: spec.Replicas,
		FailureDomain: d.domain, Class: declare.Background, LogDown: w.logDown,
	}
	if j != nil {
		q.Class = j.Class
		q.Deadline = epoch.Add(j.deadline - minServiceTime(&j.Request))
	}
	q.StoreWait = d.pacer.EstimateWait(w.time(), q.Class == declare.Urgent)
	var candidates []place.Candidate
	for _, e := range w.engines {
		c := place.Candidate{
			Upstream: p.engineNames[e.id], FailureDomain: w.fleet.deployment.Domains[e.domain], Unavailable: e.lost, Tier: place.Tier(e.tiers[model]),
			MemoryBytes: engineMemoryBytes, ReservedBytes: e.reservedBytes, Granted: e.grants[model], Present: e.replicas[model] != nil, PendingLoads: e.pendingLoads,
		}
		for k := range w.fleet.models {
			if k == model || !e.grants[k] {
				continue
			}
			r := place.Resident{Model: p.modelNames[k], Version: "1", Bytes: w.fleet.models[k].memoryBytes, ReloadTime: w.fleet.models[k].loadTime(tierHostMemory)}
			if rep := e.replicas[k]; rep != nil {
				r.Loaded, r.Active, r.IdleSince = true, rep.running, epoch.Add(rep.idleSince)
				r.Pinned = !rep.loaded || w.openByModel[k] > 0 && p.loadedReplicas(k) == 1
			}
			c.Residents = append(c.Residents, r)
		}
		candidates = append(candidates, c)
	}
	return p.chooser.Choose(w.time(), &q, candidates)
}

// loadedReplicas returns the number of loaded replicas of a model.
func (p *azurespanPolicy) loadedReplicas(model int) (n int) {
	for _, e := range p.w.engines {
		if r := e.replicas[model]; r != nil && r.loaded {
			n++
		}
	}
	return n
}

// executeLoad carries out the decision to load a model: it unloads the evicted
// models, reserves the memory and starts the load.
func (p *azurespanPolicy) executeLoad(model int, l place.Load) {
	w := p.w
	e := w.engines[slices.Index(p.engineNames, l.Upstream)]
	delay := time.Duration(0)
	for _, v := range l.Evict {
		k := slices.Index(p.modelNames, v.Model)
		if r := e.replicas[k]; r != nil {
			p.unload(r)
			delay = unloadTime
		}
		w.release(e, k)
	}
	if l.NeedsGrant {
		delay += logAppendTime
		if w.grantCount(model) >= w.fleet.models[model].Replicas {
			panic("bench: replica limit exceeded")
		}
		w.grant(e, model)
	}
	r := w.startLoad(e, model, func(begin func(), remote bool) {
		if !remote {
			w.after(delay, begin)
			return
		}
		p.nextLoadID++
		id := p.nextLoadID
		p.pendingStarts[id] = begin
		w.after(delay, func() {
			p.ownerOf(e).pacer.Enqueue(pacer.Load{ID: id, Class: declare.Urgent, Bytes: w.fleet.models[model].weightBytes})
			p.pollPacers()
		})
	})
	if p.expectedReady[model] == nil {
		p.expectedReady[model] = map[*replica]time.Duration{}
	}
	p.expectedReady[model][r] = w.now + l.ReadyIn
	r.loadID = p.nextLoadID
	if e.tiers[model] != tierRemote {
		r.loadID = 0
	}
}

// pollPacers starts the remote loads that the pacers allow, and schedules another
// poll while any load waits.
func (p *azurespanPolicy) pollPacers() {
	for _, d := range p.daemons {
		for {
			l, ok := d.pacer.Next(p.w.time())
			if !ok {
				break
			}
			p.pendingStarts[l.ID]()
			delete(p.pendingStarts, l.ID)
		}
	}
	if len(p.pendingStarts) > 0 && !p.pollScheduled {
		p.pollScheduled = true
		p.w.after(pollInterval, func() {
			p.pollScheduled = false
			p.pollPacers()
		})
	}
}

// replicaReady reports the end of a remote load to the pacer and the new replica to
// the daemons, after the latency to those in other failure domains.
func (p *azurespanPolicy) replicaReady(r *replica) {
	delete(p.expectedReady[r.model], r)
	if r.loadID != 0 {
		p.ownerOf(r.engine).pacer.Finish(p.w.time(), r.loadID, true)
		p.pollPacers()
	}
	for _, d := range p.daemons {
		delay := p.w.fleet.deployment.Latency
		if d.domain == p.w.fleet.deployment.Domains[r.engine.domain] {
			delay = 0
		}
		p.w.after(delay, func() {
			if r.removed {
				return
			}
			d.table.MarkLoaded(p.w.time(), p.engineNames[r.engine.id], p.w.fleet.deployment.Domains[r.engine.domain], p.modelNames[r.model], "1")
			p.dispatch(d, r.model)
			p.scheduleExpiry(d)
		})
	}
}

// unload unloads r and removes it from the routing tables.
func (p *azurespanPolicy) unload(r *replica) {
	p.w.unload(r)
	for _, d := range p.daemons {
		d.table.MarkUnloaded(p.w.time(), p.engineNames[r.engine.id], p.modelNames[r.model], "1")
	}
}

// tick delivers engine reports and pacer status, loads further replicas, loads
// models ahead of requests and unloads idle replicas.
func (p *azurespanPolicy) tick() {
	w := p.w
	p.ticks++
	for _, e := range w.engines {
		if e.lost || len(e.replicas) == 0 && p.reportedEmpty[e.id] {
			continue
		}
		p.reportedEmpty[e.id] = len(e.replicas) == 0
		report := route.Report{
			Upstream: p.engineNames[e.id], FailureDomain: w.fleet.deployment.Domains[e.domain], Incarnation: "1", At: w.time(),
			Sequences: engineSequences, Running: e.running, Queued: len(e.queue),
		}
		for k := range p.modelNames {
			if r := e.replicas[k]; r != nil && r.loaded {
				report.Models = append(report.Models, route.LoadedModel{Model: p.modelNames[k], Version: "1"})
			}
		}
		for _, d := range p.daemons {
			d.table.SetReport(report)
		}
	}
	for _, d := range p.daemons {
		for _, o := range p.daemons {
			if o.domain == d.domain || p.ticks%crossDomainTicks == 0 {
				d.pacer.MarkReachable(w.time(), o.domain)
				d.pacer.SetPeerStatus(w.time(), o.pacer.Status(w.time()))
			}
		}
	}
	if w.openJobs > 0 {
		p.scaleUp()
	}
	for m := range p.modelNames {
		p.reviewReplicas(m)
	}
}

// scaleUp dispatches queued requests and loads the further replicas that the
// remaining backlog justifies.
func (p *azurespanPolicy) scaleUp() {
	for m := range p.modelNames {
		if p.w.openByModel[m] == 0 {
			continue
		}
		waiting := 0
		var noJob *job // a load for the backlog is not tied to one request
		var requester *daemon
		for _, d := range p.daemons {
			p.dispatch(d, m)
			urgent, background := d.queue.Waiting(p.modelNames[m])
			waiting += urgent + background
			if urgent+background > 0 {
				requester = d
			}
		}
		if waiting == 0 {
			continue
		}
		have := p.loadedReplicas(m) + len(p.expectedReady[m])
		spec := &p.w.fleet.models[m]
		want := place.JustifiedReplicas(place.Backlog{
			Waiting: p.w.openByModel[m], ServiceTime: scaleServiceTime, Sequences: engineSequences, LoadTime: spec.loadTime(p.w.nearestTier(m)),
			Limit: spec.Replicas, ColdStartWeight: p.w.fleet.deployment.ColdStartWeight,
		})
		for ; have < want; have++ {
			l, ok := p.choosePlacement(m, noJob, requester).(place.Load)
			if !ok {
				break
			}
			p.executeLoad(m, l)
		}
	}
}

// reviewReplicas unloads idle replicas of a model. If there is no replica, it loads
// one when the idle policy expects requests soon.
func (p *azurespanPolicy) reviewReplicas(m int) {
	w := p.w
	spec := &w.fleet.models[m]
	var reps []*replica
	for _, e := range w.engines {
		if r := e.replicas[m]; r != nil && r.loaded {
			reps = append(reps, r)
		}
	}
	if len(reps) == 0 {
		if len(p.expectedReady[m]) == 0 && w.openByModel[m] == 0 {
			if _, due := p.idlePolicy.PrewakeDue(w.time(), &spec.Model, spec.loadTime(w.nearestTier(m))); due {
				if l, ok := p.choosePlacement(m, nil, p.daemons[0]).(place.Load); ok {
					p.executeLoad(m, l)
				}
			}
		}
		return
	}
	p.unloadIdle(m, reps)
}

// unloadIdle asks the idle policy about each replica of a model that runs nothing,
// and schedules another review for when a decision to keep a replica ends. The
// replica that has been idle longest comes first and has the highest rank.
func (p *azurespanPolicy) unloadIdle(m int, reps []*replica) {
	w := p.w
	slices.SortFunc(reps, func(a, b *replica) int { return cmp.Compare(a.idleSince, b.idleSince) })
	spec := &w.fleet.models[m]
	n := len(reps)
	for _, r := range reps {
		if r.running > 0 {
			continue
		}
		q := idle.Replica{Model: &spec.Model, Rank: n - 1, Replicas: n, IdleSince: epoch.Add(r.idleSince), LoadTime: spec.loadTime(tierHostMemory)}
		if n == 1 {
			q.Active = w.openByModel[m]
		}
		switch v := p.idlePolicy.Decide(w.time(), q).(type) {
		case idle.Unload:
			p.unload(r)
			n--
		case idle.Keep:
			if at := v.Until.Sub(epoch); at < p.nextIdleCheck[m] || p.nextIdleCheck[m] <= w.now {
				p.nextIdleCheck[m] = at
				w.after(at-w.now, func() { p.reviewReplicas(m) })
			}
		}
	}
}
