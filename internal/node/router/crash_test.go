package router

import (
	"context"
	"io"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/standin/engine/engsv"
)

// flakyReports fails every other report, like a dying process.
type flakyReports struct {
	Engines
	calls int
}

func (f *flakyReports) Report(ctx context.Context, address string) (engine.Report, error) {
	if f.calls++; f.calls%2 == 1 {
		return engine.Report{}, io.ErrUnexpectedEOF
	}
	return f.Engines.Report(ctx, address)
}

// TestCrashWhileDying guards against missing a crash because the engine was still
// listening when its state was checked. A request whose crashes are not counted
// crashes one engine after another.
func TestCrashWhileDying(t *testing.T) {
	s := newSite(t, 4)
	s.router.engines = &flakyReports{Engines: s.router.engines}
	for _, e := range s.engines {
		e.SetFaults(engsv.Faults{Poison: "POISON"})
	}
	a, err := s.router.Complete(t.Context(), chat("bad", "POISON", 10))
	if err == nil {
		_, err = readAll(t, a, nil)
	}
	must.Eq(t, fault.RequestQuarantined, fault.Of(err).Kind)
	crashes := 0
	for _, e := range s.engines {
		for _, r := range e.Records().Entries {
			if r.Kind == "crash" {
				crashes++
			}
		}
	}
	must.Eq(t, 2, crashes)
}
