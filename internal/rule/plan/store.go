package plan

import "time"

// storeRoom reports whether a load from the weight store may begin. What another
// holder has ordered may be one, too.
// One place is kept for models that are waited for or overloaded.
func (p *Planner) storeRoom(now time.Time, urgent bool) bool {
	under := 0
	rate := 0.0
	for _, e := range p.engines {
		if e.unload != nil && e.unload.model == "" && now.Sub(e.unload.began) < p.slowest(e) {
			under++
			continue
		}
		if e.goal != nil && e.tier(e.goal.model) == Store || e.load != nil && e.load.tier == Store && now.Sub(e.load.began) < lostLoad*e.load.expected || e.sent != nil && !e.sent.Unload && e.sent.Adapter == "" && e.tier(e.sent.Model) == Store {
			under++
		}
	}
	for _, s := range p.cfg.Services {
		if s.Engine != nil {
			rate = max(rate, s.Engine.StoreLoadsPerSecond)
		}
	}
	places := int(p.atOnce)
	if !urgent && p.busy() {
		places = max(places-1, 1)
	}
	if under >= places {
		return false
	}
	return float64(len(p.storeStarts)) < rate*p.set.StoreWindow.Seconds()
}

// slowest returns the longest time that a load on e should take.
func (p *Planner) slowest(e *engine) (d time.Duration) {
	if s := p.spec(e); s != nil {
		for _, m := range s.Models {
			d = max(d, m.StoreLoadTime)
		}
	}
	return d
}

// accountStore accounts for the time since the last call, in which the store has served
// the loads under way side by side.
func (p *Planner) accountStore(now time.Time) {
	if dt := now.Sub(p.storeLoadsAt).Seconds(); p.storeLoads > 0 && dt > 0 {
		p.storeGiven += dt / float64(p.storeLoads)
	}
	p.storeLoadsAt, p.storeLoads = now, 0
	for _, e := range p.engines {
		if e.load != nil && e.load.tier == Store && now.Sub(e.load.began) < lostLoad*e.load.expected {
			p.storeLoads++
		}
	}
}

// learn adapts the number of loads at once to the time that one took: what the
// store gave to one load in place of its stated time is the part of its speed
// that one gets.
func (p *Planner) learn(now time.Time, l *loading) {
	took, stated := now.Sub(l.began).Seconds(), l.expected.Seconds()
	if stated <= 0 {
		return
	}
	if took > slowLoad*stated {
		// One load at least is served at full speed. What is slower has
		// another reason, such as an order that was carried out late.
		if n := stated / max(p.storeGiven-l.storeGiven, 0.01); n >= 1 {
			p.atOnce = min(p.atOnce, n*learnSlack)
		}
		return
	}
	p.atOnce = min(p.atOnce+0.25, mostAtOnce)
}

// duration returns the stated time of a load.
func (p *Planner) duration(e *engine, model string, tier Tier) time.Duration {
	m := p.spec(e).Models[model]
	switch tier {
	case Memory:
		return m.MemoryLoadTime
	case Disk:
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}
