package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/base/heap"
)

type (
	// event is a function that runs at a virtual time. seq orders events of equal
	// time by creation.
	event struct {
		at  time.Duration
		seq int
		do  func()
	}

	// job is a request of the trace during the replay.
	job struct {
		Request
		id                  uint64
		arrivedAt, deadline time.Duration
		engine              *engine
		replica             *replica
		remainingTokens     int
		firstTokenAt        time.Duration
		version             int // of the run on an engine; end events of older runs are ignored
		ended               bool
		cold                bool // met no loaded replica on arrival
		feasible            bool // see world.feasible
		attempts            int
		sentAt              time.Duration
		creditDelivered     func() // subtracts delivered tokens after the engine was lost
	}

	replica struct {
		model     int
		engine    *engine
		loaded    bool
		running   int
		idleSince time.Duration // start of the current idle or loading period
		adapters  []int
		removed   bool   // unloaded, or its engine was lost
		loadID    uint64 // of a remote load in the pacer, else 0
	}

	engine struct {
		id               int
		domain           int
		lost             bool
		replicas         map[int]*replica
		grants           map[int]bool
		reservedBytes    int64
		tiers            []uint8
		hostMemoryModels []int // oldest first
		running          int
		queue            []*job
		pendingLoads     int
	}

	// policy decides on loads, unloads and dispatch. The world calls it on events.
	policy interface {
		// reaches reports whether daemon d may send requests to e.
		reaches(d int, e *engine) bool
		requestArrived(j *job)
		// requestEnded is called after j left its engine, done or cut off at its
		// deadline.
		requestEnded(j *job)
		// requestExpired is called when the deadline of j passes before j was sent
		// to an engine.
		requestExpired(j *job)
		// requestInterrupted is called when the engine of j is lost while j runs or
		// is queued there.
		requestInterrupted(j *job)
		replicaReady(r *replica)
		engineLost(e *engine)
		// engineRemoved is called when a lost engine leaves the host list.
		engineRemoved(e *engine)
		// tick is called once per second.
		tick()
	}

	// world is the simulated deployment and its event loop.
	world struct {
		fleet       *fleetSpec
		trace       *Trace
		now         time.Duration
		events      *heap.Heap[event]
		seq         int
		engines     []*engine
		store       *store
		policy      policy
		metrics     *Metrics
		logDown     bool
		openByModel []int // number of open jobs by model
		openJobs    int   // arrived and not ended
	}
)

const (
	// drainTime is how long the replay goes on after the end of the trace.
	drainTime    = time.Minute
	tickInterval = time.Second
	// underloadShare is the share of the engines' sequences and of the weight
	// store's concurrency below which a refusal counts as one with free capacity.
	underloadShare = 0.8
)

// epoch is the start of every trace, midnight UTC.
var epoch = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)

func newWorld(f *fleetSpec, t *Trace) *world {
	w := &world{fleet: f, trace: t, metrics: newMetrics(t), openByModel: make([]int, len(f.models))}
	w.events = heap.New(func(a, b event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq })
	w.store = &store{w: w, rateFactor: 1}
	for i := range f.deployment.Engines {
		w.engines = append(w.engines, &engine{
			id: i, domain: i % len(f.deployment.Domains), replicas: map[int]*replica{}, grants: map[int]bool{},
			tiers: append([]uint8(nil), f.tiers[i]...),
		})
	}
	return w
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

// after calls do when the virtual time d has passed. A negative d counts as 0.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	w.events.Push(event{w.now + max(d, 0), w.seq, do})
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// run replays the trace and returns its metrics.
func (w *world) run() *Metrics {
	feasible := w.feasible()
	next := 0
	var feed func()
	feed = func() {
		for next < len(w.trace.Requests) && ms(w.trace.Requests[next].AtMS) <= w.now {
			w.startRequest(next, feasible[next])
			next++
		}
		if next < len(w.trace.Requests) {
			w.after(ms(w.trace.Requests[next].AtMS)-w.now, feed)
		}
	}
	if len(w.trace.Requests) > 0 {
		w.after(ms(w.trace.Requests[0].AtMS), feed)
	}
	for _, f := range w.trace.Faults {
		w.after(ms(f.AtMS), func() { w.setFault(f, true) })
		w.after(ms(f.UntilMS), func() { w.setFault(f, false) })
	}
	end := ms(w.trace.LengthMS) + drainTime
	var tick func()
	tick = func() {
		w.policy.tick()
		if w.now < end || w.openJobs > 0 {
			w.after(tickInterval, tick)
		}
	}
	w.after(0, tick)
	for n := w.events.Peek(); n != nil; n = w.events.Peek() {
		w.events.Remove(n)
		w.now = n.Value.at
		n.Value.do()
		if w.now > end && w.openJobs == 0 {
			break
		}
	}
	for _, e := range w.engines {
		for k := range w.fleet.models {
			if r := e.replicas[k]; r != nil {
				w.recordIdle(r)
			}
		}
	}
	return w.metrics
}

// startRequest creates the job of the i-th request of the trace, schedules its
// deadline and passes it to the policy.
func (w *world) startRequest(i int, feasible bool) {
	r := w.trace.Requests[i]
	j := &job{
		Request: r, id: uint64(i) + 1, arrivedAt: w.now, deadline: w.now + ms(r.DeadlineMS), remainingTokens: r.Tokens, feasible: feasible,
		cold: !w.hasLoadedReplica(r.Daemon, r.Model),
	}
	w.openJobs++
	w.openByModel[j.Model]++
	w.metrics.recordArrival(j)
	if j.cold {
		w.metrics.recordColdArrival(j, w.nearestTier(j.Model))
	}
	w.after(j.deadline-w.now, func() {
		if j.ended {
			return
		}
		if e := j.engine; e != nil {
			w.detach(j)
			w.endJob(j, deadlineExceeded)
			w.policy.requestEnded(j)
			w.startQueued(e)
			return
		}
		w.policy.requestExpired(j)
		if !j.ended {
			w.endJob(j, deadlineExceeded)
		}
	})
	w.policy.requestArrived(j)
}

// endJob ends j with an outcome. It panics if j has ended before.
func (w *world) endJob(j *job, o outcome) {
	if j.ended {
		panic("bench: request ended twice")
	}
	j.ended = true
	w.openJobs--
	w.openByModel[j.Model]--
	running, slots := 0, 0
	for _, e := range w.engines {
		if !e.lost {
			running, slots = running+e.running, slots+engineSequences
		}
	}
	underloaded := float64(running) < underloadShare*float64(slots) && w.store.utilization() < underloadShare
	w.metrics.recordEnd(j, w.now, o, underloaded)
}

// hasLoadedReplica reports whether daemon d reaches a loaded replica of a model.
func (w *world) hasLoadedReplica(d, model int) bool {
	for _, e := range w.engines {
		if r := e.replicas[model]; r != nil && r.loaded && w.policy.reaches(d, e) {
			return true
		}
	}
	return false
}

// nearestTier returns the nearest tier of a model's checkpoint over the engines
// that are not lost.
func (w *world) nearestTier(model int) uint8 {
	best := uint8(tierRemote)
	for _, e := range w.engines {
		if !e.lost {
			best = min(best, e.tiers[model])
		}
	}
	return best
}

// setFault starts or ends a fault. A lost engine does not come back.
func (w *world) setFault(f Fault, active bool) {
	switch f.Kind {
	case "store-slow":
		w.store.advance()
		w.store.rateFactor = 1
		if active {
			w.store.rateFactor = f.Factor
		}
		w.store.schedule()
	case "log-down":
		w.logDown = active
	case "engine-lost", "domain-lost":
		if !active {
			return
		}
		for _, e := range w.engines {
			if e.id == f.Engine || f.Kind == "domain-lost" && e.domain == w.engines[f.Engine].domain {
				w.loseEngine(e)
			}
		}
	}
}

// loseEngine removes the replicas of e and interrupts its jobs, in order of
// arrival. Its grants stay until the host leaves the host list.
func (w *world) loseEngine(e *engine) {
	e.lost = true
	var interrupted []*job
	for _, j := range w.metrics.openJobs {
		if j.engine == e {
			interrupted = append(interrupted, j)
		}
	}
	slices.SortFunc(interrupted, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	for k := range w.fleet.models {
		if r := e.replicas[k]; r != nil {
			w.recordIdle(r)
			r.removed = true
		}
	}
	e.replicas, e.running, e.queue = map[int]*replica{}, 0, nil
	for _, j := range interrupted {
		j.version++
		if j.creditDelivered != nil {
			j.creditDelivered()
		}
		j.engine, j.replica = nil, nil
	}
	w.policy.engineLost(e)
	for _, j := range interrupted {
		w.policy.requestInterrupted(j)
	}
	w.after(hostListDelay, func() {
		e.grants, e.reservedBytes = map[int]bool{}, 0
		w.policy.engineRemoved(e)
	})
}

func (m *modelSpec) loadTime(tier uint8) time.Duration { return loadTime(tier, m.weightBytes) }
