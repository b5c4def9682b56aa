package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestRequestThatCrashesOneVersion guards against a request that crashes each upstream of one
// software version and goes on to be sent there, because the other version runs it.
func TestRequestThatCrashesOneVersion(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 1, false), respondOK, resetConnection)
	f.ups[0].Version, f.ups[1].Version = "v1", "v2"
	for turn := range 10 {
		// They have restarted with a new incarnation, and this one may run requests.
		for i := range f.ups {
			f.ups[i].Born++
			f.ups[i].Leaving = i == turn%2
		}
		f.relay.SetUpstreams(time.Now(), f.ups)
		f.send(http.MethodPost, "bad", "")
		time.Sleep(crashSpacing)
	}
	must.Eq(t, 5, f.requestCount(0))
	must.Eq(t, 5, f.requestCount(1))
	time.Sleep(1100 * time.Millisecond) // until the crashes count
	code, body := f.send(http.MethodPost, "bad", "")
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.StrContains(t, body, "quarantined")
	f.ups[0].Leaving = false
	f.relay.SetUpstreams(time.Now(), f.ups)
	code, _ = f.send(http.MethodPost, "good", "")
	must.Eq(t, http.StatusOK, code)
}
