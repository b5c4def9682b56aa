package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurespan/azurespan/internal/rule/admit"
	"github.com/azurespan/azurespan/internal/rule/idle"
	"github.com/azurespan/azurespan/internal/rule/pacer"
	"github.com/azurespan/azurespan/internal/rule/place"
	"github.com/azurespan/azurespan/internal/rule/retry"
	"github.com/azurespan/azurespan/internal/rule/route"
)

type (
	// span is the policy that asks azurespan's decision packages.
	span struct {
		w       *world
		rng     *rand.Rand
		daemons []*daemon
		chooser *place.Chooser
		keeper  *idle.Policy
		retry   *retry.Policy
		jobs    map[uint64]*job
		// loading holds when each load in progress is expected to end.
		loading map[int]map[*replica]time.Duration
		begins  map[uint64]func() // loads that wait for their owner's pacer
		nextID  uint64
		ticks   int
		polling bool
		names   []string // of models
		engines []string
		empty   map[int]bool          // engines whose last report listed no replica
		asked   map[int]time.Duration // when rest looks at a model again
	}

	daemon struct {
		id     int
		domain string
		table  *route.Table
		queue  *admit.Queue
		pacer  *pacer.Pacer
		budget *retry.Budget
		expiry time.Time
	}
)

var _ policy = (*span)(nil)

func newSpan(w *world, seed uint64) *span {
	size := w.f.size
	s := &span{
		w: w, rng: rand.New(rand.NewPCG(seed, 200)), jobs: map[uint64]*job{}, loading: map[int]map[*replica]time.Duration{},
		begins:  map[uint64]func(){},
		chooser: place.New(place.Settings{ColdStartWeight: size.Weight, BytesPerSecond: tierRate, LoadOverhead: loadStart}),
		keeper:  idle.New(idle.Settings{ColdStartWeight: size.Weight}),
		retry:   retry.New(retry.Policy{}), empty: map[int]bool{}, asked: map[int]time.Duration{},
	}
	for i := range w.f.models {
		s.names = append(s.names, w.f.models[i].Name)
	}
	for i := range w.engines {
		s.engines = append(s.engines, fmt.Sprint("engine-", i))
	}
	var owners []pacer.Owner
	for i := range size.Daemons {
		owners = append(owners, pacer.Owner{Name: fmt.Sprint("daemon-", i), FailureDomain: size.Domains[i%len(size.Domains)]})
	}
	for i, o := range owners {
		d := &daemon{
			id: i, domain: o.FailureDomain, table: route.New(route.Settings{FailureDomain: o.FailureDomain}),
			queue: admit.New(admit.Settings{}), budget: retry.NewBudget(0.2, 1, 20),
			pacer: pacer.New(pacer.Settings{
				Owner: o.Name, FailureDomain: o.FailureDomain, FailureDomains: size.Domains, BytesPerSecond: tierRate[2], LoadLatency: loadStart,
			}),
		}
		d.pacer.SetOwners(owners)
		// A trace begins in a running deployment.
		for _, domain := range size.Domains {
			d.pacer.MarkReachable(w.time(), domain)
		}
		s.daemons = append(s.daemons, d)
	}
	return s
}

// owner returns the daemon that owns e, in the same failure domain.
func (s *span) owner(e *engine) *daemon {
	n := 0
	for _, d := range s.daemons {
		if d.domain == s.w.f.size.Domains[e.domain] {
			n++
		}
	}
	k := (e.id / len(s.w.f.size.Domains)) % n
	for _, d := range s.daemons {
		if d.domain == s.w.f.size.Domains[e.domain] {
			if k == 0 {
				return d
			}
			k--
		}
	}
	return s.daemons[0]
}

func (s *span) reaches(int, *engine) bool { return true }

func (s *span) arrive(j *job) {
	s.jobs[j.id] = j
	s.daemons[j.Daemon].budget.AddRequest()
	s.note(j.Model)
	s.offer(j)
}

// offer admits j to its daemon's queue or refuses it, and starts a wake if the
// model has no replica.
func (s *span) offer(j *job) {
	d := s.daemons[j.Daemon]
	c := s.capacity(d, j.Model)
	var dec place.Decision
	if c.Sequences == 0 {
		if at, ok := s.soonest(j.Model); ok {
			c.ReadyIn = max(at-s.w.now, 0)
		} else {
			dec = s.choose(j.Model, j, d)
			switch dec := dec.(type) {
			case place.Load:
				c.ReadyIn = dec.ReadyIn
			case place.Refuse:
				if dec.Reason == place.TooLate {
					c.ReadyIn = dec.ReadyIn
				} else if dec.Reason != place.NoMemory {
					s.refuse(j, string(dec.Reason))
					return
				}
				// Memory may become free while the request waits.
			}
		}
		c.Sequences, c.Free = sequences, sequences
	}
	it := admit.Request{ID: j.id, Model: s.names[j.Model], Class: j.Class, Deadline: epoch.Add(j.deadline), MinDuration: prefill + tokenBase*time.Duration(j.left)}
	switch v := d.queue.Offer(s.w.time(), s.rng, it, c).(type) {
	case admit.Refused:
		s.refuse(j, string(v.Reason))
		return
	case admit.Admitted:
	}
	if l, ok := dec.(place.Load); ok {
		s.order(j.Model, l)
	}
	s.dispatch(d, j.Model)
	s.arm(d)
}

func (s *span) refuse(j *job, reason string) {
	delete(s.jobs, j.id)
	s.w.end(j, outcome(reason))
	s.note(j.Model)
}

// capacity is what daemon d believes about a model.
func (s *span) capacity(d *daemon, model int) (c admit.Capacity) {
	for _, e := range s.w.engines {
		if r := e.reps[model]; r != nil && r.loaded {
			n, seqs := d.table.Outstanding(s.engines[e.id])
			c.Sequences += seqs
			c.Free += max(seqs-n, 0)
		}
	}
	return c
}

func (s *span) soonest(model int) (at time.Duration, ok bool) {
	for _, t := range s.loading[model] {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	return at, ok
}

// dispatch sends waiting requests for a model while a replica has a place. An
// urgent request may also wait in an engine whose queue is short, which keeps
// it busy between reports.
func (s *span) dispatch(d *daemon, model int) {
	name := s.names[model]
	for {
		u, b := d.queue.Waiting(name)
		if u+b == 0 {
			return
		}
		q := route.Query{Model: name, Version: "1"}
		c := d.table.Pick(s.w.time(), s.rng, &q)
		if c.Upstream == "" || c.Free == 0 && (u == 0 || c.Wait > 600*time.Millisecond) {
			return
		}
		it, _ := d.queue.Next(s.w.time(), name)
		j := s.jobs[it.ID]
		var e *engine
		for i := range s.engines {
			if s.engines[i] == c.Upstream {
				e = s.w.engines[i]
			}
		}
		if s.w.submit(j, e) {
			d.table.RequestSent(s.w.time(), c.Upstream, 0)
			continue
		}
		if e.lost {
			d.table.SetHealth(c.Upstream, route.Down)
		} else {
			d.table.MarkUnloaded(s.w.time(), c.Upstream, name, "1")
		}
		s.again(j, retry.NotReached)
	}
}

// again applies the retry rule to a failed attempt.
func (s *span) again(j *job, reach retry.Reach) {
	j.tries++
	d := s.daemons[j.Daemon]
	a := &retry.Attempt{
		Idempotent: true, Reached: reach, Class: j.Class, Deadline: epoch.Add(j.deadline), Attempts: j.tries, OtherUpstream: true,
		MinDuration: prefill + tokenBase*time.Duration(j.left),
	}
	switch v := s.retry.Decide(s.w.time(), a, d.budget, s.rng).(type) {
	case retry.Stop:
		s.refuse(j, string(v.Reason))
	case retry.Again:
		s.w.after(v.After, func() {
			if !j.ended {
				s.offer(j)
			}
		})
	}
}

// arm plans the next expiry of d's queue.
func (s *span) arm(d *daemon) {
	at, ok := d.queue.NextExpiry()
	if !ok || !d.expiry.IsZero() && !at.Before(d.expiry) && d.expiry.After(s.w.time()) {
		return
	}
	d.expiry = at
	s.w.after(at.Sub(s.w.time()), func() {
		for _, it := range d.queue.Expire(s.w.time(), nil) {
			s.refuse(s.jobs[it.ID], "expired-in-queue")
		}
		s.arm(d)
	})
}

func (s *span) ended(j *job) {
	delete(s.jobs, j.id)
	d := s.daemons[j.Daemon]
	took := s.w.now - j.sent
	d.table.RequestDone(s.w.time(), s.engines[j.eng.id], s.names[j.Model], "1", max(j.firstAt-j.sent, 0), took)
	d.queue.ObserveServiceTime(s.names[j.Model], took)
	s.note(j.Model)
	for m := range s.names {
		if u, b := d.queue.Waiting(s.names[m]); u+b > 0 {
			s.dispatch(d, m)
		}
	}
	s.rest(j.Model)
}

func (s *span) expired(j *job) {
	s.daemons[j.Daemon].queue.Remove(j.id)
	delete(s.jobs, j.id)
}

func (s *span) broken(j *job) { s.again(j, retry.Reached) }

func (s *span) lost(e *engine) {
	for model, loads := range s.loading {
		for r := range loads {
			if r.eng == e {
				delete(loads, r)
				s.note(model)
			}
		}
	}
	for _, d := range s.daemons {
		// Daemons with a connection notice at once, the others by news.
		s.w.after(detect, func() { d.table.SetHealth(s.engines[e.id], route.Down) })
	}
}

func (s *span) gone(e *engine) {
	for _, d := range s.daemons {
		d.table.Remove(s.engines[e.id])
	}
}

// note tells the keeper how many replicas a model's requests occupy.
func (s *span) note(model int) {
	n := (s.w.busy[model] + sequences - 1) / sequences
	s.keeper.RecordBusy(s.w.time(), s.names[model], n)
}
