package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

// TestArrivalsAreBounded guards against demand that grows by the names which callers
// send, on each daemon until the holder has it and on the holder for as long as a rate
// is tracked, and against losing the arrivals of declared models.
func TestArrivalsAreBounded(t *testing.T) {
	const names = 1000
	for _, kind := range []fleet.Kind{fleet.Safe, fleet.Stream} {
		f := newFixture(t, route(kind, 1, false))
		admit := func(model, adapter string) {
			x := &exchange{relay: f.relay, query: pick.Query{Key: fleet.Key{Service: "s", Model: model, Adapter: adapter}}}
			_, ok := x.admit()
			must.True(t, ok)
		}
		for i := range names {
			admit(fmt.Sprint("model", i), "")
			admit(fmt.Sprint("model", i), "a1")
			admit("m", fmt.Sprint("adapter", i))
			admit("m", "")
			admit("m", "a1")
		}
		want := map[fleet.Key]int{{Service: "s"}: 5 * names}
		if kind == fleet.Stream {
			want = map[fleet.Key]int{
				{Service: "s"}: 2 * names, {Service: "s", Model: "m"}: 2 * names, {Service: "s", Model: "m", Adapter: "a1"}: names,
			}
		}
		must.Eq(t, want, f.relay.TakeDemand(time.Now()).Arrivals)
	}
}
