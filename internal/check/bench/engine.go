package bench

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/declare"
)

// submit runs or queues j on engine e. It returns false, without taking j, if e
// is lost or has no loaded replica of the model.
func (w *world) submit(j *job, e *engine) bool {
	r := e.replicas[j.Model]
	if e.lost || r == nil || !r.loaded {
		return false
	}
	j.engine, j.replica, j.sentAt = e, r, w.now
	if e.running < engineSequences {
		w.startJob(j)
		return true
	}
	// Engines queue urgent requests before background ones.
	at := len(e.queue)
	if j.Class == declare.Urgent {
		if i := slices.IndexFunc(e.queue, func(o *job) bool { return o.Class == declare.Background }); i >= 0 {
			at = i
		}
	}
	e.queue = slices.Insert(e.queue, at, j)
	return true
}

// startJob runs j on its engine and schedules its end.
func (w *world) startJob(j *job) {
	e, r := j.engine, j.replica
	if r.running == 0 {
		w.recordIdle(r)
	}
	r.running++
	e.running++
	interval := tokenInterval + tokenIntervalPerSequence*time.Duration(e.running-1)
	first := prefillTime
	if j.Adapter != 0 && !slices.Contains(r.adapters, j.Adapter) {
		first += adapterLoadTime
		if len(r.adapters) == adapterSlots {
			r.adapters = r.adapters[1:]
		}
		r.adapters = append(r.adapters, j.Adapter)
	}
	j.version++
	version := j.version
	startedAt := w.now
	if j.firstTokenAt == 0 {
		j.firstTokenAt = w.now + first
		w.metrics.recordFirstToken(j, j.firstTokenAt-j.arrivedAt)
	}
	w.metrics.recordTokenInterval(j, interval)
	w.after(first+interval*time.Duration(j.remainingTokens), func() {
		if j.version != version || j.ended {
			return
		}
		w.detach(j)
		w.endJob(j, served)
		w.policy.requestEnded(j)
		w.startQueued(e)
	})
	// Tokens that were delivered before the engine was lost are not generated
	// again.
	j.creditDelivered = func() {
		if n := int((w.now - startedAt - first) / interval); n > 0 {
			j.remainingTokens = max(j.remainingTokens-n, 1)
		}
	}
}

// detach removes j from the queue or the running sequences of its engine.
func (w *world) detach(j *job) {
	e, r := j.engine, j.replica
	if i := slices.Index(e.queue, j); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	} else {
		e.running--
		if r.running--; r.running == 0 {
			r.idleSince = w.now
		}
	}
	j.version++
}

// startQueued starts queued jobs while e has free sequences.
func (w *world) startQueued(e *engine) {
	for e.running < engineSequences && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		w.startJob(j)
	}
}

// recordIdle adds the accelerator time since r.idleSince to the idle hours, if r
// runs nothing, and resets r.idleSince to now.
func (w *world) recordIdle(r *replica) {
	if r.running > 0 {
		return
	}
	from := max(r.idleSince, ms(w.trace.measuredFromMS))
	if w.now > from {
		share := float64(w.fleet.models[r.model].memoryBytes) / engineMemoryBytes * engineAccelerators
		w.metrics.IdleHours += (w.now - from).Hours() * share
		if !r.loaded {
			w.metrics.LoadingHours += (w.now - from).Hours() * share
		}
	}
	r.idleSince = w.now
}

// startLoad adds a replica of a model to e and loads it. e must hold a grant for
// the model. If start is nil, the load begins at once; otherwise start receives
// the function that begins it and decides when to call it.
func (w *world) startLoad(e *engine, model int, start func(begin func(), remote bool)) *replica {
	if !e.grants[model] {
		panic("bench: load without a grant")
	}
	r := &replica{model: model, engine: e, idleSince: w.now}
	e.replicas[model] = r
	e.pendingLoads++
	tier := e.tiers[model]
	begin := func() {
		if r.removed {
			return
		}
		w.metrics.recordLoad(w.now)
		if tier != tierRemote {
			w.after(w.fleet.models[model].loadTime(tier), func() { w.finishLoad(r) })
			return
		}
		w.store.startLoad(r)
	}
	if start == nil {
		begin()
	} else {
		start(begin, tier == tierRemote)
	}
	return r
}

// finishLoad makes r ready for requests, unless it was removed during the load.
func (w *world) finishLoad(r *replica) {
	r.engine.pendingLoads--
	if r.removed {
		return
	}
	w.recordIdle(r)
	r.loaded = true
	r.engine.tiers[r.model] = min(r.engine.tiers[r.model], tierDisk)
	w.metrics.recordColdReady(r.model, w.now, func(d int) bool { return w.policy.reaches(d, r.engine) })
	w.policy.replicaReady(r)
}

// unload removes r from its engine. The checkpoint stays in host memory, which
// keeps hostMemoryCheckpoints of them; the oldest one goes back to disk.
func (w *world) unload(r *replica) {
	if r.running > 0 {
		panic("bench: unload of a replica in use")
	}
	w.recordIdle(r)
	r.removed = true
	e := r.engine
	delete(e.replicas, r.model)
	if i := slices.Index(e.hostMemoryModels, r.model); i >= 0 {
		e.hostMemoryModels = slices.Delete(e.hostMemoryModels, i, i+1)
	} else if len(e.hostMemoryModels) == hostMemoryCheckpoints {
		e.tiers[e.hostMemoryModels[0]] = tierDisk
		e.hostMemoryModels = e.hostMemoryModels[1:]
	}
	e.hostMemoryModels = append(e.hostMemoryModels, r.model)
	e.tiers[r.model] = tierHostMemory
}

// grant reserves memory on e for a model. It panics if the engine's memory would
// be overcommitted, which the rules of the control state forbid.
func (w *world) grant(e *engine, model int) {
	if e.grants[model] {
		return
	}
	e.reservedBytes += w.fleet.models[model].memoryBytes
	if e.reservedBytes > engineMemoryBytes {
		panic("bench: memory overcommitted")
	}
	e.grants[model] = true
}

// release returns the memory that a grant reserved.
func (w *world) release(e *engine, model int) {
	if e.grants[model] {
		delete(e.grants, model)
		e.reservedBytes -= w.fleet.models[model].memoryBytes
	}
}

// grantCount returns the number of engines that hold a grant for a model.
func (w *world) grantCount(model int) (n int) {
	for _, e := range w.engines {
		if e.grants[model] {
			n++
		}
	}
	return n
}
