package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// withHeader is respondOK with a header.
func withHeader(name, value string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		respondOK(w, r)
	}
}

// TestLeavingIsHeard guards against requests to an upstream that has said in an answer
// that it is leaving while its entry in the register doesn't say so, and against sparing
// its next incarnation.
func TestLeavingIsHeard(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 1, false), withHeader("Leaving", "1"), respondOK)
	for i := range 4 {
		code, _ := f.send(http.MethodPost, fmt.Sprint(i), "")
		must.Eq(t, http.StatusOK, code)
		// The register is read again and again meanwhile.
		f.relay.SetUpstreams(time.Now(), f.ups)
	}
	must.Eq(t, 1, f.requestCount(0))
	must.Eq(t, 3, f.requestCount(1))
	f.ups[0].Born++
	f.relay.SetUpstreams(time.Now(), f.ups)
	f.send(http.MethodPost, "next", "")
	must.Eq(t, 2, f.requestCount(0))
}

// TestLeavingUpstreamOfForwarder guards against a request that is sent for another daemon
// to an upstream that has said to this one that it is leaving, and against missing that in
// an answer that is forwarded.
func TestLeavingUpstreamOfForwarder(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 1, false), respondOK, respondOK)
	up := f.ups[0]
	_, reason := f.relay.MayForward(time.Now(), up.ID, up.Address)
	must.Eq(t, "", reason)
	f.relay.Observe(up, time.Now(), []byte("HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 5\r\n\r\n"))
	_, reason = f.relay.MayForward(time.Now(), up.ID, up.Address)
	must.Eq(t, "leaving", reason)
	_, reason = f.relay.MayForward(time.Now(), "other", up.Address)
	must.Eq(t, "unknown here", reason)
	f.send(http.MethodPost, "1", "")
	must.Eq(t, 0, f.requestCount(0))
}
