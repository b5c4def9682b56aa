package servsv

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRuns guards, for each fault, against an execution that is missing from the
// event log and against a recorded one that did not take place.
func TestRuns(t *testing.T) {
	s, err := Start("", Config{Name: "desk"})
	must.NoError(t, err)
	t.Cleanup(s.Kill)
	call := func(f Faults, method, path, key string) int {
		s.SetFaults(f)
		req, err := http.NewRequest(method, "http://"+s.Address()+path, strings.NewReader(`{"rack":3}`))
		must.NoError(t, err)
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("X-Request-Id", "r-"+key)
		// No connection reuse, so that the transport does not retry calls.
		req.Close = true
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	for _, tc := range []struct {
		key    string
		faults Faults
		status int
		ran    bool
	}{
		{"plain", Faults{}, http.StatusCreated, true},
		{"fail", Faults{Fail: 1}, http.StatusInternalServerError, false},
		{"leaving", Faults{Leaving: true}, http.StatusServiceUnavailable, false},
		{"crash-before", Faults{CrashBefore: 1}, 0, false},
		{"crash-after", Faults{CrashAfter: 1}, 0, true},
		{"drop-after", Faults{DropAfter: 1}, 0, true},
	} {
		must.Eq(t, tc.status, call(tc.faults, "POST", "/bookings", tc.key), must.Sprint(tc.key))
		runs := 0
		for _, e := range s.Entries() {
			if e.Kind == "run" && e.Key == tc.key && e.Request == "r-"+tc.key {
				runs++
			}
		}
		must.Eq(t, map[bool]int{true: 1}[tc.ran], runs, must.Sprint(tc.key))
	}
	must.Eq(t, http.StatusOK, call(Faults{}, "GET", "/availability", "look"))
	must.Eq(t, http.StatusNotFound, call(Faults{}, "POST", "/other", "other"))
}
