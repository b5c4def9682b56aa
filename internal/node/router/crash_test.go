package router

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

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

// TestCrashingMessage guards against requests that have a message in common which
// crashes each engine, and that are sent on because no two of them are alike; and
// against refusing other requests with the same first message.
func TestCrashingMessage(t *testing.T) {
	s := newSite(t, 14)
	for _, e := range s.engines {
		e.SetFaults(engsv.Faults{Poison: "POISON"})
	}
	complete := func(id, prompt string, parts ...string) error {
		r := chat(id, prompt, 10)
		r.Parts = parts
		a, err := s.router.Complete(t.Context(), r)
		if err == nil {
			_, err = readAll(t, a, nil)
		}
		return err
	}
	crashes := func() (n int) {
		for _, e := range s.engines {
			for _, r := range e.Records().Entries {
				if r.Kind == "crash" {
					n++
				}
			}
		}
		return n
	}
	must.NoError(t, complete("before", "figs", "system", "good"))
	const limit = 5
	// The crashes of one request come within milliseconds and count as one.
	for i := range limit {
		must.Error(t, complete(fmt.Sprint("bad", i), fmt.Sprint("POISON ", i), "system", "bad"))
		time.Sleep(100 * time.Millisecond)
	}
	// Crashes count once they have been known for a second.
	time.Sleep(1500 * time.Millisecond)
	before := crashes()
	must.Eq(t, fault.RequestQuarantined, fault.Of(complete("bad again", "POISON again", "system", "bad")).Kind)
	must.Eq(t, before, crashes())
	must.NoError(t, complete("after", "figs", "system", "good"))
}
