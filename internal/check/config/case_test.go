package config

import (
	"testing"

	"github.com/shoenig/test/must"
)

// maxStates is the limit of each search.
const maxStates = 3_000_000

// TestCases guards against a protocol in which the version at a daemon decreases
// or two publications that replace one version are accepted, and against a
// specification in which a fault is not found.
func TestCases(t *testing.T) {
	for _, c := range Cases() {
		if c.Short {
			t.Run(c.Name+"/"+c.Fault, func(t *testing.T) {
				must.Eq(t, "", c.Failure(c.Run(maxStates)))
			})
		}
	}
}
