package plan

import (
	"math"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// slotTime is the exponentially smoothed number of requests that ended, and the time in
	// seconds for which they occupied their slots, as of at.
	slotTime struct {
		ended, first, rest float64
		at                 time.Time
	}

	// recentArrivals counts the requests of the last intervals. interval is the number of
	// the present one.
	recentArrivals struct {
		counts   [recentIntervals]float64
		interval int64
	}
)

const (
	// slotTimeConstant is the time constant of the smoothed slot times. They depend on what
	// callers ask of a model, which changes little.
	slotTimeConstant = 15 * time.Second
	// slotTimePrior is the number of requests as which the mean of the service counts beside
	// those of a model.
	slotTimePrior = 4
	// maxFirstFactor bounds the mean time to the first event of a model, in multiples of the
	// median of the service's models. What is beyond is a wait for a slot at a full engine.
	maxFirstFactor = 2
	// recentInterval is the interval by which recent arrivals are counted, as daemons report
	// them, and recentIntervals the number of intervals that are kept.
	recentInterval  = 200 * time.Millisecond
	recentIntervals = 16
	// minRecent is the shortest period of recent arrivals from which a rate is estimated: 3
	// intervals.
	minRecent = 600 * time.Millisecond
)

// recordSlotTimes records the slot times that a daemon has sent.
func (p *Planner) recordSlotTimes(now time.Time, times map[fleet.Key]fleet.SlotTime) {
	for k, s := range times {
		if s.Ended <= 0 || s.First < 0 || s.Rest < 0 {
			continue
		}
		for _, k := range []fleet.Key{{Service: k.Service}, {Service: k.Service, Model: k.Model}} {
			t := p.slotTimes[k]
			t.decayTo(now)
			t.ended += float64(s.Ended)
			t.first += s.First.Seconds()
			t.rest += s.Rest.Seconds()
			p.slotTimes[k] = t
		}
	}
}

// decayTo decays the sums to their values at now.
func (t *slotTime) decayTo(now time.Time) {
	if dt := now.Sub(t.at); dt > 0 && !t.at.IsZero() {
		f := math.Exp(-dt.Seconds() / slotTimeConstant.Seconds())
		t.ended, t.first, t.rest = t.ended*f, t.first*f, t.rest*f
	}
	t.at = now
}

// typicalFirst returns the median over the models of a service of their mean time to the
// first event, in seconds.
func (p *Planner) typicalFirst(service string) float64 {
	p.firsts = p.firsts[:0]
	for k, t := range p.slotTimes {
		if k.Service == service && k.Model != "" && t.ended > 0 {
			p.firsts = append(p.firsts, t.first/t.ended)
		}
	}
	if len(p.firsts) == 0 {
		return 0
	}
	slices.Sort(p.firsts)
	return p.firsts[len(p.firsts)/2]
}

// slotSeconds returns the mean time, in seconds, for which a request of a model occupies a
// slot, 0 if no daemon has measured any of the service. typical is typicalFirst.
func (p *Planner) slotSeconds(k fleet.Key, typical float64) float64 {
	all := p.slotTimes[fleet.Key{Service: k.Service}]
	if all.ended <= 0 {
		return 0
	}
	// Ended requests of a model and of the service decay alike, if not to the same time.
	t := p.slotTimes[k]
	first := (t.first + slotTimePrior*typical) / (t.ended + slotTimePrior)
	rest := (t.rest + slotTimePrior*all.rest/all.ended) / (t.ended + slotTimePrior)
	return min(first, maxFirstFactor*typical) + rest
}

// recentWindows are the periods of recent arrivals, in intervals, that show a change of the
// rate, from the longest to the shortest.
var recentWindows = [...]int{15, 10, 5, 3}

// add counts requests in the interval of now.
func (r *recentArrivals) add(now time.Time, n int) {
	r.advance(now)
	r.counts[r.interval%recentIntervals] += float64(n)
}

// advance begins the interval of now.
func (r *recentArrivals) advance(now time.Time) {
	i := now.UnixMilli() / recentInterval.Milliseconds()
	if i-r.interval >= recentIntervals {
		clear(r.counts[:])
		r.interval = i
	}
	for r.interval < i {
		r.interval++
		r.counts[r.interval%recentIntervals] = 0
	}
}

// offeredRate returns the arrival rate of d in requests per second as it is now: the
// smoothed rate, as far as recent arrivals don't show that it has changed. It changes to the
// limits of what is likely, one standard deviation from the recent rate.
func (p *Planner) offeredRate(now time.Time, d *demand) float64 {
	rate := p.arrivalRate(now, d)
	heard := max(now.Sub(p.demandSince), minRecent)
	d.recent.advance(now)
	begun := time.Duration(now.UnixMilli()%recentInterval.Milliseconds()) * time.Millisecond
	for _, w := range recentWindows {
		period := time.Duration(w-1)*recentInterval + begun
		if period > heard {
			continue
		}
		n := 0.0
		for i := range w {
			n += d.recent.counts[(d.recent.interval-int64(i)+recentIntervals)%recentIntervals]
		}
		low, high := n-math.Sqrt(n), n+math.Sqrt(n)+1
		rate = min(max(rate, low/period.Seconds()), high/period.Seconds())
	}
	return rate
}
