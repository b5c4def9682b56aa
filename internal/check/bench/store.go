package bench

import (
	"math"
	"time"
)

// storePlaces and storeEvery are the weight store's limits (brief): about four
// loads at once at full speed, four starts a second.
const (
	storePlaces = 4
	storeEvery  = 250 * time.Millisecond
)

type (
	transfer struct {
		r    *replica
		left float64 // bytes
	}

	// store serves remote loads at full speed up to its places; beyond them
	// all become proportionally slower.
	store struct {
		w         *world
		active    []*transfer
		factor    float64
		last      time.Duration
		lastStart time.Duration
		version   int
		starting  int
	}
)

// load is the share of the store's places in use.
func (s *store) load() float64 { return float64(len(s.active)+s.starting) / storePlaces }

func (s *store) begin(r *replica) {
	s.lastStart = max(s.w.now, s.lastStart+storeEvery)
	s.starting++
	s.w.m.StoreMost = max(s.w.m.StoreMost, s.starting+len(s.active))
	s.w.after(s.lastStart-s.w.now+loadStart, func() {
		s.starting--
		if r.gone {
			r.eng.pending--
			return
		}
		s.advance()
		s.active = append(s.active, &transfer{r, float64(s.w.f.models[r.model].weight)})
		s.schedule()
	})
}

func (s *store) rate() float64 {
	return tierRate[2] * s.factor * min(1, storePlaces/math.Max(float64(len(s.active)), 1))
}

func (s *store) advance() {
	done := s.rate() * (s.w.now - s.last).Seconds()
	for _, t := range s.active {
		t.left -= done
	}
	s.last = s.w.now
}

// schedule plans the end of the transfer that ends first.
func (s *store) schedule() {
	s.version++
	if len(s.active) == 0 {
		return
	}
	left := s.active[0].left
	for _, t := range s.active {
		left = min(left, t.left)
	}
	v := s.version
	s.w.after(time.Duration(max(left, 0)/s.rate()*1e9)+time.Microsecond, func() {
		if s.version != v {
			return
		}
		s.advance()
		var ended []*transfer
		kept := s.active[:0]
		for _, t := range s.active {
			if t.left <= 0 {
				ended = append(ended, t)
			} else {
				kept = append(kept, t)
			}
		}
		s.active = kept
		s.schedule()
		for _, t := range ended {
			s.w.loadEnds(t.r)
		}
	})
}
