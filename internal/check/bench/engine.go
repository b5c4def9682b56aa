package bench

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/declare"
)

// submit sends j to engine e and reports false if e has no loaded replica of
// its model, so that the request was not run.
func (w *world) submit(j *job, e *engine) bool {
	r := e.reps[j.Model]
	if e.lost || r == nil || !r.loaded {
		return false
	}
	j.eng, j.rep, j.sent = e, r, w.now
	if e.running < sequences {
		w.start(j)
		return true
	}
	// Engines honour priorities: urgent requests before background ones.
	at := len(e.queue)
	if j.Class == declare.Urgent {
		if i := slices.IndexFunc(e.queue, func(o *job) bool { return o.Class == declare.Background }); i >= 0 {
			at = i
		}
	}
	e.queue = slices.Insert(e.queue, at, j)
	return true
}

func (w *world) start(j *job) {
	e, r := j.eng, j.rep
	if r.running == 0 {
		w.idle(r)
	}
	r.running++
	e.running++
	between := tokenBase + tokenMore*time.Duration(e.running-1)
	first := prefill
	if j.Adapter != 0 && !slices.Contains(r.adapters, j.Adapter) {
		first += adapterTime
		if len(r.adapters) == adapterSlots {
			r.adapters = r.adapters[1:]
		}
		r.adapters = append(r.adapters, j.Adapter)
	}
	j.version++
	version := j.version
	begun := w.now
	if j.firstAt == 0 {
		j.firstAt = w.now + first
		w.m.first(j, j.firstAt-j.at)
	}
	w.m.between(j, between)
	w.after(first+between*time.Duration(j.left), func() {
		if j.version != version || j.ended {
			return
		}
		w.leave(j)
		w.end(j, served)
		w.p.ended(j)
		w.startNext(e)
	})
	// Tokens that were delivered before a loss are not made again.
	j.progress = func() {
		if n := int((w.now - begun - first) / between); n > 0 {
			j.left = max(j.left-n, 1)
		}
	}
}

// leave takes j off its engine's queue or sequences.
func (w *world) leave(j *job) {
	e, r := j.eng, j.rep
	if i := slices.Index(e.queue, j); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	} else {
		e.running--
		if r.running--; r.running == 0 {
			r.since = w.now
		}
	}
	j.version++
}

func (w *world) startNext(e *engine) {
	for e.running < sequences && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		w.start(j)
	}
}

// idle adds the time since r.since, during which r ran nothing, to the idle
// accelerator time, and restarts the count.
func (w *world) idle(r *replica) {
	if r.running > 0 {
		return
	}
	from := max(r.since, ms(w.t.from))
	if w.now > from {
		share := float64(w.f.models[r.model].bytes) / engineMemory * accelerators
		w.m.IdleHours += (w.now - from).Hours() * share
		if !r.loaded {
			w.m.LoadingHours += (w.now - from).Hours() * share
		}
	}
	r.since = w.now
}

// load begins a load on e, whose grant must exist. start says when the
// transfer may begin: nil for at once, else it is called with the function
// that begins it.
func (w *world) load(e *engine, model int, start func(begin func(), remote bool)) *replica {
	if !e.grants[model] {
		panic("bench: load without a grant")
	}
	r := &replica{model: model, eng: e, since: w.now}
	e.reps[model] = r
	e.pending++
	tier := e.tiers[model]
	begin := func() {
		if r.gone {
			return
		}
		w.m.loads(w.now)
		if tier != 2 {
			w.after(w.f.models[model].loads(tier), func() { w.loadEnds(r) })
			return
		}
		w.store.begin(r)
	}
	if start == nil {
		begin()
	} else {
		start(begin, tier == 2)
	}
	return r
}

func (w *world) loadEnds(r *replica) {
	r.eng.pending--
	if r.gone {
		return
	}
	w.idle(r)
	r.loaded = true
	r.eng.tiers[r.model] = min(r.eng.tiers[r.model], 1)
	w.m.coldReady(r.model, w.now, func(d int) bool { return w.p.reaches(d, r.eng) })
	w.p.ready(r)
}

// unload frees the engine of r; its checkpoint stays in the host's memory, in
// place of the oldest one if two are there.
func (w *world) unload(r *replica) {
	if r.running > 0 {
		panic("bench: unload of a replica in use")
	}
	w.idle(r)
	r.gone = true
	e := r.eng
	delete(e.reps, r.model)
	if i := slices.Index(e.cached, r.model); i >= 0 {
		e.cached = slices.Delete(e.cached, i, i+1)
	} else if len(e.cached) == 2 {
		e.tiers[e.cached[0]] = 1
		e.cached = e.cached[1:]
	}
	e.cached = append(e.cached, r.model)
	e.tiers[r.model] = 0
}

// grant and release keep the memory's account; grant panics if a limit of the
// ledger would be broken.
func (w *world) grant(e *engine, model int) {
	if e.grants[model] {
		return
	}
	e.reserved += w.f.models[model].bytes
	if e.reserved > engineMemory {
		panic("bench: memory overcommitted")
	}
	e.grants[model] = true
}

func (w *world) release(e *engine, model int) {
	if e.grants[model] {
		delete(e.grants, model)
		e.reserved -= w.f.models[model].bytes
	}
}

func (w *world) grantsOf(model int) (n int) {
	for _, e := range w.engines {
		if e.grants[model] {
			n++
		}
	}
	return n
}
