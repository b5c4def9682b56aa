package config

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestCases guards against a version that decreases at a daemon, and against
// two accepted publications of one version.
func TestCases(t *testing.T) {
	for _, c := range Cases() {
		if c.Short {
			t.Run(c.Name+"/"+c.Fault, func(t *testing.T) {
				must.Eq(t, "", c.Failure(c.Run(3_000_000)))
			})
		}
	}
}
