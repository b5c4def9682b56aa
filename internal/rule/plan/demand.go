package plan

import (
	"maps"
	"math"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// RecordDemand records the demand that the daemon called name has sent.
func (p *Planner) RecordDemand(now time.Time, name string, d fleet.Demand) {
	if now.Sub(p.lastDemand) > rateTimeConstant {
		p.demandSince = now
		for _, k := range p.demands {
			k.heard = 0
		}
	}
	p.lastDemand = now
	for k, n := range d.Arrivals {
		p.demand(k).add(now, n)
		if k.Adapter != "" {
			p.demand(fleet.Key{Service: k.Service, Model: k.Model}).add(now, n)
		}
	}
	p.recordSlotTimes(now, d.SlotTimes)
	s := &daemonState{at: now, waiting: maps.Clone(d.Waiting), bound: d.Bound, running: d.Running, unreachable: map[string]bool{}}
	for k, n := range d.Bound {
		if left := s.waiting[k.Key] - n; left > 0 {
			s.waiting[k.Key] = left
		} else {
			delete(s.waiting, k.Key)
		}
	}
	for _, id := range d.Unreachable {
		s.unreachable[id] = true
	}
	p.daemons[name] = s
}

func (p *Planner) demand(k fleet.Key) *demand {
	d := p.demands[k]
	if d == nil {
		d = &demand{key: k}
		p.demands[k] = d
	}
	return d
}

// add adds requests that have arrived by now.
func (d *demand) add(now time.Time, n int) {
	d.decayTo(now)
	d.rate += float64(n) / rateTimeConstant.Seconds()
	d.recent.add(now, n)
	d.heard += n
}

// decayTo decays the smoothed rate to its value at now.
func (d *demand) decayTo(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 && !d.at.IsZero() {
		d.rate *= math.Exp(-dt.Seconds() / rateTimeConstant.Seconds())
	}
	d.at = now
}

// arrivalRate returns the arrival rate of d in requests per second. The
// smoothed rate is corrected for the start-up bias of its average while demand
// has been received for a short period only, so that a new holder doesn't take
// hot models for cold ones.
func (p *Planner) arrivalRate(now time.Time, d *demand) float64 {
	if period := max(now.Sub(p.demandSince), minDemandPeriod); period != p.biasPeriod {
		p.biasPeriod, p.bias = period, 1-math.Exp(-period.Seconds()/rateTimeConstant.Seconds())
	}
	return d.rate / p.bias
}
