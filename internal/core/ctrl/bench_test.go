package ctrl

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/core/record"
)

// benchDeployment returns a configuration with n upstreams, n*260/600 models and
// about 3 adapters for each upstream, the proportions of the target deployment.
func benchDeployment(n int) *declare.Deployment {
	d := &declare.Deployment{
		Name: "bench", FailureDomains: []string{"a"},
		Services: []declare.Service{{Name: "s", Kind: declare.ModelService}},
	}
	for i := range n {
		d.Upstreams = append(d.Upstreams, declare.Upstream{
			Name: fmt.Sprintf("engine-%04d", i), Service: "s", FailureDomain: "a",
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1), MemoryBytes: 320 << 30, Accelerators: 4,
		})
	}
	for i := range max(n*260/600, 1) {
		d.Models = append(d.Models, declare.Model{
			Name: fmt.Sprintf("model-%04d", i), Services: []string{"s"}, Version: "v1",
			Versions: []declare.Version{{Name: "v1", WeightBytes: 30 << 30}}, KVBytes: 10 << 30, AdapterSlots: 8, Replicas: 8,
		})
		for j := range 7 {
			d.Adapters = append(d.Adapters, declare.Adapter{Name: fmt.Sprintf("adapter-%04d-%d", i, j), Model: d.Models[i].Name, Bytes: 100 << 20})
		}
	}
	return d
}

// benchState returns a state with n upstreams, an owner for each and about three
// grants on each, the next offset, and the encoded configuration.
func benchState(tb testing.TB, n int) (*State, uint64, []byte) {
	tb.Helper()
	d := benchDeployment(n)
	var b bytes.Buffer
	must.NoError(tb, d.Encode(&b))
	s := New()
	must.Eq(tb, Accepted, s.Apply(1, record.Publish{Config: b.Bytes()}).Reason)
	off := uint64(2)
	for i, u := range d.Upstreams {
		s.Apply(off, record.TakeOwnership{Upstream: u.Name, Daemon: fmt.Sprintf("host-%d/1", i%320)})
		epoch := off
		off++
		for j := range 3 {
			s.Apply(off, record.Grant{Upstream: u.Name, Epoch: epoch, Model: d.Models[(i*3+j)%len(d.Models)].Name, Version: "v1"})
			off++
		}
	}
	return s, off, b.Bytes()
}

// upstreamCounts are the deployment sizes of the benchmarks.
var upstreamCounts = []int{75, 150, 300, 600, 1200}

// BenchmarkGrant measures applying a grant and its release.
func BenchmarkGrant(b *testing.B) {
	for _, n := range upstreamCounts {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			s, off, _ := benchState(b, n)
			u := s.index.Deployment.Upstreams[0].Name
			o, _ := s.Owner(u)
			model := s.index.Deployment.Models[len(s.index.Deployment.Models)-1].Name
			for b.Loop() {
				at := off
				s.Apply(off, record.Grant{Upstream: u, Epoch: o.Epoch, Model: model, Version: "v1"})
				s.Apply(off+1, record.Release{Upstream: u, Epoch: o.Epoch, Model: model, Version: "v1", GrantedAt: at})
				off += 2
			}
		})
	}
}

// BenchmarkPublish measures decoding and applying a publication, and reports the
// size of its record.
func BenchmarkPublish(b *testing.B) {
	for _, n := range upstreamCounts {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			s, off, raw := benchState(b, n)
			enc, err := record.Encode(record.Publish{Config: raw})
			must.NoError(b, err)
			for b.Loop() {
				r, err := record.Decode(enc)
				must.NoError(b, err)
				p := r.(record.Publish)
				p.Replaces = s.Version()
				s.Apply(off, p)
				off++
			}
			b.ReportMetric(float64(len(enc)), "record-bytes")
		})
	}
}

// BenchmarkSnapshot measures restoring a snapshot, and reports the size of its
// record and of the state in memory.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range upstreamCounts {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			s, _, _ := benchState(b, n)
			snap, err := s.Snapshot()
			must.NoError(b, err)
			enc, err := record.Encode(record.Snapshot{State: snap})
			must.NoError(b, err)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			held, err := Restore(snap)
			must.NoError(b, err)
			runtime.GC()
			runtime.ReadMemStats(&after)
			heap := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			runtime.KeepAlive(held)
			for b.Loop() {
				if _, err := Restore(snap); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(enc)), "record-bytes")
			b.ReportMetric(heap, "heap-bytes")
		})
	}
}

// BenchmarkModelGrants measures finding the grants of a model.
func BenchmarkModelGrants(b *testing.B) {
	for _, n := range upstreamCounts {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			s, _, _ := benchState(b, n)
			var dst []GrantKey
			for b.Loop() {
				dst = s.ModelGrants(dst[:0], "model-0001")
			}
		})
	}
}
