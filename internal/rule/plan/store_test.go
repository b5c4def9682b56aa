package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// shareStore simulates a weight store that serves at most two loads at full
// speed and divides its capacity evenly among more.
func (s *sim) shareStore(step time.Duration) {
	n := 0
	for _, e := range s.engines {
		if e.changing != "" && !e.unload && !e.disk[e.changing] && s.now.Before(e.changeEnds) {
			n++
		}
	}
	for _, e := range s.engines {
		if n > 2 && e.changing != "" && !e.unload && !e.disk[e.changing] {
			e.changeEnds = e.changeEnds.Add(step * time.Duration(n-2) / time.Duration(n))
		}
	}
}

// TestStoreConcurrencyIsAdjusted guards against a wrong store concurrency after
// loads that start one after another on a store that serves two at full speed:
// the slowness of the first one must not be attributed to that load alone.
func TestStoreConcurrencyIsAdjusted(t *testing.T) {
	held := make([][]string, 14)
	s := newSim(t, 40, held...)
	const step = 20 * time.Millisecond
	most := 0
	for range 3000 {
		s.shareStore(step)
		s.run(step, nil)
		n := 0
		for _, e := range s.engines {
			if e.changing != "" && !e.unload {
				n++
			}
		}
		if s.now.Sub(time.Unix(0, 0)) > 30*time.Second {
			most = max(most, n)
		}
		must.GreaterEq(t, 2.0, s.p.storeConcurrency, must.Sprint(s.now))
	}
	must.Between(t, 2, s.p.storeConcurrency, 3.5)
	must.Between(t, 2, most, 3)
	loaded := 0
	for i := range 40 {
		loaded += s.copies(fmt.Sprint("m", i))
	}
	// Two concurrent loads of 6 s each for 60 s.
	must.GreaterEq(t, 16, loaded)
}

// TestLateOrderDoesNotLowerStoreConcurrency guards against taking a load whose
// order was carried out late as evidence of a store that serves only one load
// at a time.
func TestLateOrderDoesNotLowerStoreConcurrency(t *testing.T) {
	s := newSim(t, 2, []string{"m0"}, nil)
	s.p.storeConcurrency = 2
	for range 100 {
		s.run(20*time.Millisecond, nil)
	}
	late := 0
	for _, e := range s.engines {
		if e.changing != "" {
			e.changeEnds = e.changeEnds.Add(4 * time.Second)
			late++
		}
	}
	must.Eq(t, 1, late)
	s.run(30*time.Second, nil)
	must.GreaterEq(t, 2.0, s.p.storeConcurrency)
}
