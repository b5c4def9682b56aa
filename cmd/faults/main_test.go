package main

import (
	"os/exec"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/check/faults"
)

// TestShortScenarios guards against daemons that violate an invariant when one
// of them is killed or stopped, or during a burst of first requests. It builds
// the daemon and runs a few of the scenarios of `make faults`.
func TestShortScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "github.com/azurespan/azurespan/cmd/azurespan").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	o := faults.Options{Bin: bin, Dir: t.TempDir(), Seed: 1, Parallel: 2}
	faults.Run(t.Context(), o, faults.ShortScenarios(), func(r faults.Result) {
		t.Log(r.String())
		if !r.OK() {
			t.Errorf("%s failed", r.Scenario.Name)
		}
	})
}
