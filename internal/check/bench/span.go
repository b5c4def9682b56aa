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
	// azurespanPolicy is the policy that uses azurespan's decision packages.
	azurespanPolicy struct {
		w          *world
		rng        *rand.Rand
		daemons    []*daemon
		chooser    *place.Chooser
		idlePolicy *idle.Policy
		retry      *retry.Policy
		jobsByID   map[uint64]*job
		// expectedReady holds the expected end of each load in progress by model.
		expectedReady map[int]map[*replica]time.Duration
		pendingStarts map[uint64]func() // remote loads that wait for their owner's pacer, by load ID
		nextLoadID    uint64
		ticks         int
		pollScheduled bool
		modelNames    []string
		engineNames   []string
		reportedEmpty map[int]bool          // engines whose last report listed no replica
		nextIdleCheck map[int]time.Duration // next scheduled review of a model's replicas
	}

	// daemon is the state of one daemon's decision packages.
	daemon struct {
		id         int
		domain     string
		table      *route.Table
		queue      *admit.Queue
		pacer      *pacer.Pacer
		budget     *retry.Budget
		nextExpiry time.Time // of a queued request, as last scheduled
	}
)

const (
	policyStream = 200 // of the random generator
	// Parameters of the retry budget.
	retryTokensPerRequest = 0.2
	retryTokensPerSecond  = 1
	maxRetryTokens        = 20
	// maxEngineWait is the longest expected wait in an engine's queue for which
	// an urgent request is sent to a fully used engine.
	maxEngineWait = 600 * time.Millisecond
)

var _ policy = (*azurespanPolicy)(nil)

func newAzurespanPolicy(w *world, seed uint64) *azurespanPolicy {
	deployment := w.fleet.deployment
	p := &azurespanPolicy{
		w: w, rng: rand.New(rand.NewPCG(seed, policyStream)), jobsByID: map[uint64]*job{}, expectedReady: map[int]map[*replica]time.Duration{},
		pendingStarts: map[uint64]func(){},
		chooser:       place.New(place.Settings{ColdStartWeight: deployment.ColdStartWeight, BytesPerSecond: tierBytesPerSecond, LoadOverhead: loadOverhead}),
		idlePolicy:    idle.New(idle.Settings{ColdStartWeight: deployment.ColdStartWeight}),
		retry:         retry.New(retry.Policy{}), reportedEmpty: map[int]bool{}, nextIdleCheck: map[int]time.Duration{},
	}
	for i := range w.fleet.models {
		p.modelNames = append(p.modelNames, w.fleet.models[i].Name)
	}
	for i := range w.engines {
		p.engineNames = append(p.engineNames, fmt.Sprint("engine-", i))
	}
	var owners []pacer.Owner
	for i := range deployment.Daemons {
		owners = append(owners, pacer.Owner{Name: fmt.Sprint("daemon-", i), FailureDomain: deployment.Domains[i%len(deployment.Domains)]})
	}
	for i, o := range owners {
		d := &daemon{
			id: i, domain: o.FailureDomain, table: route.New(route.Settings{FailureDomain: o.FailureDomain}),
			queue: admit.New(admit.Settings{}), budget: retry.NewBudget(retryTokensPerRequest, retryTokensPerSecond, maxRetryTokens),
			pacer: pacer.New(pacer.Settings{
				Owner: o.Name, FailureDomain: o.FailureDomain, FailureDomains: deployment.Domains, BytesPerSecond: tierBytesPerSecond[tierRemote], LoadLatency: loadOverhead,
			}),
		}
		d.pacer.SetOwners(owners)
		// The deployment is running when the trace begins, so that all failure
		// domains are reachable.
		for _, domain := range deployment.Domains {
			d.pacer.MarkReachable(w.time(), domain)
		}
		p.daemons = append(p.daemons, d)
	}
	return p
}

// ownerOf returns the daemon that owns the loads of e, which is in the same failure
// domain.
func (p *azurespanPolicy) ownerOf(e *engine) *daemon {
	n := 0
	for _, d := range p.daemons {
		if d.domain == p.w.fleet.deployment.Domains[e.domain] {
			n++
		}
	}
	k := (e.id / len(p.w.fleet.deployment.Domains)) % n
	for _, d := range p.daemons {
		if d.domain == p.w.fleet.deployment.Domains[e.domain] {
			if k == 0 {
				return d
			}
			k--
		}
	}
	return p.daemons[0]
}

func (p *azurespanPolicy) reaches(int, *engine) bool { return true }

func (p *azurespanPolicy) requestArrived(j *job) {
	p.jobsByID[j.id] = j
	p.daemons[j.Daemon].budget.AddRequest()
	p.recordBusy(j.Model)
	p.admitJob(j)
}

// admitJob queues j at its daemon or refuses it. If no replica of the model is
// loaded or being loaded, it starts a load.
func (p *azurespanPolicy) admitJob(j *job) {
	d := p.daemons[j.Daemon]
	c := p.capacity(d, j.Model)
	var decision place.Decision
	if c.Sequences == 0 {
		if at, ok := p.earliestReady(j.Model); ok {
			c.ReadyIn = max(at-p.w.now, 0)
		} else {
			decision = p.choosePlacement(j.Model, j, d)
			switch v := decision.(type) {
			case place.Load:
				c.ReadyIn = v.ReadyIn
			case place.Refuse:
				if v.Reason == place.TooLate {
					c.ReadyIn = v.ReadyIn
				} else if v.Reason != place.NoMemory {
					p.refuse(j, string(v.Reason))
					return
				}
				// Without memory the request is queued, because memory may become
				// free while it waits.
			}
		}
		c.Sequences, c.Free = engineSequences, engineSequences
	}
	r := admit.Request{ID: j.id, Model: p.modelNames[j.Model], Class: j.Class, Deadline: epoch.Add(j.deadline), MinDuration: prefillTime + tokenInterval*time.Duration(j.remainingTokens)}
	switch v := d.queue.Offer(p.w.time(), p.rng, r, c).(type) {
	case admit.Refused:
		p.refuse(j, string(v.Reason))
		return
	case admit.Admitted:
	}
	if l, ok := decision.(place.Load); ok {
		p.executeLoad(j.Model, l)
	}
	p.dispatch(d, j.Model)
	p.scheduleExpiry(d)
}

// refuse ends j with a refusal.
func (p *azurespanPolicy) refuse(j *job, reason string) {
	delete(p.jobsByID, j.id)
	p.w.endJob(j, outcome(reason))
	p.recordBusy(j.Model)
}

// capacity returns the capacity for a model as daemon d knows it.
func (p *azurespanPolicy) capacity(d *daemon, model int) (c admit.Capacity) {
	for _, e := range p.w.engines {
		if r := e.replicas[model]; r != nil && r.loaded {
			outstanding, sequences := d.table.Outstanding(p.engineNames[e.id])
			c.Sequences += sequences
			c.Free += max(sequences-outstanding, 0)
		}
	}
	return c
}

// earliestReady returns when the first of a model's loads in progress is expected
// to end. ok is false if there is none.
func (p *azurespanPolicy) earliestReady(model int) (at time.Duration, ok bool) {
	for _, t := range p.expectedReady[model] {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	return at, ok
}

// dispatch sends the queued requests of d for a model while a replica has a free
// sequence. An urgent request may also wait in an engine whose queue is short,
// which keeps the engine busy between its reports.
func (p *azurespanPolicy) dispatch(d *daemon, model int) {
	name := p.modelNames[model]
	for {
		urgent, background := d.queue.Waiting(name)
		if urgent+background == 0 {
			return
		}
		q := route.Query{Model: name, Version: "1"}
		c := d.table.Pick(p.w.time(), p.rng, &q)
		if c.Upstream == "" || c.Free == 0 && (urgent == 0 || c.Wait > maxEngineWait) {
			return
		}
		next, _ := d.queue.Next(p.w.time(), name)
		j := p.jobsByID[next.ID]
		var e *engine
		for i := range p.engineNames {
			if p.engineNames[i] == c.Upstream {
				e = p.w.engines[i]
			}
		}
		if p.w.submit(j, e) {
			d.table.RequestSent(p.w.time(), c.Upstream, 0)
			continue
		}
		if e.lost {
			d.table.SetHealth(c.Upstream, route.Down)
		} else {
			d.table.MarkUnloaded(p.w.time(), c.Upstream, name, "1")
		}
		p.retryJob(j, retry.NotReached)
	}
}

// retryJob retries or refuses j after a failed attempt, as the retry policy
// decides.
func (p *azurespanPolicy) retryJob(j *job, reach retry.Reach) {
	j.attempts++
	d := p.daemons[j.Daemon]
	a := &retry.Attempt{
		Idempotent: true, Reached: reach, Class: j.Class, Deadline: epoch.Add(j.deadline), Attempts: j.attempts, OtherUpstream: true,
		MinDuration: prefillTime + tokenInterval*time.Duration(j.remainingTokens),
	}
	switch v := p.retry.Decide(p.w.time(), a, d.budget, p.rng).(type) {
	case retry.Stop:
		p.refuse(j, string(v.Reason))
	case retry.Again:
		p.w.after(v.After, func() {
			if !j.ended {
				p.admitJob(j)
			}
		})
	}
}

// scheduleExpiry schedules the next expiry of a request in d's queue, unless an
// earlier one is scheduled.
func (p *azurespanPolicy) scheduleExpiry(d *daemon) {
	at, ok := d.queue.NextExpiry()
	if !ok || !d.nextExpiry.IsZero() && !at.Before(d.nextExpiry) && d.nextExpiry.After(p.w.time()) {
		return
	}
	d.nextExpiry = at
	p.w.after(at.Sub(p.w.time()), func() {
		for _, expired := range d.queue.Expire(p.w.time(), nil) {
			p.refuse(p.jobsByID[expired.ID], "expired-in-queue")
		}
		p.scheduleExpiry(d)
	})
}

func (p *azurespanPolicy) requestEnded(j *job) {
	delete(p.jobsByID, j.id)
	d := p.daemons[j.Daemon]
	took := p.w.now - j.sentAt
	d.table.RequestDone(p.w.time(), p.engineNames[j.engine.id], p.modelNames[j.Model], "1", max(j.firstTokenAt-j.sentAt, 0), took)
	d.queue.ObserveServiceTime(p.modelNames[j.Model], took)
	p.recordBusy(j.Model)
	for m := range p.modelNames {
		if urgent, background := d.queue.Waiting(p.modelNames[m]); urgent+background > 0 {
			p.dispatch(d, m)
		}
	}
	p.reviewReplicas(j.Model)
}

func (p *azurespanPolicy) requestExpired(j *job) {
	p.daemons[j.Daemon].queue.Remove(j.id)
	delete(p.jobsByID, j.id)
}

func (p *azurespanPolicy) requestInterrupted(j *job) { p.retryJob(j, retry.Reached) }

func (p *azurespanPolicy) engineLost(e *engine) {
	for model, loads := range p.expectedReady {
		for r := range loads {
			if r.engine == e {
				delete(loads, r)
				p.recordBusy(model)
			}
		}
	}
	for _, d := range p.daemons {
		// Daemons with a connection to the engine notice its loss at once, the
		// others are told by those. Here it takes the same time for all.
		p.w.after(lossDetectionDelay, func() { d.table.SetHealth(p.engineNames[e.id], route.Down) })
	}
}

func (p *azurespanPolicy) engineRemoved(e *engine) {
	for _, d := range p.daemons {
		d.table.Remove(p.engineNames[e.id])
	}
}

// recordBusy tells the idle policy how many replicas the open requests of a model
// occupy.
func (p *azurespanPolicy) recordBusy(model int) {
	n := (p.w.openByModel[model] + engineSequences - 1) / engineSequences
	p.idlePolicy.RecordBusy(p.w.time(), p.modelNames[model], n)
}
