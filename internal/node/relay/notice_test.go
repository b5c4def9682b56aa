package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/pick"
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

// TestLeavingIsHeardOnce guards against requests to an upstream that has said in an answer
// that it is leaving, after its entry was removed from the register and has come back with a
// report that was written late: its exit breaks them off (DRAIN).
func TestLeavingIsHeardOnce(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 1, false), withHeader("Leaving", "1"), respondOK)
	f.send(http.MethodPost, "first", "")
	f.relay.SetUpstreams(time.Now(), f.ups[1:])
	f.send(http.MethodPost, "gone", "")
	f.relay.SetUpstreams(time.Now(), f.ups)
	for i := range 4 {
		code, _ := f.send(http.MethodPost, fmt.Sprint(i), "")
		must.Eq(t, http.StatusOK, code)
	}
	must.Eq(t, 1, f.requestCount(0))
	up := f.ups[0]
	_, reason := f.relay.MayForward(time.Now(), up.ID, up.Address)
	must.Eq(t, "leaving", reason)
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

// TestPauseIsKept guards against requests to an upstream within the time for which it has
// asked this daemon to send none, also those that waited for it or are forwarded, and
// against sending none afterwards.
func TestPauseIsKept(t *testing.T) {
	const pause = 1500 * time.Millisecond
	var refused time.Time
	first := true
	busy := func(w http.ResponseWriter, r *http.Request) {
		if first {
			first, refused = false, time.Now()
			w.Header().Set("Retry-After", fmt.Sprint(pause.Seconds()))
			respondNotRun(w, r)
			return
		}
		if time.Since(refused) < pause {
			t.Error("request during the pause")
		}
		respondOK(w, r)
	}
	f := newFixture(t, route(fleet.Unsafe, 1, false), busy)
	code, _ := f.send(http.MethodPost, "first", "")
	must.Eq(t, http.StatusServiceUnavailable, code)
	up := f.ups[0]
	_, reason := f.relay.MayForward(time.Now(), up.ID, up.Address)
	must.Eq(t, "pause", reason)
	// The register is read meanwhile.
	f.relay.SetUpstreams(time.Now(), f.ups)
	code, _ = f.send(http.MethodPost, "waits", "")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, 2, f.requestCount(0))
}

// TestPauseBeyondDeadline guards against a request that waits for upstreams all of which
// have asked for longer pauses than it can wait, and against a time to come back before
// their end; and against refusing it while one of them is only full.
func TestPauseBeyondDeadline(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 1, false), respondOK, respondOK)
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	now := time.Now()
	x := &exchange{relay: f.relay, route: &f.relay.Config().Routes[0], arrived: now, deadline: now.Add(2 * time.Second)}
	x.query.Key.Service = "s"
	waits := func() (refusal, bool) {
		_, reason := f.relay.table.Choose(now, &x.query)
		must.Eq(t, pick.Full, reason)
		_, resp, wait := f.relay.waitLimit(now, x, reason)
		return resp, wait
	}
	f.relay.table.Notice(now, now, f.ups[0], fleet.Notice{Pause: 4 * time.Second})
	f.relay.table.Notice(now, now, f.ups[1], fleet.Notice{Pause: 500 * time.Millisecond})
	_, wait := waits()
	must.True(t, wait)
	f.relay.table.Notice(now, now, f.ups[1], fleet.Notice{Pause: 3 * time.Second})
	resp, wait := waits()
	must.False(t, wait)
	must.Between(t, 3*time.Second, resp.retryAfter, 4*time.Second)
}
