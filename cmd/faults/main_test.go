package main

import (
	"os/exec"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/check/faults"
)

// TestShort guards against daemons that violate an invariant when one of them
// is killed or stopped, or at a burst of first requests. It runs a few of the
// scenarios of `make faults` with programs that it builds.
func TestShort(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "github.com/azurespan/azurespan/cmd/azurespan").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	o := faults.Options{Bin: bin, Dir: t.TempDir(), Seed: 1, Parallel: 2}
	faults.Run(t.Context(), o, faults.Short(), func(r faults.Row) {
		t.Log(r.String())
		if !r.OK() {
			t.Errorf("%s failed", r.Scenario.Name)
		}
	})
}
