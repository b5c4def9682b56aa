package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/base/heap"
)

type (
	event struct {
		at  time.Duration
		seq int
		do  func()
	}

	// job is one request on its way.
	job struct {
		Request
		id           uint64
		at, deadline time.Duration
		eng          *engine
		rep          *replica
		left         int // tokens still to be made
		firstAt      time.Duration
		version      int // of the run on an engine; stale ends are ignored
		ended        bool
		cold         bool // met no loaded replica and waits for one
		feasible     bool
		tries        int
		sent         time.Duration
		progress     func() // counts delivered tokens after a loss
	}

	replica struct {
		model    int
		eng      *engine
		loaded   bool
		running  int
		since    time.Duration // idle or loading since
		adapters []int
		gone     bool
		transfer uint64 // the pacer's identifier of a remote load
	}

	engine struct {
		id       int
		domain   int
		lost     bool
		reps     map[int]*replica
		grants   map[int]bool
		reserved int64
		tiers    []uint8
		cached   []int // models in host memory, oldest first
		running  int
		queue    []*job
		pending  int
	}

	// policy is what a world drives.
	policy interface {
		// reaches reports whether daemon d sends requests to e.
		reaches(d int, e *engine) bool
		arrive(j *job)
		// ended follows the end of j on its engine, also by its deadline.
		ended(j *job)
		// expired tells that j's deadline passed while it waited.
		expired(j *job)
		// broken tells that j's engine was lost while it ran or waited.
		broken(j *job)
		ready(r *replica)
		lost(e *engine)
		gone(e *engine)
		tick()
	}

	world struct {
		f       *fleetSpec
		t       *Trace
		now     time.Duration
		events  *heap.Heap[event]
		seq     int
		engines []*engine
		store   *store
		p       policy
		m       *Metrics
		logDown bool
		busy    []int // jobs that run or wait, by model
		open    int
	}
)

// epoch is the start of every trace, midnight UTC.
var epoch = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)

func newWorld(f *fleetSpec, t *Trace) *world {
	w := &world{f: f, t: t, m: newMetrics(t), busy: make([]int, len(f.models))}
	w.events = heap.New(func(a, b event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq })
	w.store = &store{w: w, factor: 1}
	for i := range f.size.Engines {
		w.engines = append(w.engines, &engine{
			id: i, domain: i % len(f.size.Domains), reps: map[int]*replica{}, grants: map[int]bool{},
			tiers: append([]uint8(nil), f.tiers[i]...),
		})
	}
	return w
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

// after calls do at a later virtual time.
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
		for next < len(w.t.Requests) && ms(w.t.Requests[next].AtMS) <= w.now {
			w.begin(next, feasible[next])
			next++
		}
		if next < len(w.t.Requests) {
			w.after(ms(w.t.Requests[next].AtMS)-w.now, feed)
		}
	}
	if len(w.t.Requests) > 0 {
		w.after(ms(w.t.Requests[0].AtMS), feed)
	}
	for _, f := range w.t.Faults {
		w.after(ms(f.AtMS), func() { w.fault(f, true) })
		w.after(ms(f.UntilMS), func() { w.fault(f, false) })
	}
	end := ms(w.t.LengthMS) + time.Minute
	var tick func()
	tick = func() {
		w.p.tick()
		if w.now < end || w.open > 0 {
			w.after(time.Second, tick)
		}
	}
	w.after(0, tick)
	for n := w.events.Peek(); n != nil; n = w.events.Peek() {
		w.events.Remove(n)
		w.now = n.Value.at
		n.Value.do()
		if w.now > end && w.open == 0 {
			break
		}
	}
	for _, e := range w.engines {
		for k := range w.f.models {
			if r := e.reps[k]; r != nil {
				w.idle(r)
			}
		}
	}
	return w.m
}

func (w *world) begin(i int, feasible bool) {
	r := w.t.Requests[i]
	j := &job{
		Request: r, id: uint64(i) + 1, at: w.now, deadline: w.now + ms(r.DeadlineMS), left: r.Tokens, feasible: feasible,
		cold: !w.loaded(r.Daemon, r.Model),
	}
	w.open++
	w.busy[j.Model]++
	w.m.offered(j)
	if j.cold {
		w.m.coldArrival(j, w.nearest(j.Model))
	}
	w.after(j.deadline-w.now, func() {
		if j.ended {
			return
		}
		if e := j.eng; e != nil {
			w.leave(j)
			w.end(j, cutAtDeadline)
			w.p.ended(j)
			w.startNext(e)
			return
		}
		w.p.expired(j)
		if !j.ended {
			w.end(j, cutAtDeadline)
		}
	})
	w.p.arrive(j)
}

// end closes j with an outcome.
func (w *world) end(j *job, o outcome) {
	if j.ended {
		panic("bench: request ended twice")
	}
	j.ended = true
	w.open--
	w.busy[j.Model]--
	running, places := 0, 0
	for _, e := range w.engines {
		if !e.lost {
			running, places = running+e.running, places+sequences
		}
	}
	under := float64(running) < 0.8*float64(places) && w.store.load() < 0.8
	w.m.ended(j, w.now, o, under)
}

// loaded reports whether daemon d reaches a loaded replica of a model.
func (w *world) loaded(d, model int) bool {
	for _, e := range w.engines {
		if r := e.reps[model]; r != nil && r.loaded && w.p.reaches(d, e) {
			return true
		}
	}
	return false
}

// nearest is the best tier of a model's checkpoint on an engine that isn't
// lost.
func (w *world) nearest(model int) uint8 {
	best := uint8(2)
	for _, e := range w.engines {
		if !e.lost {
			best = min(best, e.tiers[model])
		}
	}
	return best
}

func (w *world) fault(f Fault, on bool) {
	switch f.Kind {
	case "store-slow":
		w.store.advance()
		w.store.factor = 1
		if on {
			w.store.factor = f.Factor
		}
		w.store.schedule()
	case "log-down":
		w.logDown = on
	case "engine-lost", "domain-lost":
		if !on {
			return
		}
		for _, e := range w.engines {
			if e.id == f.Engine || f.Kind == "domain-lost" && e.domain == w.engines[f.Engine].domain {
				w.lose(e)
			}
		}
	}
}

// lose ends an engine for good.
func (w *world) lose(e *engine) {
	e.lost = true
	var broken []*job
	for _, j := range w.m.live {
		if j.eng == e {
			broken = append(broken, j)
		}
	}
	slices.SortFunc(broken, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	for k := range w.f.models {
		if r := e.reps[k]; r != nil {
			w.idle(r)
			r.gone = true
		}
	}
	e.reps, e.running, e.queue = map[int]*replica{}, 0, nil
	for _, j := range broken {
		j.version++
		if j.progress != nil {
			j.progress()
		}
		j.eng, j.rep = nil, nil
	}
	w.p.lost(e)
	for _, j := range broken {
		w.p.broken(j)
	}
	w.after(hostGone, func() {
		e.grants, e.reserved = map[int]bool{}, 0
		w.p.gone(e)
	})
}

func (m *modelSpec) loads(tier uint8) time.Duration { return loadTime(tier, m.weight) }
