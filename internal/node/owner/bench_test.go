package owner

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/engine"
)

type noopEngines struct{}

func (noopEngines) Order(context.Context, string, engine.Order) error { return nil }
func (noopEngines) Report(context.Context, string) (engine.Report, error) {
	return engine.Report{Incarnation: 1}, nil
}

// BenchmarkReconcile measures one reconciliation of all ownerships, which a
// daemon runs twice a second and after each control record.
func BenchmarkReconcile(b *testing.B) {
	for _, n := range []int{40, 80, 160, 320} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			d := &declare.Deployment{Name: "bench", Services: []declare.Service{{Name: "s", Kind: declare.ModelService}}}
			for i := range 8 {
				d.FailureDomains = append(d.FailureDomains, fmt.Sprintf("domain-%d", i))
			}
			for i := range n * 600 / 320 {
				d.Upstreams = append(d.Upstreams, declare.Upstream{
					Name: fmt.Sprintf("engine-%04d", i), Service: "s", FailureDomain: d.FailureDomains[i%8],
					Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1), MemoryBytes: 320 << 30, Accelerators: 4,
				})
			}
			must.NoError(b, d.Validate())
			var text bytes.Buffer
			must.NoError(b, d.Encode(&text))
			c := &control{state: ctrl.New(), changed: make(chan struct{})}
			c.state.Apply(1, record.Publish{Config: text.Bytes()})
			now := time.UnixMilli(1_000_000)
			set := member.New(now, member.Fact{Name: "host-0/1", Domain: "domain-0"}, member.Settings{})
			for i := 1; i < n; i++ {
				set.Merge(now, []member.Fact{{Kind: member.Daemon, Name: fmt.Sprintf("host-%d/1", i), Domain: d.FailureDomains[i%8], Status: member.Alive, Counter: 1}})
			}
			f := &facts{set: set}
			o := New(now, Settings{Self: "host-0/1", FailureDomain: "domain-0"}, c, noopEngines{}, f, noop{}, noop{})
			o.reconcile(context.Background(), now)
			for b.Loop() {
				o.reconcile(context.Background(), now)
				o.Watched()
			}
		})
	}
}
