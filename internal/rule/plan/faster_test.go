package plan

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestEngineIsBackDuringSlowLoad plays requests that wait for a load from the weight store
// when an engine comes back that has the weights on its disk. It guards against waiting for
// the slow load (issue 41), whether any engine may run the requests or those of one software
// version only, and against a further load from the store.
func TestEngineIsBackDuringSlowLoad(t *testing.T) {
	waiting := map[fleet.Key]int{key("m0", ""): 3}
	for name, demand := range map[string]func() fleet.Demand{
		"any version": constantDemand(nil, waiting),
		"one version": boundDemand(map[fleet.VersionKey]int{{Key: key("m0", ""), Version: "v1"}: 3}, nil),
	} {
		t.Run(name, func(t *testing.T) {
			s := newVersionSim(t, 3, []string{"v1", "v1"}, []string{"m1"}, []string{"m2"})
			all := s.ups
			s.ups = all[:1]
			s.p.SetUpstreams(s.now, s.ups)
			s.run(time.Second, demand)
			must.Eq(t, "m0", s.engines["e0"].changing)
			s.engines["e1"] = &simEngine{held: map[string]map[string]bool{}, disk: map[string]bool{"m0": true}}
			s.ups = all
			s.ups[1].Born++
			s.p.SetUpstreams(s.now, s.ups)
			s.run(2*time.Second, demand)
			must.NotNil(t, s.engines["e1"].held["m0"])
			s.run(6*time.Second, nil)
			must.Eq(t, 1, s.countOrders(func(a Action) bool { return a.Order.Model == "m0" && a.Tier == Store && !a.Order.Unload }))
		})
	}
}
