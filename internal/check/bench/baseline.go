package bench

import (
	"slices"
)

// fixed is the policy in which each daemon loads models on the first request
// to it, on upstreams of its own, and unloads them after keepAlive. Daemons
// share neither replicas nor the store's limits. If there is no room, the
// request waits for it; the replica limits of the configuration are ignored.
type fixed struct {
	w *world
	// waiting requests by daemon and model, in order of arrival.
	waiting map[[2]int][]*job
}

var _ policy = (*fixed)(nil)

func (f *fixed) mine(d int) (out []*engine) {
	for _, e := range f.w.engines {
		if f.reaches(d, e) && !e.lost {
			out = append(out, e)
		}
	}
	return out
}

func (f *fixed) reaches(d int, e *engine) bool { return e.id%f.w.f.size.Daemons == d }

func (f *fixed) arrive(j *job) {
	k := [2]int{j.Daemon, j.Model}
	f.waiting[k] = append(f.waiting[k], j)
	f.serve(j.Daemon, j.Model)
}

// serve sends what waits for a model, or loads it.
func (f *fixed) serve(d, model int) {
	k := [2]int{d, model}
	if len(f.waiting[k]) == 0 {
		return
	}
	es := f.mine(d)
	for _, e := range es {
		if r := e.reps[model]; r != nil {
			if r.loaded {
				for _, j := range f.waiting[k] {
					f.w.submit(j, e)
				}
				delete(f.waiting, k)
			}
			return
		}
	}
	need := f.w.f.models[model].bytes
	for _, e := range es {
		if f.room(e, need) {
			f.w.grant(e, model)
			f.w.load(e, model, nil)
			return
		}
	}
}

// room evicts idle replicas, the least recently used first, if that makes
// enough room.
func (f *fixed) room(e *engine, need int64) bool {
	var idle []*replica
	free := engineMemory - e.reserved
	for k := range f.w.f.models {
		if r := e.reps[k]; r != nil && r.loaded && r.running == 0 && !slices.ContainsFunc(e.queue, func(j *job) bool { return j.rep == r }) {
			idle = append(idle, r)
			free += f.w.f.models[r.model].bytes
		}
	}
	if free < need {
		return false
	}
	slices.SortFunc(idle, func(a, b *replica) int { return int(a.since - b.since) })
	for i := 0; engineMemory-e.reserved < need; i++ {
		f.w.unload(idle[i])
		f.w.release(e, idle[i].model)
	}
	return true
}

func (f *fixed) ended(j *job) {}

func (f *fixed) expired(j *job) {
	k := [2]int{j.Daemon, j.Model}
	f.waiting[k] = slices.DeleteFunc(f.waiting[k], func(o *job) bool { return o == j })
}

func (f *fixed) broken(j *job) { f.arrive(j) }

func (f *fixed) ready(r *replica) { f.serve(r.eng.id%f.w.f.size.Daemons, r.model) }

func (f *fixed) lost(e *engine) {}

func (f *fixed) gone(e *engine) {}

func (f *fixed) tick() {
	for _, e := range f.w.engines {
		for k := range f.w.f.models {
			r := e.reps[k]
			if r != nil && r.loaded && r.running == 0 && f.w.now-r.since >= keepAlive &&
				!slices.ContainsFunc(e.queue, func(j *job) bool { return j.rep == r }) {
				f.w.unload(r)
				f.w.release(e, k)
			}
		}
	}
	for d := range f.w.f.size.Daemons {
		for k := range f.w.f.models {
			f.serve(d, k)
		}
	}
}

// always is the policy that loads every model that fits at the start and keeps
// it. Requests for the others are refused.
type always struct{ w *world }

var _ policy = (*always)(nil)

// fill loads the models in the order of their use, each once, then again while
// there is room and the replica limit allows it. Loads at the start don't
// count.
func (a *always) fill() {
	for round := range 4 {
		for k := range a.w.f.models {
			spec := &a.w.f.models[k]
			if round >= spec.Replicas || a.w.grantsOf(k) > round {
				continue
			}
			for _, e := range a.w.engines {
				if !e.grants[k] && engineMemory-e.reserved >= spec.bytes {
					a.w.grant(e, k)
					e.reps[k] = &replica{model: k, eng: e, loaded: true}
					break
				}
			}
		}
	}
}

func (a *always) reaches(int, *engine) bool { return true }

func (a *always) arrive(j *job) {
	var best *engine
	for _, e := range a.w.engines {
		if r := e.reps[j.Model]; r != nil && (best == nil || e.running+len(e.queue) < best.running+len(best.queue)) {
			best = e
		}
	}
	if best == nil {
		a.w.end(j, "not-loaded")
		return
	}
	a.w.submit(j, best)
}

func (a *always) ended(j *job)   {}
func (a *always) expired(j *job) {}
func (a *always) broken(j *job)  { a.arrive(j) }
func (a *always) ready(*replica) {}
func (a *always) lost(*engine)   {}
func (a *always) gone(*engine)   {}
func (a *always) tick()          {}

// policies returns the policies to compare, by name.
func policies() map[string]func(w *world, seed uint64) policy {
	return map[string]func(w *world, seed uint64) policy{
		"azurespan":        func(w *world, seed uint64) policy { return newSpan(w, seed) },
		"fixed-keep-alive": func(w *world, _ uint64) policy { return &fixed{w: w, waiting: map[[2]int][]*job{}} },
		"all-loaded": func(w *world, _ uint64) policy {
			a := &always{w: w}
			a.fill()
			return a
		},
	}
}
