package bench

import (
	"cmp"
	"slices"
	"time"
)

const (
	// feasibleKeepLoaded is how long a model stays loaded after its last request
	// when the feasibility of requests is computed.
	feasibleKeepLoaded = time.Minute
	// feasibleMargin is the least time between the end of a feasible request
	// and its deadline.
	feasibleMargin = 100 * time.Millisecond
	// noRateChange is later than any time of a trace.
	noRateChange = time.Duration(1 << 62)
)

// idealLoader schedules loads that are limited only by the weight store: a
// remote load takes the transfer slot that is free first and runs at full rate.
type idealLoader struct {
	w          *world
	slotFreeAt [storeConcurrency]time.Duration
	lastStart  time.Duration
}

// load returns when a load of model that is requested at a given time ends.
func (l *idealLoader) load(at time.Duration, model int, tier uint8) (ready time.Duration) {
	weight := l.w.fleet.models[model].weightBytes
	if tier != tierRemote {
		return at + loadTime(tier, weight)
	}
	i := 0
	for k := range l.slotFreeAt {
		if l.slotFreeAt[k] < l.slotFreeAt[i] {
			i = k
		}
	}
	start := max(at, l.slotFreeAt[i], l.lastStart+storeStartInterval)
	if l.lastStart == 0 {
		start = max(at, l.slotFreeAt[i])
	}
	l.lastStart = start
	ready = l.transfer(start+loadOverhead, float64(weight))
	l.slotFreeAt[i] = ready
	return ready
}

// transfer returns the end of a transfer that starts at a given time. The rate
// is the full rate, reduced while a store-slow fault of the trace is active.
func (l *idealLoader) transfer(at time.Duration, bytes float64) time.Duration {
	for {
		rate, until := tierBytesPerSecond[tierRemote], noRateChange
		for _, f := range l.w.trace.Faults {
			if f.Kind != "store-slow" {
				continue
			}
			switch from, to := ms(f.AtMS), ms(f.UntilMS); {
			case at < from:
				until = from
			case at < to:
				rate, until = rate*f.Factor, to
			}
		}
		end := at + time.Duration(bytes/rate*nanosPerSecond)
		if end <= until {
			return end
		}
		bytes -= rate * (until - at).Seconds()
		at = until
	}
}

// coldBound returns the wait of each cold request under the physical bound, in
// order of arrival.
func (w *world) coldBound() []time.Duration {
	slices.SortFunc(w.metrics.coldSamples, func(a, b *coldSample) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	l := &idealLoader{w: w}
	ready := map[int]time.Duration{}
	var out []time.Duration
	for _, s := range w.metrics.coldSamples {
		at := ready[s.model]
		if at <= s.arrivedAt {
			at = l.load(s.arrivedAt, s.model, s.tier)
			ready[s.model] = at
		}
		out = append(out, at-s.arrivedAt)
	}
	return out
}

// minServiceTime returns the service time of r when it runs alone on an engine.
func minServiceTime(r *Request) time.Duration {
	return prefillTime + tokenInterval*time.Duration(r.Tokens)
}

// feasible reports for each request of the trace whether any policy could meet
// its deadline: the request runs alone on a replica that an idealLoader loads
// from the nearest tier, and a model stays loaded for feasibleKeepLoaded after
// its last request.
func (w *world) feasible() []bool {
	l := &idealLoader{w: w}
	ready, lastUsed := map[int]time.Duration{}, map[int]time.Duration{}
	out := make([]bool, len(w.trace.Requests))
	for i := range w.trace.Requests {
		r := &w.trace.Requests[i]
		at := ms(r.AtMS)
		if _, ok := ready[r.Model]; !ok || at > lastUsed[r.Model]+feasibleKeepLoaded {
			ready[r.Model] = l.load(at, r.Model, w.nearestTier(r.Model))
		}
		lastUsed[r.Model] = max(at, ready[r.Model])
		out[i] = max(at, ready[r.Model])+minServiceTime(r)+feasibleMargin <= at+ms(r.DeadlineMS)
	}
	return out
}

// clairvoyantIdleHours returns the lower bound of the idle accelerator hours for
// a policy that knows all requests and lets none wait. Each model is loaded once
// from the nearest tier; each later gap between requests costs the gap or a load
// from host memory, whichever is less. A policy that lets requests wait can go
// below this bound, because waiting requests then run together.
func (w *world) clairvoyantIdleHours() (hours float64) {
	busyUntil := map[int]time.Duration{}
	l := &idealLoader{w: w}
	for i := range w.trace.Requests {
		r := &w.trace.Requests[i]
		at := ms(r.AtMS)
		if r.AtMS < w.trace.measuredFromMS {
			continue
		}
		spec := &w.fleet.models[r.Model]
		share := float64(spec.memoryBytes) / engineMemoryBytes * engineAccelerators
		end, used := busyUntil[r.Model]
		switch {
		case !used:
			first := spec.loadTime(w.nearestTier(r.Model))
			if w.nearestTier(r.Model) == tierRemote {
				first = l.transfer(at+loadOverhead, float64(spec.weightBytes)) - at
			}
			hours += first.Hours() * share
		case at > end:
			hours += min(at-end, spec.loadTime(tierHostMemory)).Hours() * share
		}
		busyUntil[r.Model] = max(end, at+minServiceTime(r))
	}
	return hours
}
