package bench

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// short selects the traces that replay in a moment.
func short(_, trace, _ string) bool {
	return trace == "first-request-bursts" || trace == "slowed-store"
}

// TestReplay guards against a request without an end or with one after its
// deadline, a cold start that beats the physical bound's median, and a result
// that differs between two runs with one seed. The replay itself panics on a
// second end, overcommitted memory, too many replicas and an unload in use.
func TestReplay(t *testing.T) {
	ms, again := Run(7, short), Run(7, short)
	must.Eq(t, Table(ms), Table(again))
	for _, m := range ms {
		ended := m.UrgentOnTime + m.BackgroundDone
		for _, n := range m.Refused {
			ended += n
		}
		note := must.Sprintf("%s %s %s", m.Deployment, m.Trace, m.Policy)
		must.GreaterEq(t, m.Urgent+m.Background, ended, note)
		must.Eq(t, 0, m.Late, note)
		must.GreaterEq(t, m.ColdBound[0], m.Cold[0]+0.001, note)
	}
}

// TestStore guards against a fake store that is faster than its limits, or
// slower than them while no more than four loads run.
func TestStore(t *testing.T) {
	for _, c := range []struct {
		n      int
		factor float64
		want   time.Duration
	}{{1, 1, 10 * time.Second}, {4, 1, 10 * time.Second}, {8, 1, 20 * time.Second}, {4, 0.5, 20 * time.Second}} {
		f := newFleet(Sizes()[0], 1)
		w := newWorld(f, &Trace{})
		s := &store{w: w, factor: c.factor}
		w.store, w.p = s, &always{w: w}
		for k := range c.n {
			f.models[k].weight = 10e9
			w.engines[k].pending++
			s.active = append(s.active, &transfer{&replica{model: k, eng: w.engines[k]}, 10e9})
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

// TestIdealQueue guards against a bound that ignores the store's places or a
// slowed store.
func TestIdealQueue(t *testing.T) {
	f := newFleet(Sizes()[0], 1)
	tr := &Trace{Faults: []Fault{{Kind: "store-slow", AtMS: 100_000, UntilMS: 110_000, Factor: 0.5}}}
	d := &ideal{w: newWorld(f, tr)}
	f.models[0].weight = 10e9
	for i := range 8 {
		want := 10500 * time.Millisecond
		if i >= storePlaces {
			want *= 2
		}
		must.Between(t, want, d.load(0, 0, 2), want+2*time.Second)
	}
	must.Eq(t, 115*time.Second, d.transfer(100*time.Second, 10e9))
	must.Eq(t, 110*time.Second, d.transfer(95*time.Second, 10e9))
	must.Eq(t, 106*time.Second, d.transfer(95*time.Second, 8e9))
}

// TestTraceLines guards against keys that aren't kebab case and against a trace
// whose requests are out of order.
func TestTraceLines(t *testing.T) {
	for _, tr := range Traces(Sizes()[1], 3) {
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
