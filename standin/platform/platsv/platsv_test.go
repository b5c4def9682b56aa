package platsv

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

func start(t *testing.T, cfg Config) *Server {
	t.Helper()
	s, err := Start("", cfg)
	must.NoError(t, err)
	t.Cleanup(s.Kill)
	return s
}

func call(t *testing.T, s *Server, method, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+s.Address()+path, bytes.NewReader([]byte(body)))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, string(b)
}

// TestFaultsMerge guards against a call that changes faults which its body does
// not name.
func TestFaultsMerge(t *testing.T) {
	s := start(t, Config{})
	call(t, s, "POST", "/admin/faults", `{"log-outage":true,"store-slowdown":3}`)
	call(t, s, "POST", "/admin/faults", `{"hosts-missing":true}`)
	must.Eq(t, Faults{LogOutage: true, StoreSlowdown: 3, HostListUnavailable: true}, s.Faults())
	code, _ := call(t, s, "POST", "/admin/faults", `{"log-outage":`)
	must.Eq(t, http.StatusBadRequest, code)
	must.True(t, s.Faults().LogOutage)
}

// TestRecords guards against an event log that lacks appended records because
// of retention or an outage.
func TestRecords(t *testing.T) {
	s := start(t, Config{RetentionCount: 1})
	for range 3 {
		code, _ := call(t, s, "POST", "/streams/control/records", `{"records":["YQ=="]}`)
		must.Eq(t, http.StatusOK, code)
	}
	call(t, s, "PUT", "/admin/hosts/h", `{"address":"127.0.0.1","state":"live"}`)
	call(t, s, "POST", "/admin/faults", `{"log-outage":true}`)
	_, body := call(t, s, "GET", "/admin/records", "")
	var out struct{ Entries []Entry }
	must.NoError(t, json.Unmarshal([]byte(body), &out))
	must.Len(t, 4, out.Entries)
	for i, e := range out.Entries[:3] {
		must.Eq(t, uint64(i+1), e.Offset)
		must.Eq(t, "a", string(e.Data))
	}
	must.Eq(t, "h", out.Entries[3].Host.Name)
}

// TestStore guards against a wrong count of concurrent loads, and against loads
// that never end while more run than the store serves at full speed.
func TestStore(t *testing.T) {
	s := start(t, Config{StoreLoadsPerSecond: 1000, StoreConcurrency: 2, StoreBytesPerSecond: 100})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			call(t, s, "POST", "/store/loads", fmt.Sprintf(`{"model":"m%d","version":"1","bytes":10,"by":"e"}`, i))
		})
	}
	wg.Wait()
	running, peak := 0, 0
	for _, e := range s.Entries() {
		if e.Kind == "load" {
			running++
			must.Eq(t, running, e.InProgress)
			peak = max(peak, running)
		} else {
			running--
		}
	}
	must.Eq(t, 0, running)
	must.Between(t, 1, peak, 6)
	must.Len(t, 12, s.Entries())
}

// TestRelativeSpeed guards against loads that are not slowed when more run than
// the store serves at full speed, and against a slowdown without effect.
func TestRelativeSpeed(t *testing.T) {
	for _, tc := range []struct {
		running        int
		slowdown, want float64
	}{{1, 1, 1}, {4, 1, 1}, {8, 1, 0.5}, {4, 2, 0.5}, {16, 2, 0.125}} {
		must.Eq(t, tc.want, (&loadPool{fullSpeedLoads: 4, running: tc.running}).relativeSpeed(tc.slowdown))
	}
}
