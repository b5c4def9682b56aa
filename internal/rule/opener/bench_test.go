package opener

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"github.com/azurespan/azurespan/internal/core/origin"
)

// BenchmarkUpdate measures a decision of the holder at the target: 320 daemons, 600
// upstreams of 40 services with two versions each, and the size of the state that a daemon
// gets when it changes.
func BenchmarkUpdate(b *testing.B) {
	const daemons, services, upstreams = 320, 40, 600
	o := New(at(0), wait)
	o.Resume(at(0), nil, true)
	for i := range daemons {
		o.Heard(at(20), fmt.Sprint("host-", i), 1)
	}
	names := make([]string, services)
	for i := range names {
		names[i] = fmt.Sprint("service-", i)
	}
	for b.Loop() {
		for i := range upstreams {
			v := fmt.Sprintf("2026-12-0%d", 1+i%2)
			o.Registered(at(20), names[i%services], v)
			o.Serve(at(20), names[i%services], v)
		}
		o.Update(at(20))
	}
	s, _ := o.State()
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&origin.State{Announced: s.Announced, Open: s.Open, Admitted: s.Admitted, Complete: true}); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(buf.Len()), "bytes")
}
