package plan

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestUnloadOfModelInUse guards against a model that many requests wait for, and that is
// loaded in place of one whose streams take seconds to end, though another engine could do
// so at once (issue 41: 2.75 s until the load on the only engine of the streams' version that
// had been chosen).
func TestUnloadOfModelInUse(t *testing.T) {
	s := newSim(t, 7, []string{"m0", "m1", "m2"}, []string{"m3", "m4", "m5"})
	s.engines["e0"].disk["m6"], s.engines["e1"].disk["m6"] = true, true
	demand := func(waiting int) func() fleet.Demand {
		return func() fleet.Demand {
			return fleet.Demand{
				// Each model of e1 is asked for more often, none is in use.
				Arrivals: map[fleet.Key]int{key("m3", ""): 1, key("m4", ""): 1, key("m5", ""): 1},
				Running:  map[string]map[fleet.Key]int{"e0": {key("m0", ""): 1, key("m1", ""): 1, key("m2", ""): 1}},
				Waiting:  map[fleet.Key]int{key("m6", ""): waiting},
			}
		}
	}
	s.run(5*time.Second, demand(0))
	before := s.countOrders(func(a Action) bool { return a.Order.Unload })
	must.Eq(t, 0, before)
	s.run(2*time.Second, demand(60))
	must.NotNil(t, s.engines["e1"].held["m6"])
}
