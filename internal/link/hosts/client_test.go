package hosts

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/standin/platform/platsv"
)

func failure(t *testing.T, err error) *Error {
	t.Helper()
	var e *Error
	must.True(t, errors.As(err, &e), must.Sprintf("%v", err))
	return e
}

// TestList guards against a list that does not follow the platform's, and
// against treating a missing list as an empty one.
func TestList(t *testing.T) {
	var clock atomic.Int64
	clock.Store(1_000_000)
	s, err := platsv.Start("", platsv.Config{HostListLag: time.Minute, Now: func() time.Time { return time.UnixMilli(clock.Load()) }})
	must.NoError(t, err)
	t.Cleanup(s.Kill)
	c, ctx := New("http://"+s.Address(), nil), context.Background()
	list := func() []Host {
		l, err := c.List(ctx)
		must.NoError(t, err)
		must.Eq(t, clock.Load(), l.TimeMS)
		return l.Hosts
	}
	lag := func() { clock.Add(time.Minute.Milliseconds()) }
	a := platsv.Host{Name: "a", Address: "127.0.0.1:7000", FailureDomain: "cheongdo", State: "live"}
	s.SetHost(a)
	must.SliceEmpty(t, list())
	lag()
	want := Host{Name: "a", Address: "127.0.0.1:7000", FailureDomain: "cheongdo", State: Live}
	must.Eq(t, []Host{want}, list())
	a.State = "leaving"
	s.SetHost(a)
	must.Eq(t, []Host{want}, list())
	lag()
	want.State = Leaving
	must.Eq(t, []Host{want}, list())
	s.SetHost(platsv.Host{Name: "a"})
	lag()
	must.SliceEmpty(t, list())
	s.SetFaults(platsv.Faults{HostListUnavailable: true})
	_, err = c.List(ctx)
	must.True(t, failure(t, err).Missing)
	s.Kill()
	_, err = c.List(ctx)
	e := failure(t, err)
	must.False(t, e.Missing || e.Malformed)
}

// TestMalformed guards against accepting an invalid list.
func TestMalformed(t *testing.T) {
	for _, s := range []string{
		``, `null`, `[]`, `{"time-ms":1}`, `{"hosts":[]}`,
		`{"time-ms":1,"hosts":[{"name":"","address":"127.0.0.1","state":"live"}]}`,
		`{"time-ms":1,"hosts":[{"name":"a","address":"localhost","state":"live"}]}`,
		`{"time-ms":1,"hosts":[{"name":"a","address":"127.0.0.1","state":"dead"}]}`,
		`{"time-ms":1,"hosts":[{"name":"a","address":"x","state":"gone"}]}`,
		`{"time-ms":1,"hosts":[{"name":"a","address":"::1","state":"live"},{"name":"a","address":"::1","state":"gone"}]}`,
	} {
		_, err := decodeList([]byte(s))
		must.Error(t, err, must.Sprint(s))
	}
	l, err := decodeList([]byte(`{"time-ms":1,"hosts":[{"name":"a","state":"gone"}]}`))
	must.NoError(t, err)
	must.Eq(t, []Host{{Name: "a", State: Gone}}, l.Hosts)
}

// FuzzList guards against accepting a list with an unknown state or a duplicate
// name.
func FuzzList(f *testing.F) {
	f.Add([]byte(`{"time-ms":1,"hosts":[{"name":"a","address":"127.0.0.1:1","failure-domain":"d","state":"live"}]}`))
	f.Add([]byte(`{"time-ms":1,"hosts":[{"name":"a","address":"::1","state":"gone"},{"name":"b","address":"[::1]:9","state":"leaving"}]}`))
	f.Add([]byte(`{"time-ms":1,"hosts":[{"name":"a","address":"h","state":"up"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := decodeList(b)
		if err != nil {
			return
		}
		seen := map[string]bool{}
		for _, h := range l.Hosts {
			must.True(t, h.Name != "" && !seen[h.Name])
			must.SliceContains(t, []State{Live, Leaving, Gone}, h.State)
			seen[h.Name] = true
		}
	})
}
