package bench

import (
	"slices"
)

// fixedKeepAlive is the policy in which each daemon loads a model on the first
// request for it, on upstreams that only this daemon uses, and unloads it after
// keepAlive. Daemons share neither replicas nor the limits of the weight store.
// Requests wait while no engine has enough memory. The configured replica
// limits are ignored.
type fixedKeepAlive struct {
	w *world
	// waiting holds queued requests by daemon and model, in order of arrival.
	waiting map[[2]int][]*job
}

var _ policy = (*fixedKeepAlive)(nil)

// enginesOf returns the engines of daemon d that are not lost.
func (f *fixedKeepAlive) enginesOf(d int) (out []*engine) {
	for _, e := range f.w.engines {
		if f.reaches(d, e) && !e.lost {
			out = append(out, e)
		}
	}
	return out
}

func (f *fixedKeepAlive) reaches(d int, e *engine) bool {
	return e.id%f.w.fleet.deployment.Daemons == d
}

func (f *fixedKeepAlive) requestArrived(j *job) {
	k := [2]int{j.Daemon, j.Model}
	f.waiting[k] = append(f.waiting[k], j)
	f.dispatch(j.Daemon, j.Model)
}

// dispatch submits the requests of daemon d that wait for a model, or starts a
// load if the daemon has no replica of it.
func (f *fixedKeepAlive) dispatch(d, model int) {
	k := [2]int{d, model}
	if len(f.waiting[k]) == 0 {
		return
	}
	es := f.enginesOf(d)
	for _, e := range es {
		if r := e.replicas[model]; r != nil {
			if r.loaded {
				for _, j := range f.waiting[k] {
					f.w.submit(j, e)
				}
				delete(f.waiting, k)
			}
			return
		}
	}
	need := f.w.fleet.models[model].memoryBytes
	for _, e := range es {
		if f.makeRoom(e, need) {
			f.w.grant(e, model)
			f.w.startLoad(e, model, nil)
			return
		}
	}
}

// makeRoom evicts idle replicas of e, the least recently used first, until need
// bytes are free. If evicting all of them would not be enough, it evicts none
// and returns false.
func (f *fixedKeepAlive) makeRoom(e *engine, need int64) bool {
	var idle []*replica
	free := engineMemoryBytes - e.reservedBytes
	for k := range f.w.fleet.models {
		if r := e.replicas[k]; r != nil && r.loaded && r.running == 0 && !slices.ContainsFunc(e.queue, func(j *job) bool { return j.replica == r }) {
			idle = append(idle, r)
			free += f.w.fleet.models[r.model].memoryBytes
		}
	}
	if free < need {
		return false
	}
	slices.SortFunc(idle, func(a, b *replica) int { return int(a.idleSince - b.idleSince) })
	for i := 0; engineMemoryBytes-e.reservedBytes < need; i++ {
		f.w.unload(idle[i])
		f.w.release(e, idle[i].model)
	}
	return true
}

func (f *fixedKeepAlive) requestEnded(j *job) {}

func (f *fixedKeepAlive) requestExpired(j *job) {
	k := [2]int{j.Daemon, j.Model}
	f.waiting[k] = slices.DeleteFunc(f.waiting[k], func(o *job) bool { return o == j })
}

func (f *fixedKeepAlive) requestInterrupted(j *job) { f.requestArrived(j) }

func (f *fixedKeepAlive) replicaReady(r *replica) {
	f.dispatch(r.engine.id%f.w.fleet.deployment.Daemons, r.model)
}

func (f *fixedKeepAlive) engineLost(e *engine) {}

func (f *fixedKeepAlive) engineRemoved(e *engine) {}

func (f *fixedKeepAlive) tick() {
	for _, e := range f.w.engines {
		for k := range f.w.fleet.models {
			r := e.replicas[k]
			if r != nil && r.loaded && r.running == 0 && f.w.now-r.idleSince >= keepAlive &&
				!slices.ContainsFunc(e.queue, func(j *job) bool { return j.replica == r }) {
				f.w.unload(r)
				f.w.release(e, k)
			}
		}
	}
	for d := range f.w.fleet.deployment.Daemons {
		for k := range f.w.fleet.models {
			f.dispatch(d, k)
		}
	}
}

// allLoaded is the policy that loads every model that fits before the trace
// starts and never unloads it. Requests for other models are refused.
type allLoaded struct{ w *world }

var _ policy = (*allLoaded)(nil)

// loadInitial loads each model once, the most used first, and then adds further
// replicas while memory and the replica limits allow. These loads take no time
// and are not counted in the metrics.
func (a *allLoaded) loadInitial() {
	for round := range maxReplicaLimit {
		for k := range a.w.fleet.models {
			spec := &a.w.fleet.models[k]
			if round >= spec.Replicas || a.w.grantCount(k) > round {
				continue
			}
			for _, e := range a.w.engines {
				if !e.grants[k] && engineMemoryBytes-e.reservedBytes >= spec.memoryBytes {
					a.w.grant(e, k)
					e.replicas[k] = &replica{model: k, engine: e, loaded: true}
					break
				}
			}
		}
	}
}

func (a *allLoaded) reaches(int, *engine) bool { return true }

func (a *allLoaded) requestArrived(j *job) {
	var best *engine
	for _, e := range a.w.engines {
		if r := e.replicas[j.Model]; r != nil && (best == nil || e.running+len(e.queue) < best.running+len(best.queue)) {
			best = e
		}
	}
	if best == nil {
		a.w.endJob(j, "not-loaded")
		return
	}
	a.w.submit(j, best)
}

func (a *allLoaded) requestEnded(j *job)       {}
func (a *allLoaded) requestExpired(j *job)     {}
func (a *allLoaded) requestInterrupted(j *job) { a.requestArrived(j) }
func (a *allLoaded) replicaReady(*replica)     {}
func (a *allLoaded) engineLost(*engine)        {}
func (a *allLoaded) engineRemoved(*engine)     {}
func (a *allLoaded) tick()                     {}

// policyConstructors returns the constructors of the compared policies by name.
func policyConstructors() map[string]func(w *world, seed uint64) policy {
	return map[string]func(w *world, seed uint64) policy{
		"azurespan":        func(w *world, seed uint64) policy { return newAzurespanPolicy(w, seed) },
		"fixed-keep-alive": func(w *world, _ uint64) policy { return &fixedKeepAlive{w: w, waiting: map[[2]int][]*job{}} },
		"all-loaded": func(w *world, _ uint64) policy {
			a := &allLoaded{w: w}
			a.loadInitial()
			return a
		},
	}
}
