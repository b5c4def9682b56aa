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

// choose asks for a placement of model. j is the request that waits, nil for
// a load ahead of requests.
func (s *span) choose(model int, j *job, d *daemon) place.Decision {
	w := s.w
	spec := &w.f.models[model]
	q := place.Wake{
		Model: spec.Name, Version: "1", WeightBytes: spec.weight, Bytes: spec.bytes, Replicas: w.grantsOf(model), Limit: spec.Replicas,
		FailureDomain: d.domain, Class: declare.Background, LogDown: w.logDown,
	}
	if j != nil {
		q.Class = j.Class
		q.Deadline = epoch.Add(j.deadline - least(&j.Request))
	}
	q.StoreWait = d.pacer.EstimateWait(w.time(), q.Class == declare.Urgent)
	var cands []place.Candidate
	for _, e := range w.engines {
		c := place.Candidate{
			Upstream: s.engines[e.id], FailureDomain: w.f.size.Domains[e.domain], Unavailable: e.lost, Tier: place.Tier(e.tiers[model]),
			MemoryBytes: engineMemory, ReservedBytes: e.reserved, Granted: e.grants[model], Present: e.reps[model] != nil, PendingLoads: e.pending,
		}
		for k := range w.f.models {
			if k == model || !e.grants[k] {
				continue
			}
			r := place.Resident{Model: s.names[k], Version: "1", Bytes: w.f.models[k].bytes, ReloadTime: w.f.models[k].loads(0)}
			if rep := e.reps[k]; rep != nil {
				r.Loaded, r.Active, r.IdleSince = true, rep.running, epoch.Add(rep.since)
				r.Pinned = !rep.loaded || w.busy[k] > 0 && s.replicas(k) == 1
			}
			c.Residents = append(c.Residents, r)
		}
		cands = append(cands, c)
	}
	return s.chooser.Choose(w.time(), &q, cands)
}

func (s *span) replicas(model int) (n int) {
	for _, e := range s.w.engines {
		if r := e.reps[model]; r != nil && r.loaded {
			n++
		}
	}
	return n
}

// order carries out a Load.
func (s *span) order(model int, l place.Load) {
	w := s.w
	e := w.engines[slices.Index(s.engines, l.Upstream)]
	delay := time.Duration(0)
	for _, v := range l.Evict {
		k := slices.Index(s.names, v.Model)
		if r := e.reps[k]; r != nil {
			s.unload(r)
			delay = unloadTime
		}
		w.release(e, k)
	}
	if l.NeedsGrant {
		delay += appendTime
		if w.grantsOf(model) >= w.f.models[model].Replicas {
			panic("bench: replica limit exceeded")
		}
		w.grant(e, model)
	}
	r := w.load(e, model, func(begin func(), remote bool) {
		if !remote {
			w.after(delay, begin)
			return
		}
		s.nextID++
		id := s.nextID
		s.begins[id] = begin
		w.after(delay, func() {
			s.owner(e).pacer.Enqueue(pacer.Load{ID: id, Class: declare.Urgent, Bytes: w.f.models[model].weight})
			s.poll()
		})
	})
	if s.loading[model] == nil {
		s.loading[model] = map[*replica]time.Duration{}
	}
	s.loading[model][r] = w.now + l.ReadyIn
	r.transfer = s.nextID
	if e.tiers[model] != 2 {
		r.transfer = 0
	}
}

// poll starts the remote loads that the pacers allow, and comes back while any
// wait.
func (s *span) poll() {
	for _, d := range s.daemons {
		for {
			l, ok := d.pacer.Next(s.w.time())
			if !ok {
				break
			}
			s.begins[l.ID]()
			delete(s.begins, l.ID)
		}
	}
	if len(s.begins) > 0 && !s.polling {
		s.polling = true
		s.w.after(50*time.Millisecond, func() {
			s.polling = false
			s.poll()
		})
	}
}

func (s *span) ready(r *replica) {
	delete(s.loading[r.model], r)
	if r.transfer != 0 {
		s.owner(r.eng).pacer.Finish(s.w.time(), r.transfer, true)
		s.poll()
	}
	for _, d := range s.daemons {
		delay := s.w.f.size.Latency
		if d.domain == s.w.f.size.Domains[r.eng.domain] {
			delay = 0
		}
		s.w.after(delay, func() {
			if r.gone {
				return
			}
			d.table.MarkLoaded(s.w.time(), s.engines[r.eng.id], s.w.f.size.Domains[r.eng.domain], s.names[r.model], "1")
			s.dispatch(d, r.model)
			s.arm(d)
		})
	}
}

func (s *span) unload(r *replica) {
	s.w.unload(r)
	for _, d := range s.daemons {
		d.table.MarkUnloaded(s.w.time(), s.engines[r.eng.id], s.names[r.model], "1")
	}
}

// tick runs once a second: reports, news, further replicas, prewakes, unloads.
func (s *span) tick() {
	w := s.w
	s.ticks++
	for _, e := range w.engines {
		if e.lost || len(e.reps) == 0 && s.empty[e.id] {
			continue
		}
		s.empty[e.id] = len(e.reps) == 0
		rep := route.Report{
			Upstream: s.engines[e.id], FailureDomain: w.f.size.Domains[e.domain], Incarnation: "1", At: w.time(),
			Sequences: sequences, Running: e.running, Queued: len(e.queue),
		}
		for k := range s.names {
			if r := e.reps[k]; r != nil && r.loaded {
				rep.Models = append(rep.Models, route.LoadedModel{Model: s.names[k], Version: "1"})
			}
		}
		for _, d := range s.daemons {
			d.table.SetReport(rep)
		}
	}
	for _, d := range s.daemons {
		for _, o := range s.daemons {
			if o.domain == d.domain || s.ticks%4 == 0 {
				d.pacer.MarkReachable(w.time(), o.domain)
				d.pacer.SetPeerStatus(w.time(), o.pacer.Status(w.time()))
			}
		}
	}
	if w.open > 0 {
		s.scale()
	}
	for m := range s.names {
		s.rest(m)
	}
}

// scale dispatches what waits and orders further replicas that the backlog
// justifies.
func (s *span) scale() {
	for m := range s.names {
		if s.w.busy[m] == 0 {
			continue
		}
		waiting := 0
		var first *job
		var at *daemon
		for _, d := range s.daemons {
			s.dispatch(d, m)
			u, b := d.queue.Waiting(s.names[m])
			waiting += u + b
			if u+b > 0 {
				at = d
			}
		}
		if waiting == 0 {
			continue
		}
		have := s.replicas(m) + len(s.loading[m])
		spec := &s.w.f.models[m]
		want := place.JustifiedReplicas(place.Backlog{
			Waiting: s.w.busy[m], ServiceTime: 5 * time.Second, Sequences: sequences, LoadTime: spec.loads(s.w.nearest(m)),
			Limit: spec.Replicas, ColdStartWeight: s.w.f.size.Weight,
		})
		for ; have < want; have++ {
			l, ok := s.choose(m, first, at).(place.Load)
			if !ok {
				break
			}
			s.order(m, l)
		}
	}
}

// rest looks at the replicas of a model: it unloads idle ones, and loads the
// first one if it is due.
func (s *span) rest(m int) {
	w := s.w
	spec := &w.f.models[m]
	var reps []*replica
	for _, e := range w.engines {
		if r := e.reps[m]; r != nil && r.loaded {
			reps = append(reps, r)
		}
	}
	if len(reps) == 0 {
		if len(s.loading[m]) == 0 && w.busy[m] == 0 {
			if _, due := s.keeper.PrewakeDue(w.time(), &spec.Model, spec.loads(w.nearest(m))); due {
				if l, ok := s.choose(m, nil, s.daemons[0]).(place.Load); ok {
					s.order(m, l)
				}
			}
		}
		return
	}
	s.unloadIdle(m, reps)
}

// unloadIdle asks about the replicas of a model that run nothing, the one that
// has been idle longest first and with the highest rank, and asks again when
// the answer says so.
func (s *span) unloadIdle(m int, reps []*replica) {
	w := s.w
	slices.SortFunc(reps, func(a, b *replica) int { return cmp.Compare(a.since, b.since) })
	spec := &w.f.models[m]
	n := len(reps)
	for _, r := range reps {
		if r.running > 0 {
			continue
		}
		q := idle.Replica{Model: &spec.Model, Rank: n - 1, Replicas: n, IdleSince: epoch.Add(r.since), LoadTime: spec.loads(0)}
		if n == 1 {
			q.Active = w.busy[m]
		}
		switch v := s.keeper.Decide(w.time(), q).(type) {
		case idle.Unload:
			s.unload(r)
			n--
		case idle.Keep:
			if at := v.Until.Sub(epoch); at < s.asked[m] || s.asked[m] <= w.now {
				s.asked[m] = at
				w.after(at-w.now, func() { s.rest(m) })
			}
		}
	}
}
