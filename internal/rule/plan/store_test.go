package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// shared lets a weight store serve at most two loads at full speed, and more
// side by side at a lower one.
func (s *sim) shared(step time.Duration) {
	n := 0
	for _, e := range s.state {
		if e.changing != "" && !e.unload && !e.disk[e.changing] && s.now.Before(e.until) {
			n++
		}
	}
	for _, e := range s.state {
		if n > 2 && e.changing != "" && !e.unload && !e.disk[e.changing] {
			e.until = e.until.Add(step * time.Duration(n-2) / time.Duration(n))
		}
	}
}

// TestStoreCapacityIsLearned answers loads that begin one after the other on a
// store that serves two at full speed: the first one's slowness must not count
// as if it had been alone.
func TestStoreCapacityIsLearned(t *testing.T) {
	held := make([][]string, 14)
	s := newSim(t, 40, held...)
	const step = 20 * time.Millisecond
	most := 0
	for range 3000 {
		s.shared(step)
		s.run(step, nil)
		n := 0
		for _, e := range s.state {
			if e.changing != "" && !e.unload {
				n++
			}
		}
		if s.now.Sub(time.Unix(0, 0)) > 30*time.Second {
			most = max(most, n)
		}
		must.GreaterEq(t, 2.0, s.p.atOnce, must.Sprint(s.now))
	}
	must.Between(t, 2, s.p.atOnce, 3.5)
	must.Between(t, 2, most, 3)
	loaded := 0
	for i := range 40 {
		loaded += s.copies(fmt.Sprint("m", i))
	}
	// Two at once for 60 s, 6 s each.
	must.GreaterEq(t, 16, loaded)
}

// TestLateOrderIsNoCrowd guards against taking a load whose order was carried out
// late for the sign of a store that serves only one.
func TestLateOrderIsNoCrowd(t *testing.T) {
	s := newSim(t, 2, []string{"m0"}, nil)
	s.p.atOnce = 2
	for range 100 {
		s.run(20*time.Millisecond, nil)
	}
	late := 0
	for _, e := range s.state {
		if e.changing != "" {
			e.until = e.until.Add(4 * time.Second)
			late++
		}
	}
	must.Eq(t, 1, late)
	s.run(30*time.Second, nil)
	must.GreaterEq(t, 2.0, s.p.atOnce)
}
