package bench

import (
	"cmp"
	"slices"
	"time"
)

// ideal schedules loads without any limit but the store's: remote loads take
// the first free of its places at full speed.
type ideal struct {
	w         *world
	places    [storePlaces]time.Duration
	lastStart time.Duration
}

func (d *ideal) load(at time.Duration, model int, tier uint8) (ready time.Duration) {
	weight := d.w.f.models[model].weight
	if tier != 2 {
		return at + loadTime(tier, weight)
	}
	i := 0
	for k := range d.places {
		if d.places[k] < d.places[i] {
			i = k
		}
	}
	start := max(at, d.places[i], d.lastStart+storeEvery)
	if d.lastStart == 0 {
		start = max(at, d.places[i])
	}
	d.lastStart = start
	ready = d.transfer(start+loadStart, float64(weight))
	d.places[i] = ready
	return ready
}

// transfer returns the end of a transfer at full speed, slowed while the trace
// slows the store.
func (d *ideal) transfer(at time.Duration, bytes float64) time.Duration {
	for {
		rate, until := tierRate[2], time.Duration(1<<62)
		for _, f := range d.w.t.Faults {
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
		end := at + time.Duration(bytes/rate*1e9)
		if end <= until {
			return end
		}
		bytes -= rate * (until - at).Seconds()
		at = until
	}
}

// coldBound returns the wait of each cold request under the physical bound.
func (w *world) coldBound() []time.Duration {
	slices.SortFunc(w.m.cold, func(a, b *coldSample) int { return cmp.Compare(a.at, b.at) })
	d := &ideal{w: w}
	ready := map[int]time.Duration{}
	var out []time.Duration
	for _, s := range w.m.cold {
		at := ready[s.model]
		if at <= s.at {
			at = d.load(s.at, s.model, s.tier)
			ready[s.model] = at
		}
		out = append(out, at-s.at)
	}
	return out
}

// least is the shortest time from the start of r to its end.
func least(r *Request) time.Duration {
	return prefill + tokenBase*time.Duration(r.Tokens)
}

// feasible returns which requests can be met at all: alone on a replica that
// is loaded ideally, where a model stays loaded for a minute after its last
// request and is loaded from the nearest tier at first.
func (w *world) feasible() []bool {
	d := &ideal{w: w}
	ready, used := map[int]time.Duration{}, map[int]time.Duration{}
	out := make([]bool, len(w.t.Requests))
	for i := range w.t.Requests {
		r := &w.t.Requests[i]
		at := ms(r.AtMS)
		if _, ok := ready[r.Model]; !ok || at > used[r.Model]+time.Minute {
			ready[r.Model] = d.load(at, r.Model, w.nearest(r.Model))
		}
		used[r.Model] = max(at, ready[r.Model])
		out[i] = max(at, ready[r.Model])+least(r)+100*time.Millisecond <= at+ms(r.DeadlineMS)
	}
	return out
}

// clairvoyant returns the bound for idle accelerator hours of a policy that
// never lets a request wait: each model is loaded once from the nearest tier,
// and at each later gap the bound pays the gap or a load from host memory,
// whichever is less. A policy that lets requests wait can go below it, because
// waiting requests then run together.
func (w *world) clairvoyant() (hours float64) {
	until := map[int]time.Duration{}
	d := &ideal{w: w}
	for i := range w.t.Requests {
		r := &w.t.Requests[i]
		at := ms(r.AtMS)
		if r.AtMS < w.t.from {
			continue
		}
		spec := &w.f.models[r.Model]
		share := float64(spec.bytes) / engineMemory * accelerators
		end, used := until[r.Model]
		switch {
		case !used:
			first := spec.loads(w.nearest(r.Model))
			if w.nearest(r.Model) == 2 {
				first = d.transfer(at+loadStart, float64(spec.weight)) - at
			}
			hours += first.Hours() * share
		case at > end:
			hours += min(at-end, spec.loads(0)).Hours() * share
		}
		until[r.Model] = max(end, at+least(r))
	}
	return hours
}
