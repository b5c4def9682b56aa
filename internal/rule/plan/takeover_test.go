package plan

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestNewHolderSeesHotModels answers the loss of a holder under load: the next
// one, which has heard two seconds of demand, sends the weight store's loads to
// the model whose copies are overrun and not to those that are hardly asked for.
func TestNewHolderSeesHotModels(t *testing.T) {
	s := newSim(t, 6, []string{"m0", "m1"}, []string{"m0", "m2"}, []string{"m3"}, nil)
	s.p.set.StoreConcurrency, s.p.atOnce = 1, 1
	arrivals := map[fleet.Key]int{key("m0", ""): 16}
	s.run(1400*time.Millisecond, func() fleet.Demand { return fleet.Demand{Arrivals: arrivals} })
	d := s.p.demands[key("m0", "")]
	// 80 requests a second, of which 1.4 s count as two (leastTold): 59.
	must.Between(t, 50, s.p.rate(s.now, d), 90)
	s.run(20*time.Second, func() fleet.Demand { return fleet.Demand{Arrivals: arrivals} })
	must.Between(t, 70, s.p.rate(s.now, s.p.demands[key("m0", "")]), 90)
	must.GreaterEq(t, 3, s.copies("m0"))
}

// TestRateStartsAnewAfterABreak guards against a holder that regains the right
// and takes what it hears at first for all that there is.
func TestRateStartsAnewAfterABreak(t *testing.T) {
	s := newSim(t, 1, []string{"m0"})
	told := func() fleet.Demand { return fleet.Demand{Arrivals: map[fleet.Key]int{key("m0", ""): 2}} }
	s.run(20*time.Second, told)
	s.run(time.Minute, nil)
	s.run(time.Second, told)
	// 10 requests a second, of which one second counts as two: 5 to 6.
	must.Between(t, 5, s.p.rate(s.now, s.p.demands[key("m0", "")]), 12)
}

// TestFormerHoldersLoadsCount guards against a new holder that orders as many
// loads from the weight store as it takes while the former one's go on: all of
// them would take twice the time.
func TestFormerHoldersLoadsCount(t *testing.T) {
	s := newSim(t, 6, []string{"m0"}, []string{"m1"}, nil, nil)
	s.p.atOnce = 2
	for _, id := range []string{"e2", "e3"} {
		e := s.state[id]
		e.orders, e.changing, e.until = 1, "m4", s.now.Add(6*time.Second)
	}
	waiting := map[fleet.Key]int{key("m2", ""): 3, key("m3", ""): 3}
	s.run(1600*time.Millisecond, nil)
	s.run(2*time.Second, steady(nil, waiting))
	must.Eq(t, 0, s.sent(func(a Action) bool { return a.Tier == Store && !a.Order.Unload && a.Order.Adapter == "" }))
	s.run(4*time.Second, steady(nil, waiting))
	must.Positive(t, s.sent(func(a Action) bool { return a.Tier == Store && !a.Order.Unload && a.Order.Adapter == "" }))
}
