package pacer

import "time"

// adapters counts the adapter loads of this daemon.
type adapters struct {
	running     int
	second      int64
	now, before int
}

// recent returns the number of starts in the last one to two seconds.
func (a *adapters) recent(now time.Time) int {
	a.turn(now)
	return a.now + a.before
}

func (a *adapters) turn(now time.Time) {
	switch s := now.Unix(); {
	case s == a.second+1:
		a.before, a.now, a.second = a.now, 0, s
	case s > a.second:
		a.before, a.now, a.second = 0, 0, s
	}
}

// StartAdapter reports whether an adapter load may start at now, and counts it
// if so. Adapter loads are shorter than news is late, so the limit is divided
// by the owners that loaded adapters lately.
func (p *Pacer) StartAdapterLoad(now time.Time) bool {
	if p.adapter.running >= p.Share(now).AdapterLoads {
		return false
	}
	p.adapter.turn(now)
	p.adapter.running++
	p.adapter.now++
	return true
}

// EndAdapter counts the end of an adapter load.
func (p *Pacer) EndAdapterLoad() { p.adapter.running = max(p.adapter.running-1, 0) }
