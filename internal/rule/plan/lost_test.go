package plan

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestCopiesOnCrashedEngines plays the seconds in which the register still lists engines
// that have crashed under the requests of a model. It guards against a planner that takes
// their copies for present, so that it loads no other one and even evicts that of an engine
// that lives (issue 41); one daemon's broken path is no crash, nor is an engine lost that
// another daemon uses.
func TestCopiesOnCrashedEngines(t *testing.T) {
	for _, c := range []struct {
		name string
		// reports is the number of daemons that can't reach the engines, used that of
		// those that have requests there.
		reports, used int
		loads         bool
	}{
		{"crashed", 2, 0, true},
		{"one daemon", 1, 0, false},
		{"used by another daemon", 2, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(t, 3, []string{"m0"}, []string{"m0"}, []string{"m1"}, []string{"m2"})
			s.engines["e2"].disk["m0"] = true
			s.run(2*time.Second, nil)
			for range 10 {
				for d := range 3 {
					demand := fleet.Demand{Running: map[string]map[fleet.Key]int{}}
					if d < c.reports {
						demand.Unreachable = []string{"e0", "e1"}
					}
					if d >= 3-c.used {
						demand.Running = map[string]map[fleet.Key]int{"e0": {key("m0", ""): 1}, "e1": {key("m0", ""): 1}}
					}
					if d == 2 {
						// It doesn't know yet.
						demand.Waiting = map[fleet.Key]int{key("m0", ""): 1}
					}
					s.p.RecordDemand(s.now, string(rune('a'+d)), demand)
				}
				s.run(100*time.Millisecond, nil)
			}
			must.Eq(t, c.loads, s.engines["e2"].held["m0"] != nil || s.engines["e2"].changing == "m0")
		})
	}
}
