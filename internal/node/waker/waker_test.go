package waker

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/node/owner"
)

// world has a daemon e that owns three engines with room for the model m. Its
// loads end at the deadline of their request.
type world struct {
	led   *ctrl.State
	facts *member.Set
	loads atomic.Int32
}

func (w *world) View(fn func(*ctrl.State))                            { fn(w.led) }
func (w *world) Status() (uint64, bool, bool)                         { return w.led.Applied(), true, true }
func (w *world) Live(string) []string                                 { return nil }
func (w *world) Address(string) (string, bool)                        { return "", false }
func (w *world) Do(fn func(*member.Set))                              { fn(w.facts) }
func (w *world) Call(context.Context, string, string, any, any) error { return nil }

func (w *world) Load(_ context.Context, q owner.Request) error {
	w.loads.Add(1)
	time.Sleep(time.Until(q.Deadline))
	return fault.New(fault.DeadlineUnreachable, "the load goes on")
}

func encode(t *testing.T, d *declare.Deployment) []byte {
	t.Helper()
	var b bytes.Buffer
	must.NoError(t, d.Encode(&b))
	return b.Bytes()
}

// TestDeadlinePassed guards against a wake that orders a second load, up to
// the replica limit, after the request that waits for the first one was
// refused.
func TestDeadlinePassed(t *testing.T) {
	d := &declare.Deployment{
		Name: "t", FailureDomains: []string{"a"}, Services: []declare.Service{{Name: "s", Kind: declare.ModelService}},
		Models: []declare.Model{{Name: "m", Services: []string{"s"}, Version: "v1", Versions: []declare.Version{{Name: "v1", WeightBytes: 10}}, KVBytes: 1, Replicas: 3}},
	}
	for i, n := range []string{"u", "v", "w"} {
		d.Upstreams = append(d.Upstreams, declare.Upstream{
			Name: n, Service: "s", FailureDomain: "a", Address: "127.0.0.1:" + string(rune('1'+i)), MemoryBytes: 100, Accelerators: 1,
		})
	}
	w := &world{led: ctrl.New(), facts: member.New(time.Now(), member.Fact{Name: "e", Domain: "a"}, member.Settings{})}
	must.Eq(t, ctrl.Accepted, w.led.Apply(1, record.Publish{Publication: "p", Operator: "o", Config: encode(t, d)}).Reason)
	for i, u := range d.Upstreams {
		must.Eq(t, ctrl.Accepted, w.led.Apply(uint64(i+2), record.TakeOwnership{Upstream: u.Name, Daemon: "e"}).Reason)
	}
	k := New(Settings{Self: "e", FailureDomain: "a"}, w, w, w, w)
	_, err := k.Coordinate(t.Context(), Request{Model: "m", Version: "v1", Class: declare.Urgent, Deadline: time.Now().Add(20 * time.Millisecond)})
	must.Eq(t, fault.DeadlineUnreachable, fault.Of(err).Kind)
	must.Eq(t, 1, w.loads.Load())
}
