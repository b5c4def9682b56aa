package loads

import (
	"slices"
	"time"
)

type (
	// Sums are the requests in progress of all daemons. It is not safe for concurrent use.
	Sums struct {
		slots   map[string]int
		daemons map[string]*report
		total   map[string]int
		// ranked are the upstreams with requests as of rankedAt, those with the most
		// for their slots first.
		ranked   []ranked
		rankedAt time.Time
	}

	// report is what a daemon has reported last.
	report struct {
		at      time.Time
		running map[string]int
	}

	ranked struct {
		upstream string
		load     float64
	}
)

const (
	// rankTTL is how long the order of upstreams is used again.
	rankTTL = 50 * time.Millisecond
	// entryBytes is the size of an entry on the wire: an ID of 12 characters and a count.
	entryBytes = 16
	// minEntries is the least number that a daemon is told, so that it knows the fullest.
	minEntries = 100
)

// New returns empty Sums.
func New() *Sums {
	return &Sums{slots: map[string]int{}, daemons: map[string]*report{}, total: map[string]int{}}
}

// MaxEntries returns the number of entries of a reply if the holder sends so many replies
// a second to all daemons together, and so many bytes a second of loads.
func MaxEntries(repliesPerSecond, bytesPerSecond float64) int {
	return max(int(bytesPerSecond/entryBytes/max(repliesPerSecond, 1)), minEntries)
}

// SetSlots sets the number of requests that an upstream runs at once.
func (s *Sums) SetSlots(slots map[string]int) { s.slots, s.rankedAt = slots, time.Time{} }

// Report replaces what a daemon has in progress by upstream.
func (s *Sums) Report(now time.Time, daemon string, running map[string]int) {
	s.forget(daemon)
	s.daemons[daemon] = &report{at: now, running: running}
	for id, n := range running {
		s.total[id] += n
	}
}

// forget removes what a daemon has reported.
func (s *Sums) forget(daemon string) {
	r := s.daemons[daemon]
	if r == nil {
		return
	}
	for id, n := range r.running {
		if s.total[id] -= n; s.total[id] <= 0 {
			delete(s.total, id)
		}
	}
	delete(s.daemons, daemon)
}

// Expire forgets the daemons that have not reported for ttl.
func (s *Sums) Expire(now time.Time, ttl time.Duration) {
	for name, r := range s.daemons {
		if now.Sub(r.at) > ttl {
			s.forget(name)
		}
	}
}

// Others returns what all daemons but one have in progress, for at most limit upstreams, and
// the mean load of those that are left out, in requests per slot.
func (s *Sums) Others(now time.Time, daemon string, limit int) (running map[string]int, rest float64) {
	var own map[string]int
	if r := s.daemons[daemon]; r != nil {
		own = r.running
	}
	s.rank(now)
	told := s.ranked[:min(len(s.ranked), limit)]
	running = make(map[string]int, len(told))
	for _, u := range told {
		if n := s.total[u.upstream] - own[u.upstream]; n > 0 {
			running[u.upstream] = n
		}
	}
	if left := max(len(s.slots), len(s.ranked)) - len(told); left > 0 {
		for _, u := range s.ranked[len(told):] {
			rest += u.load
		}
		rest /= float64(left)
	}
	return running, rest
}

// rank orders the upstreams by load if the present order is too old.
func (s *Sums) rank(now time.Time) {
	if !s.rankedAt.IsZero() && now.Sub(s.rankedAt) < rankTTL {
		return
	}
	s.rankedAt, s.ranked = now, s.ranked[:0]
	for id, n := range s.total {
		s.ranked = append(s.ranked, ranked{id, float64(n) / float64(max(s.slots[id], 1))})
	}
	slices.SortFunc(s.ranked, func(a, b ranked) int {
		switch {
		case a.load > b.load:
			return -1
		case a.load < b.load:
			return 1
		case a.upstream < b.upstream:
			return -1
		}
		return 1
	})
}
