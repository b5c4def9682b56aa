package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// TestRateLimitOfUpstream guards against a request that is sent to an upstream beyond
// its rate limit, and against one that waits for a permit and isn't sent once the
// holder gives one (incident LIMIT of issue 25).
func TestRateLimitOfUpstream(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 1, false), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", "2.5")
		respondOK(w, r)
	})
	f.relay.ApplyTellReply(time.Now(), &hub.TellReply{Deals: true})
	code, _ := f.send(http.MethodPost, "1", "")
	must.Eq(t, http.StatusOK, code)
	go func() {
		for !f.relay.HasWaiting() {
			time.Sleep(time.Millisecond)
		}
		d := f.relay.TakeDemand(time.Now())
		must.Eq(t, map[string]int{"u0": 1}, d.Permits)
		must.Len(t, 1, d.Limits)
		must.Eq(t, 1, f.requestCount(0))
		f.relay.ApplyTellReply(time.Now(), &hub.TellReply{Deals: true, Permits: d.Permits})
	}()
	code, _ = f.send(http.MethodPost, "2", "")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, 2, f.requestCount(0))
	must.Eq(t, 0, f.relay.limits.Permits(time.Now(), "u0"))
}
