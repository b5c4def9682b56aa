package pacer

import "time"

// adapterLoads counts the adapter loads of this daemon.
type adapterLoads struct {
	running int
	// second is the Unix time of the current one-second window; current and
	// previous are the starts in this window and the one before.
	second            int64
	current, previous int
}

// recent returns the number of starts in the last one to two seconds.
func (a *adapterLoads) recent(now time.Time) int {
	a.advance(now)
	return a.current + a.previous
}

// advance moves the windows to now.
func (a *adapterLoads) advance(now time.Time) {
	switch s := now.Unix(); {
	case s == a.second+1:
		a.previous, a.current, a.second = a.current, 0, s
	case s > a.second:
		a.previous, a.current, a.second = 0, 0, s
	}
}

// StartAdapterLoad reports whether an adapter load may start at now, and counts
// it if so. An adapter load is shorter than the delay with which peers learn of
// it, so the limit is divided by the number of owners that loaded adapters
// recently.
func (p *Pacer) StartAdapterLoad(now time.Time) bool {
	if p.adapterLoads.running >= p.Share(now).AdapterLoads {
		return false
	}
	p.adapterLoads.advance(now)
	p.adapterLoads.running++
	p.adapterLoads.current++
	return true
}

// EndAdapterLoad records the end of an adapter load.
func (p *Pacer) EndAdapterLoad() { p.adapterLoads.running = max(p.adapterLoads.running-1, 0) }
