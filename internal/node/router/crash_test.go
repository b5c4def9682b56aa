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

// dyingEngines breaks every other report, as a process does that is dying.
type dyingEngines struct {
	Engines
	calls int
}

func (d *dyingEngines) Report(ctx context.Context, address string) (engine.Report, error) {
	if d.calls++; d.calls%2 == 1 {
		return engine.Report{}, io.ErrUnexpectedEOF
	}
	return d.Engines.Report(ctx, address)
}

// TestCrashWhileDying guards against a crash that is not counted because the
// engine still listened when it was asked; such a request crashes one engine
// after another.
func TestCrashWhileDying(t *testing.T) {
	s := newSite(t, 4)
	s.router.eng = &dyingEngines{Engines: s.router.eng}
	for _, e := range s.engines {
		e.SetFaults(engsv.Faults{Poison: "POISON"})
	}
	a, err := s.router.Complete(t.Context(), chat("bad", "POISON", 10))
	if err == nil {
		_, err = read(t, a, nil)
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
