package bench

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// short selects the traces that replay quickly.
func short(_, trace, _ string) bool {
	return trace == "first-request-bursts" || trace == "slowed-store"
}

// TestReplay guards against requests that never end or end after their deadline,
// a median of cold starts below that of the physical bound, and results that
// differ between two runs with the same seed. The replay itself panics if a
// request ends twice, memory is overcommitted, a replica limit is exceeded or a
// replica in use is unloaded.
func TestReplay(t *testing.T) {
	ms, again := Run(7, short), Run(7, short)
	must.Eq(t, FormatTable(ms), FormatTable(again))
	for _, m := range ms {
		ended := m.UrgentOnTime + m.BackgroundDone
		for _, n := range m.Refused {
			ended += n
		}
		note := must.Sprintf("%s %s %s", m.Deployment, m.Trace, m.Policy)
		must.GreaterEq(t, m.UrgentFeasible+m.Background, ended, note)
		must.Eq(t, 0, m.Late, note)
		must.GreaterEq(t, m.ColdBound[p50], m.Cold[p50]+0.001, note)
	}
}

// TestStoreTransferRate guards against a simulated store that exceeds its limits,
// or that does not run at full rate while at most four loads are in progress.
func TestStoreTransferRate(t *testing.T) {
	for _, c := range []struct {
		n      int
		factor float64
		want   time.Duration
	}{{1, 1, 10 * time.Second}, {4, 1, 10 * time.Second}, {8, 1, 20 * time.Second}, {4, 0.5, 20 * time.Second}} {
		f := newFleet(Deployments()[0], 1)
		w := newWorld(f, &Trace{})
		s := &store{w: w, rateFactor: c.factor}
		w.store, w.policy = s, &allLoaded{w: w}
		for k := range c.n {
			f.models[k].weightBytes = 10e9
			w.engines[k].pendingLoads++
			s.active = append(s.active, &transfer{&replica{model: k, engine: w.engines[k]}, 10e9})
		}
		s.schedule()
		for n := w.events.Peek(); n != nil; n = w.events.Peek() {
			w.events.Remove(n)
			w.now = n.Value.at
			n.Value.do()
		}
		must.Between(t, c.want, w.now, c.want+time.Millisecond)
	}
}

// TestIdealLoaderStoreLimits guards against a bound that ignores the store's
// concurrency or a store-slow fault.
func TestIdealLoaderStoreLimits(t *testing.T) {
	f := newFleet(Deployments()[0], 1)
	tr := &Trace{Faults: []Fault{{Kind: "store-slow", AtMS: 100_000, UntilMS: 110_000, Factor: 0.5}}}
	l := &idealLoader{w: newWorld(f, tr)}
	f.models[0].weightBytes = 10e9
	for i := range 8 {
		want := 10500 * time.Millisecond
		if i >= storeConcurrency {
			want *= 2
		}
		must.Between(t, want, l.load(0, 0, tierRemote), want+2*time.Second)
	}
	must.Eq(t, 115*time.Second, l.transfer(100*time.Second, 10e9))
	must.Eq(t, 110*time.Second, l.transfer(95*time.Second, 10e9))
	must.Eq(t, 106*time.Second, l.transfer(95*time.Second, 8e9))
}

// TestTraceEncoding guards against keys that are not in kebab case and against
// requests that are out of order or later than the end of the trace.
func TestTraceEncoding(t *testing.T) {
	for _, tr := range Traces(Deployments()[1], 3) {
		var b bytes.Buffer
		must.NoError(t, tr.Encode(&b))
		lines := bytes.Split(bytes.TrimSpace(b.Bytes()), []byte("\n"))
		must.Len(t, 1+len(tr.Faults)+len(tr.Requests), lines)
		last := int64(0)
		for _, line := range lines[1+len(tr.Faults):] {
			var r Request
			d := json.NewDecoder(bytes.NewReader(line))
			d.DisallowUnknownFields()
			must.NoError(t, d.Decode(&r))
			must.GreaterEq(t, last, r.AtMS)
			must.StrContains(t, string(line), `"deadline-ms":`)
			last = r.AtMS
		}
		must.LessEq(t, tr.LengthMS, last, must.Sprint(tr.Name))
	}
}
