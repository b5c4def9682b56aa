package bench

import (
	"math"
	"time"
)

// Limits of the weight store (project brief).
const (
	storeConcurrency   = 4                      // concurrent loads at full rate, approximately
	storeStartInterval = 250 * time.Millisecond // four starts per second
)

type (
	transfer struct {
		replica        *replica
		remainingBytes float64
	}

	// store simulates the weight store. Up to storeConcurrency transfers run at
	// full rate; more of them share the total rate equally.
	store struct {
		w          *world
		active     []*transfer
		rateFactor float64       // below 1 during a store-slow fault
		advancedAt time.Duration // when remainingBytes were last updated
		lastStart  time.Duration
		version    int // of the schedule; events of older versions are ignored
		starting   int // loads whose transfer has not begun
	}
)

// utilization returns the loads in progress as a share of storeConcurrency.
func (s *store) utilization() float64 { return float64(len(s.active)+s.starting) / storeConcurrency }

// startLoad begins a remote load of r at the next start that the store allows.
func (s *store) startLoad(r *replica) {
	s.lastStart = max(s.w.now, s.lastStart+storeStartInterval)
	s.starting++
	s.w.metrics.MaxStoreLoads = max(s.w.metrics.MaxStoreLoads, s.starting+len(s.active))
	s.w.after(s.lastStart-s.w.now+loadOverhead, func() {
		s.starting--
		if r.removed {
			r.engine.pendingLoads--
			return
		}
		s.advance()
		s.active = append(s.active, &transfer{r, float64(s.w.fleet.models[r.model].weightBytes)})
		s.schedule()
	})
}

// transferRate returns the rate of each active transfer in bytes per second.
func (s *store) transferRate() float64 {
	return tierBytesPerSecond[tierRemote] * s.rateFactor * min(1, storeConcurrency/math.Max(float64(len(s.active)), 1))
}

// advance updates the remaining bytes of the active transfers to now.
func (s *store) advance() {
	transferred := s.transferRate() * (s.w.now - s.advancedAt).Seconds()
	for _, t := range s.active {
		t.remainingBytes -= transferred
	}
	s.advancedAt = s.w.now
}

// schedule plans an event for the end of the transfer that ends first. The event
// is one microsecond late, so that rounding leaves no bytes.
func (s *store) schedule() {
	s.version++
	if len(s.active) == 0 {
		return
	}
	least := s.active[0].remainingBytes
	for _, t := range s.active {
		least = min(least, t.remainingBytes)
	}
	version := s.version
	s.w.after(time.Duration(max(least, 0)/s.transferRate()*nanosPerSecond)+time.Microsecond, func() {
		if s.version != version {
			return
		}
		s.advance()
		var ended []*transfer
		kept := s.active[:0]
		for _, t := range s.active {
			if t.remainingBytes <= 0 {
				ended = append(ended, t)
			} else {
				kept = append(kept, t)
			}
		}
		s.active = kept
		s.schedule()
		for _, t := range ended {
			s.w.finishLoad(t.replica)
		}
	})
}
